/// \file
/// Tests of the list of known nodes.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/node_directory.h"

namespace rillwall {

namespace {

constexpr Millis kNow{1000};
const NodeEntry kEntry{"10.0.0.2:1", true};
const NodeEntry kDisk{"10.0.0.1:1", false};

}  // namespace

class NodeDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeDirectoryTest);
  CPPUNIT_TEST(EntryHostsAreTheFirstRelays);
  CPPUNIT_TEST(EntryHostsAreNoCandidates);
  CPPUNIT_TEST(SilentNodesAreForgotten);
  CPPUNIT_TEST(TagChangesWithTheList);
  CPPUNIT_TEST(AdoptedListReplacesTheOldOne);
  CPPUNIT_TEST(HostCountIsRoundedUp);
  CPPUNIT_TEST(FewOfManyNodesAreAdvertised);
  CPPUNIT_TEST(AdvertisedNodesChangeOnlyWhenOneOfThemDoes);
  CPPUNIT_TEST_SUITE_END();

  NodeDirectory mNodes;

 public:
  void setUp() override { mNodes.Adopt({kDisk, kEntry}, kNow); }

 private:
  void EntryHostsAreTheFirstRelays() {
    CPPUNIT_ASSERT(mNodes.Relays("self") ==
                   std::vector<std::string>({kEntry.mAddress, kDisk.mAddress}));
    CPPUNIT_ASSERT(mNodes.Relays(kEntry.mAddress) ==
                   std::vector<std::string>{kDisk.mAddress});
  }

  void EntryHostsAreNoCandidates() {
    CPPUNIT_ASSERT(mNodes.Candidates("self") ==
                   std::vector<std::string>{kDisk.mAddress});
    CPPUNIT_ASSERT(mNodes.Candidates(kDisk.mAddress).empty());
  }

  void HostCountIsRoundedUp() {
    CPPUNIT_ASSERT_EQUAL(size_t{16}, mNodes.EntryHostCount());
    for (int i = 0; i < 16; ++i) {
      mNodes.RecordContact({"10.0.1." + std::to_string(i) + ":1", true}, kNow);
      mNodes.RecordContact({"10.0.2." + std::to_string(i) + ":1", false}, kNow);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{32}, mNodes.EntryHostCount());
    mNodes.RecordContact(kEntry, kNow + Millis(9000));
    CPPUNIT_ASSERT_EQUAL(size_t{16}, mNodes.EntryHostCount());
    mNodes.Adopt({kDisk}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mNodes.EntryHostCount());
  }

  void SilentNodesAreForgotten() {
    mNodes.RecordContact(kEntry, kNow + Millis(7000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mNodes.List().size());
    CPPUNIT_ASSERT(mNodes.Knows(kDisk.mAddress));
    mNodes.RecordContact(kEntry, kNow + Millis(9000));
    CPPUNIT_ASSERT(mNodes.List() == std::vector<NodeEntry>{kEntry});
    CPPUNIT_ASSERT(!mNodes.Knows(kDisk.mAddress));
    CPPUNIT_ASSERT(!mNodes.Knows("never heard of"));
  }

  void TagChangesWithTheList() {
    const uint64_t tag = mNodes.Tag();
    mNodes.RecordContact(kEntry, kNow);
    CPPUNIT_ASSERT_EQUAL(tag, mNodes.Tag());
    mNodes.RecordContact({"10.0.0.3:1", true}, kNow);
    CPPUNIT_ASSERT(tag != mNodes.Tag());
  }

  void AdoptedListReplacesTheOldOne() {
    mNodes.Adopt({kEntry}, kNow);
    CPPUNIT_ASSERT(mNodes.Candidates("self").empty());
  }

  /// Adds 250 entry hosts and 24 candidates, the size of the largest
  /// deployment.
  void ContactMany() {
    for (int i = 0; i < 250; ++i) {
      mNodes.RecordContact({"10.1.0." + std::to_string(i) + ":1", true}, kNow);
    }
    for (int i = 0; i < 24; ++i) {
      mNodes.RecordContact({"10.2.0." + std::to_string(i) + ":1", false}, kNow);
    }
  }

  void FewOfManyNodesAreAdvertised() {
    ContactMany();
    CPPUNIT_ASSERT_EQUAL(size_t{276}, mNodes.List().size());
    CPPUNIT_ASSERT_EQUAL(size_t{24}, mNodes.Advertised().size());
    // A node that adopts this list advertises the same one.
    NodeDirectory other;
    other.Adopt(mNodes.Advertised(), kNow);
    CPPUNIT_ASSERT_EQUAL(mNodes.Tag(), other.Tag());
    CPPUNIT_ASSERT_EQUAL(size_t{12}, other.Candidates("self").size());
  }

  // The contacts of 300 nodes after a start, one after the other, must not each
  // change the list that is advertised to all nodes.
  void AdvertisedNodesChangeOnlyWhenOneOfThemDoes() {
    ContactMany();
    uint64_t tag = mNodes.Tag();
    int changes = 0;
    for (int i = 0; i < 300; ++i) {
      mNodes.RecordContact({"10.3.0." + std::to_string(i) + ":1", true}, kNow);
      changes += mNodes.Tag() == tag ? 0 : 1;
      tag = mNodes.Tag();
    }
    CPPUNIT_ASSERT(changes < 30);
    // An advertised node becomes silent, and another one takes its place.
    const std::string named = mNodes.Advertised().front().mAddress;
    for (const NodeEntry& node : mNodes.List()) {
      if (node.mAddress != named) {
        mNodes.RecordContact(node, kNow + Millis(9000));
      }
    }
    mNodes.RecordContact(kDisk, kNow + Millis(10000));
    CPPUNIT_ASSERT(mNodes.Advertised().front().mAddress != named);
    CPPUNIT_ASSERT_EQUAL(size_t{24}, mNodes.Advertised().size());
    CPPUNIT_ASSERT(tag != mNodes.Tag());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeDirectoryTest);

}  // namespace rillwall
