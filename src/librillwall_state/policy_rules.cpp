/// \file
/// Lookups in the rules, used on the request path.

#include <algorithm>
#include <cctype>

#include "rillwall/policy.h"

namespace rillwall {

namespace {

// Binary search; rules are sorted by name.
template <class Rule>
const Rule* Find(const std::vector<Rule>& aRules, std::string_view aName) {
  const auto at =
      std::lower_bound(aRules.begin(), aRules.end(), aName,
                       [](const Rule& aRule, std::string_view aKey) {
                         return aRule.mName < aKey;
                       });
  return at != aRules.end() && at->mName == aName ? &*at : nullptr;
}

char Lower(char aByte) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aByte)));
}

int HexDigit(char aByte) {
  if (aByte >= '0' && aByte <= '9') {
    return aByte - '0';
  }
  const char lower = Lower(aByte);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view aPath) {
  std::string text;
  for (size_t i = 0; i < aPath.size(); ++i) {
    const bool escape = aPath[i] == '%' && i + 2 < aPath.size();
    const int high = escape ? HexDigit(aPath[i + 1]) : -1;
    const int low = escape ? HexDigit(aPath[i + 2]) : -1;
    if (high < 0 || low < 0) {
      text += aPath[i];
      continue;
    }
    text += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return text;
}

void AddSegment(std::vector<std::string>& aSegments, std::string aSegment) {
  if (aSegment.empty() || aSegment == ".") {
    return;
  }
  if (aSegment != "..") {
    aSegments.push_back(std::move(aSegment));
  } else if (!aSegments.empty()) {
    aSegments.pop_back();
  }
}

// Normalizes a path, so that a different spelling cannot bypass a rule: a
// service may treat "/charges", "//Charges/" and "/%63harges" as the same path.
std::string CanonicalPath(std::string_view aPath) {
  const std::string text =
      PercentDecode(aPath.substr(0, aPath.find_first_of("?#")));
  std::vector<std::string> segments;
  std::string segment;
  for (const char byte : text) {
    if (byte != '/') {
      segment += Lower(byte);
      continue;
    }
    AddSegment(segments, std::move(segment));
    segment.clear();
  }
  AddSegment(segments, std::move(segment));
  std::string path;
  for (const std::string& part : segments) {
    path += "/" + part;
  }
  return path.empty() ? "/" : path;
}

bool MethodMatches(std::string_view aRule, std::string_view aMethod) {
  return aRule == "*" || std::equal(aRule.begin(), aRule.end(), aMethod.begin(),
                                    aMethod.end(), [](char aLeft, char aRight) {
                                      return Lower(aLeft) == Lower(aRight);
                                    });
}

// The rule "/v1/*" matches "/v1" and all paths below it; "/v1*" matches all
// paths with this prefix.
bool PathMatches(std::string_view aRule, const std::string& aPath) {
  if (!aRule.ends_with("*")) {
    return CanonicalPath(aRule) == aPath;
  }
  aRule.remove_suffix(1);
  std::string prefix = CanonicalPath(aRule);
  if (prefix == "/" || aPath == prefix) {
    return true;
  }
  if (aRule.ends_with("/")) {
    prefix += "/";
  }
  return aPath.starts_with(prefix);
}

}  // namespace

const TrainerRule* PolicyRules::Trainer(std::string_view aName) const {
  return Find(mTrainers, aName);
}

const HouseRule* PolicyRules::House(std::string_view aName) const {
  return Find(mHouses, aName);
}

const ServiceRule* PolicyRules::Service(std::string_view aName) const {
  return Find(mServices, aName);
}

const ModelRule* PolicyRules::Model(std::string_view aName) const {
  return Find(mModels, aName);
}

bool PolicyRules::NonIdempotent(std::string_view aService,
                                std::string_view aMethod,
                                std::string_view aPath) const {
  const ServiceRule* service = Service(aService);
  if (!service || service->mNonIdempotent.empty()) {
    return false;
  }
  const std::string path = CanonicalPath(aPath);
  for (const std::string& call : service->mNonIdempotent) {
    const std::string_view text = call;
    const size_t space = text.find(' ');
    if (MethodMatches(text.substr(0, space), aMethod) &&
        PathMatches(text.substr(space + 1), path)) {
      return true;
    }
  }
  return false;
}

}  // namespace rillwall
