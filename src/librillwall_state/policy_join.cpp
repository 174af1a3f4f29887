/// \file
/// Joins what all policies declare and finds contradictions.

#include <algorithm>
#include <map>
#include <optional>

#include "policy_program.h"

namespace rillwall {

namespace {

/// A declaration and the policy that made it.
template <class Rule>
struct Origin {
  const Declared<Rule>* mDeclared;
  const PolicyProgram* mProgram;
};

// Tokens are told apart by their secret; two may bear one name, so that a
// token can be replaced without a gap.
std::string Key(const TokenRule& aRule) {
  return aRule.mSalt + "/" + aRule.mHash;
}

template <class Rule>
std::string Key(const Rule& aRule) {
  return aRule.mName;
}

template <class Rule>
Error Contradiction(const char* aKind, const Origin<Rule>& aFirst,
                    const Origin<Rule>& aSecond) {
  const std::string& first = aFirst.mProgram->mPolicy;
  const std::string& second = aSecond.mProgram->mPolicy;
  LuaFault fault;
  fault.mLine = aSecond.mDeclared->mLine;
  fault.mCause = std::string(aKind) + " '" + aSecond.mDeclared->mRule.mName +
                 "' is declared differently by policy '" + first + "', line " +
                 std::to_string(aFirst.mDeclared->mLine);
  fault.mRemedy = first == second
                      ? "Remove one of the two."
                      : "Remove one of the two, or make them equal.";
  return PolicyError(second, fault);
}

template <auto Declarations, auto Rules>
std::optional<Error> Join(const char* aKind,
                          const std::vector<PolicyProgram>& aPrograms,
                          PolicyRules& aJoined) {
  auto& rules = aJoined.*Rules;
  using Rule = typename std::remove_reference_t<decltype(rules)>::value_type;
  std::map<std::string, Origin<Rule>> known;
  for (const PolicyProgram& program : aPrograms) {
    for (const Declared<Rule>& declared : program.*Declarations) {
      const Origin<Rule> origin{&declared, &program};
      const auto [at, fresh] = known.emplace(Key(declared.mRule), origin);
      if (!fresh && !(at->second.mDeclared->mRule == declared.mRule)) {
        return Contradiction(aKind, at->second, origin);
      }
    }
  }
  for (const auto& [key, origin] : known) {
    rules.push_back(origin.mDeclared->mRule);
  }
  return std::nullopt;
}

struct Part {
  const char* mKind;
  std::optional<Error> (*mJoin)(const char*, const std::vector<PolicyProgram>&,
                                PolicyRules&);
};

constexpr Part kParts[] = {
    {"trainer", &Join<&PolicyProgram::mTrainers, &PolicyRules::mTrainers>},
    {"house", &Join<&PolicyProgram::mHouses, &PolicyRules::mHouses>},
    {"service", &Join<&PolicyProgram::mServices, &PolicyRules::mServices>},
    {"model", &Join<&PolicyProgram::mModels, &PolicyRules::mModels>},
    {"token", &Join<&PolicyProgram::mTokens, &PolicyRules::mTokens>},
};

}  // namespace

Result<PolicyRules> JoinPrograms(const std::vector<PolicyProgram>& aPrograms) {
  PolicyRules rules;
  for (const Part& part : kParts) {
    std::optional<Error> error = part.mJoin(part.mKind, aPrograms, rules);
    if (error) {
      return *error;
    }
  }
  return rules;
}

}  // namespace rillwall
