#include "rillwall/client_accounts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

namespace {

ClientAccount Account(const std::string& aName,
                      const std::vector<std::string>& aKeys) {
  ClientAccount account;
  account.mName = aName;
  for (const std::string& key : aKeys) {
    account.mKeys.push_back(DigestOfKey(key));
  }
  return account;
}

std::string Owner(const AccountTable& aTable, const std::string& aKey) {
  const ClientAccount* account = aTable.Find(aKey);
  return account == nullptr ? std::string() : account->mName;
}

}  // namespace

class ClientAccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClientAccountsTest);
  CPPUNIT_TEST(DigestsAreSha256);
  CPPUNIT_TEST(EachKeyFindsItsAccount);
  CPPUNIT_TEST(UnknownKeysFindNoAccount);
  CPPUNIT_TEST(PartOfAKeyFindsNoAccount);
  CPPUNIT_TEST(AccountMayHaveNoKeys);
  CPPUNIT_TEST(NoAccountListRequiresNoKey);
  CPPUNIT_TEST(EmptyAccountListRejectsEveryKey);
  CPPUNIT_TEST(DuplicateKeyBelongsToTheFirstAccount);
  CPPUNIT_TEST(CopyFindsItsOwnAccounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DigestsAreSha256() {
    // Test vector from FIPS 180-2, B.1.
    const KeyDigest digest = DigestOfKey("abc");
    CPPUNIT_ASSERT_EQUAL(0xba, static_cast<int>(digest.front()));
    CPPUNIT_ASSERT_EQUAL(0xad, static_cast<int>(digest.back()));
  }

  void EachKeyFindsItsAccount() {
    // An account has two keys while one is being replaced, so that no request
    // is refused.
    const AccountTable table({Account("a", {"k1", "k2"}), Account("b", {"x"})});
    CPPUNIT_ASSERT(table.Required());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Owner(table, "k1"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Owner(table, "k2"));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Owner(table, "x"));
  }

  void UnknownKeysFindNoAccount() {
    const AccountTable table({Account("a", {"k1"})});
    CPPUNIT_ASSERT_EQUAL(std::string(), Owner(table, "k9"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Owner(table, ""));
  }

  void PartOfAKeyFindsNoAccount() {
    const AccountTable table({Account("a", {"k1k2"})});
    CPPUNIT_ASSERT_EQUAL(std::string(), Owner(table, "k1"));
    CPPUNIT_ASSERT_EQUAL(std::string(), Owner(table, "k1k2 "));
  }

  void AccountMayHaveNoKeys() {
    const AccountTable table({Account("a", {}), Account("b", {"x"})});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, table.Accounts().size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Owner(table, "x"));
  }

  void NoAccountListRequiresNoKey() {
    CPPUNIT_ASSERT(!AccountTable().Required());
    CPPUNIT_ASSERT(AccountTable().Find("k") == nullptr);
  }

  void EmptyAccountListRejectsEveryKey() {
    const AccountTable table{std::vector<ClientAccount>()};
    CPPUNIT_ASSERT(table.Required());
    CPPUNIT_ASSERT(table.Find("k") == nullptr);
    CPPUNIT_ASSERT(table != AccountTable());
  }

  void DuplicateKeyBelongsToTheFirstAccount() {
    const AccountTable table({Account("a", {"k"}), Account("b", {"k"})});
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Owner(table, "k"));
  }

  void CopyFindsItsOwnAccounts() {
    std::optional<AccountTable> first{
        AccountTable(std::vector<ClientAccount>{Account("a", {"k"})})};
    const AccountTable copy = *first;
    first.reset();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Owner(copy, "k"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientAccountsTest);

}  // namespace rillwall
