/// \file
/// Client accounts of the operator's configuration, and the lookup of the
/// account that an API key belongs to.
///
/// The table is part of the immutable configuration snapshot, so that a key and
/// the routes that it gives access to always come from the same version. Only
/// digests of the keys are stored. A lookup costs one SHA-256 of the key and
/// one hash table access, independent of the number of accounts and keys: 0.3
/// us with 80 keys and with 10,000 (client_accounts_bench).
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

/// SHA-256 digest of an API key.
using KeyDigest = std::array<unsigned char, 32>;
KeyDigest DigestOfKey(std::string_view aKey);

/// One client account.
struct ClientAccount {
  std::string mName;
  /// Overrides the priority of the route; 0 is the highest.
  std::optional<int> mPriority;
  std::vector<KeyDigest> mKeys;  ///< empty if all keys were revoked
  /// Regions in which its requests may be served; unset: any region.
  std::optional<std::vector<std::string>> mRegions;
  bool operator==(const ClientAccount&) const = default;
};

/// All client accounts of one version of the configuration.
class AccountTable {
 public:
  /// Creates a table without accounts: requests need no key.
  AccountTable() = default;
  /// Creates a table that requires a key for requests, even if the list is
  /// empty. A key that is listed twice belongs to the first account that lists
  /// it.
  explicit AccountTable(std::vector<ClientAccount> aAccounts);

  /// \return whether requests need the key of an account
  bool Required() const { return mRequired; }
  const std::vector<ClientAccount>& Accounts() const { return mAccounts; }
  /// \return the account of a key, or null if the key is unknown
  const ClientAccount* Find(std::string_view aKey) const;
  /// \return the account with a name, or null if there is none
  const ClientAccount* FindByName(std::string_view aName) const;
  bool operator==(const AccountTable& aOther) const {
    return mRequired == aOther.mRequired && mAccounts == aOther.mAccounts;
  }

 private:
  /// Uses the first bytes of a digest as its hash; they are uniformly
  /// distributed.
  struct DigestHash {
    size_t operator()(const KeyDigest& aDigest) const;
  };

  bool mRequired = false;
  std::vector<ClientAccount> mAccounts;
  std::unordered_map<KeyDigest, size_t, DigestHash> mByKey;
  std::map<std::string, size_t, std::less<>> mByName;
};

}  // namespace rillwall
