#include "rillwall/admission.h"

#include <boost/algorithm/string/predicate.hpp>

namespace rillwall {

namespace {

constexpr char kAuthorization[] = "Authorization";
constexpr std::string_view kScheme = "Bearer ";
/// Another host may know the key; a client that is sent away comes back there.
constexpr Millis kComeBack{200};

/// \return the key in the Authorization header; empty if there is none
std::string_view KeyOf(const HttpRequest& aRequest) {
  const std::string* header = aRequest.Find(kAuthorization);
  if (header == nullptr || !boost::istarts_with(*header, kScheme)) {
    return {};
  }
  std::string_view key = *header;
  key.remove_prefix(kScheme.size());
  const size_t first = key.find_first_not_of(' ');
  return first == key.npos ? std::string_view() : key.substr(first);
}

}  // namespace

Result<Caller> Authenticate(const NodeContext& aNode, const RouteTable& aRoutes,
                            const HttpRequest& aRequest, bool aPublic) {
  const AccountTable& accounts = aRoutes.Accounts();
  if (aPublic || !accounts.Required()) {
    return Caller();
  }
  const std::string_view key = KeyOf(aRequest);
  const ClientAccount* account = accounts.Find(key);
  if (account != nullptr) {
    return Caller{account->mName, account->mPriority};
  }
  if (key.empty()) {
    return Error(ErrorKind::Unauthorized,
                 "The request carries no API key; send it as "
                 "'Authorization: Bearer KEY'.");
  }
  if (aNode.Now() - aNode.mConfigConfirmedAt > aNode.mBounds.mConfig) {
    return Error(ErrorKind::Unavailable,
                 "This host does not know the API key, and its configuration "
                 "may be out of date.")
        .WithRetryAfter(kComeBack);
  }
  return Error(ErrorKind::Unauthorized,
               "No client account has this API key; it may have been revoked.");
}

void SetAccountHeader(const NodeContext& aNode, const RouteTable& aRoutes,
                      const std::string& aAccount,
                      std::vector<HttpHeader>& aHeaders) {
  const std::string& name = aNode.mHeaders.mAccount;
  const bool keys = aRoutes.Accounts().Required();
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    return boost::iequals(aHeader.mName, name) ||
           (keys && boost::iequals(aHeader.mName, kAuthorization));
  });
  if (!aAccount.empty()) {
    aHeaders.push_back({name, aAccount});
  }
}

}  // namespace rillwall
