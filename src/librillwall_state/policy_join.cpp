/// \file
/// Joins the declarations of all policies and detects contradictions.

#include <algorithm>
#include <map>
#include <optional>

#include "policy_program.h"

namespace rillwall {

namespace {

/// A declaration and the policy that contains it.
template <class Rule>
struct Origin {
  const Declared<Rule>* mDeclared;
  const PolicyProgram* mProgram;
};

// Tokens are identified by their salted hash, not by name. Two tokens may have
// the same name, so that a token can be replaced without downtime.
std::string IdentityOf(const TokenRule& aRule) {
  return aRule.mSalt + "/" + aRule.mHash;
}

template <class Rule>
std::string IdentityOf(const Rule& aRule) {
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
      const auto [at, fresh] =
          known.emplace(IdentityOf(declared.mRule), origin);
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

// One kind of rule: its name in policies and the function that joins it.
struct RuleKind {
  const char* mKind;
  std::optional<Error> (*mJoin)(const char*, const std::vector<PolicyProgram>&,
                                PolicyRules&);
};

constexpr RuleKind kRuleKinds[] = {
    {"trainer", &Join<&PolicyProgram::mTrainers, &PolicyRules::mTrainers>},
    {"house", &Join<&PolicyProgram::mHouses, &PolicyRules::mHouses>},
    {"service", &Join<&PolicyProgram::mServices, &PolicyRules::mServices>},
    {"model", &Join<&PolicyProgram::mModels, &PolicyRules::mModels>},
    {"token", &Join<&PolicyProgram::mTokens, &PolicyRules::mTokens>},
};

}  // namespace

Result<PolicyRules> JoinPrograms(const std::vector<PolicyProgram>& aPrograms) {
  PolicyRules rules;
  for (const RuleKind& ruleKind : kRuleKinds) {
    std::optional<Error> error =
        ruleKind.mJoin(ruleKind.mKind, aPrograms, rules);
    if (error) {
      return *error;
    }
  }
  return rules;
}

}  // namespace rillwall
