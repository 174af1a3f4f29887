/// \file
/// The client accounts of the operator's configuration, and which of them an
/// API key belongs to.
///
/// Part of the immutable snapshot of the configuration, so that a key and the
/// routes it opens always come from one version. Keys are kept as digests only.
/// A look-up costs one SHA-256 of the key and one step in a hash table, however
/// many accounts and keys there are: 0.3 us at 80 keys and at 10,000
/// (client_accounts_bench).
///
/// Pure: no I/O and no clock.

#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rillwall {

/// SHA-256 of an API key.
using KeyDigest = std::array<unsigned char, 32>;
KeyDigest DigestOfKey(std::string_view aKey);

/// One client account.
struct ClientAccount {
  std::string mName;
  std::optional<int> mPriority;  ///< goes before the route's; 0 is the highest
  std::vector<KeyDigest> mKeys;  ///< none: all its keys were revoked
  /// Where its requests may be served; nothing: in any region.
  std::optional<std::vector<std::string>> mRegions;
  bool operator==(const ClientAccount&) const = default;
};

/// All accounts of one version of the configuration.
class AccountTable {
 public:
  /// No accounts are configured: requests need no key.
  AccountTable() = default;
  /// Requests need a key from now on, also if the list is empty. A key that is
  /// listed twice belongs to the account that has it first.
  explicit AccountTable(std::vector<ClientAccount> aAccounts);

  /// \return whether requests need the key of an account
  bool Required() const { return mRequired; }
  const std::vector<ClientAccount>& Accounts() const { return mAccounts; }
  /// \return the account of a key, or null if no account has it
  const ClientAccount* Find(std::string_view aKey) const;
  /// \return the account of a name, or null if there is none
  const ClientAccount* FindByName(std::string_view aName) const;
  bool operator==(const AccountTable& aOther) const {
    return mRequired == aOther.mRequired && mAccounts == aOther.mAccounts;
  }

 private:
  /// Any bytes of a digest are as good a hash as all of them.
  struct FirstBytes {
    size_t operator()(const KeyDigest& aDigest) const;
  };

  bool mRequired = false;
  std::vector<ClientAccount> mAccounts;
  std::unordered_map<KeyDigest, size_t, FirstBytes> mByKey;
  std::map<std::string, size_t, std::less<>> mByName;
};

}  // namespace rillwall
