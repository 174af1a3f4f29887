#include "rillwall/policy.h"

#include <algorithm>
#include <boost/json.hpp>

#include "policy_fields.h"
#include "policy_program.h"

namespace rillwall {

namespace json = boost::json;

namespace {

// The set is one value of the key-value service, which is limited to 1 MB.
constexpr size_t kMaxEncodedBytes = 900 * 1000;
constexpr size_t kMaxAuthorBytes = 128;

Error Invalid(std::string aDetail) {
  return Error(ErrorKind::PolicyInvalid, std::move(aDetail));
}

std::optional<Error> CheckSource(const PolicySource& aSource) {
  if (!IsName(aSource.mName)) {
    return Invalid(
        "A policy's name is not valid. Use 1 to 64 letters, digits, '.', '_' "
        "or '-'.");
  }
  if (aSource.mAuthor.size() > kMaxAuthorBytes) {
    return Invalid("Policy '" + aSource.mName +
                   "': the author is too long. Use up to 128 characters.");
  }
  return std::nullopt;
}

std::optional<Error> CheckUnique(const std::vector<PolicySource>& aSources) {
  const auto same = std::adjacent_find(
      aSources.begin(), aSources.end(),
      [](const PolicySource& aLeft, const PolicySource& aRight) {
        return aLeft.mName == aRight.mName;
      });
  if (same == aSources.end()) {
    return std::nullopt;
  }
  return Invalid("Policy '" + same->mName +
                 "' exists twice. Remove one of the two.");
}

// Runs the programs in the order of their last change, so that an error about
// two contradictory policies names the one changed later.
Result<PolicyRules> RunAll(std::vector<PolicySource> aSources,
                           const LuaLimits& aLimits) {
  std::stable_sort(aSources.begin(), aSources.end(),
                   [](const PolicySource& aLeft, const PolicySource& aRight) {
                     return aLeft.mChangedRevision < aRight.mChangedRevision;
                   });
  std::vector<PolicyProgram> programs;
  for (const PolicySource& source : aSources) {
    if (std::optional<Error> error = CheckSource(source)) {
      return *error;
    }
    Result<PolicyProgram> program =
        RunPolicy(source.mName, source.mProgram, aLimits);
    if (!program) {
      return program.error();
    }
    programs.push_back(std::move(*program));
  }
  return JoinPrograms(programs);
}

// Whether the rules declare tokens but none for operators, so that nobody could
// change the policies.
bool LocksOperatorsOut(const PolicyRules& aRules) {
  const auto isOperator = [](const TokenRule& aRule) {
    return aRule.mScope == "operator";
  };
  return !aRules.mTokens.empty() &&
         std::none_of(aRules.mTokens.begin(), aRules.mTokens.end(), isOperator);
}

json::value ToJson(const PolicySource& aSource) {
  return {{"name", aSource.mName},
          {"changed_at", aSource.mChangedRevision},
          {"author", aSource.mAuthor},
          {"program", aSource.mProgram}};
}

const json::string* Text(const json::object& aObject, const char* aKey) {
  const json::value* value = aObject.if_contains(aKey);
  return value ? value->if_string() : nullptr;
}

std::optional<uint64_t> Count(const json::object& aObject, const char* aKey) {
  const json::value* value = aObject.if_contains(aKey);
  if (!value || !value->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const uint64_t count = value->to_number<uint64_t>(error);
  return error ? std::nullopt : std::optional<uint64_t>(count);
}

std::optional<PolicySource> SourceFrom(const json::value& aValue) {
  const json::object* object = aValue.if_object();
  if (!object) {
    return std::nullopt;
  }
  const json::string* name = Text(*object, "name");
  const json::string* program = Text(*object, "program");
  const json::string* author = Text(*object, "author");
  const std::optional<uint64_t> changed = Count(*object, "changed_at");
  if (!name || !program || !author || !changed) {
    return std::nullopt;
  }
  PolicySource source;
  source.mName = *name;
  source.mProgram = *program;
  source.mChangedRevision = *changed;
  source.mAuthor = *author;
  return source;
}

Error Malformed() {
  return Error(ErrorKind::BadRequest,
               "The text is not an encoded policy set. Check the "
               "key of the policy set in the key-value service.");
}

}  // namespace

Result<PolicySet> PolicySet::Make(uint64_t aRevision,
                                  std::vector<PolicySource> aSources) {
  return Validate(Build(aRevision, std::move(aSources), Origin::Submitted));
}

Result<PolicySet> PolicySet::Validate(Result<PolicySet> aSet) {
  if (!aSet) {
    return aSet;
  }
  if (aSet->Encode().size() > kMaxEncodedBytes) {
    return Invalid(
        "All policies together take more than 900 kB. Remove some, or write "
        "them shorter.");
  }
  if (LocksOperatorsOut(aSet->Rules())) {
    return Invalid(
        "The policies would declare tokens but none with the scope "
        "\"operator\", so that nobody could change them any more. Declare an "
        "operator's token first, and remove the last one last.");
  }
  return aSet;
}

Result<PolicySet> PolicySet::Build(uint64_t aRevision,
                                   std::vector<PolicySource> aSources,
                                   Origin aOrigin) {
  std::sort(aSources.begin(), aSources.end(),
            [](const PolicySource& aLeft, const PolicySource& aRight) {
              return aLeft.mName < aRight.mName;
            });
  if (std::optional<Error> error = CheckUnique(aSources)) {
    return *error;
  }
  const bool accepted = aOrigin == Origin::Accepted;
  Result<PolicyRules> rules =
      RunAll(aSources, accepted ? LuaLimits::Accepted() : LuaLimits());
  if (!rules) {
    return rules.error();
  }
  PolicySet set;
  set.mRevision = aRevision;
  set.mSources = std::move(aSources);
  set.mRules = std::move(*rules);
  return set;
}

Result<PolicySet> PolicySet::With(PolicySource aSource) const {
  const Result<PolicyRules> own =
      EvaluatePolicy(aSource.mName, aSource.mProgram);
  if (!own) {
    return own.error();
  }
  const uint64_t next = mRevision + 1;
  aSource.mChangedRevision = next;
  std::vector<PolicySource> sources = mSources;
  std::erase_if(sources, [&](const PolicySource& aOther) {
    return aOther.mName == aSource.mName;
  });
  sources.push_back(std::move(aSource));
  return Validate(Build(next, std::move(sources), Origin::Accepted));
}

Result<PolicySet> PolicySet::Without(std::string_view aName) const {
  if (!Find(aName)) {
    return Error(ErrorKind::NotFound,
                 "There is no policy '" + std::string(aName) + "'.");
  }
  std::vector<PolicySource> sources = mSources;
  std::erase_if(sources, [&](const PolicySource& aSource) {
    return aSource.mName == aName;
  });
  return Validate(Build(mRevision + 1, std::move(sources), Origin::Accepted));
}

const PolicySource* PolicySet::Find(std::string_view aName) const {
  for (const PolicySource& source : mSources) {
    if (source.mName == aName) {
      return &source;
    }
  }
  return nullptr;
}

std::string PolicySet::Encode() const {
  json::array policies;
  for (const PolicySource& source : mSources) {
    policies.push_back(ToJson(source));
  }
  const json::object set = {{"revision", mRevision}, {"policies", policies}};
  return json::serialize(set);
}

Result<PolicySet> PolicySet::Decode(std::string_view aText) {
  json::error_code error;
  const json::value value =
      json::parse(json::string_view(aText.data(), aText.size()), error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* list = object ? object->if_contains("policies") : nullptr;
  const json::array* policies = list ? list->if_array() : nullptr;
  const std::optional<uint64_t> revision =
      object ? Count(*object, "revision") : std::nullopt;
  if (!policies || !revision) {
    return Malformed();
  }
  std::vector<PolicySource> sources;
  for (const json::value& policy : *policies) {
    std::optional<PolicySource> source = SourceFrom(policy);
    if (!source) {
      return Malformed();
    }
    sources.push_back(std::move(*source));
  }
  return Build(*revision, std::move(sources), Origin::Accepted);
}

Result<PolicyRules> EvaluatePolicy(std::string_view aName,
                                   std::string_view aProgram) {
  const PolicySource source{std::string(aName), std::string(aProgram)};
  return RunAll({source}, LuaLimits());
}

}  // namespace rillwall
