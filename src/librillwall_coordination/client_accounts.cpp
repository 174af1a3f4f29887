#include "rillwall/client_accounts.h"

#include <cstring>

#include "sha256.h"

namespace rillwall {

KeyDigest DigestOfKey(std::string_view aKey) { return Sha256({aKey}); }

size_t AccountTable::DigestHash::operator()(const KeyDigest& aDigest) const {
  size_t hash = 0;
  std::memcpy(&hash, aDigest.data(), sizeof(hash));
  return hash;
}

AccountTable::AccountTable(std::vector<ClientAccount> aAccounts)
    : mRequired(true), mAccounts(std::move(aAccounts)) {
  for (size_t i = 0; i < mAccounts.size(); ++i) {
    mByName.try_emplace(mAccounts[i].mName, i);
    for (const KeyDigest& key : mAccounts[i].mKeys) {
      mByKey.try_emplace(key, i);
    }
  }
}

// Compares digests and not keys, so that the time of the lookup reveals nothing
// that helps to guess a key.
const ClientAccount* AccountTable::Find(std::string_view aKey) const {
  const auto found = mByKey.find(DigestOfKey(aKey));
  return found == mByKey.end() ? nullptr : &mAccounts[found->second];
}

const ClientAccount* AccountTable::FindByName(std::string_view aName) const {
  const auto found = mByName.find(aName);
  return found == mByName.end() ? nullptr : &mAccounts[found->second];
}

}  // namespace rillwall
