/// \file
/// Tests of the list of nodes.

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
  CPPUNIT_TEST(EntryHostsPassCallsOnFirst);
  CPPUNIT_TEST(CandidatesTakeNoClients);
  CPPUNIT_TEST(SilentNodesAreForgotten);
  CPPUNIT_TEST(TagFollowsTheList);
  CPPUNIT_TEST(AdoptedListReplacesTheOwn);
  CPPUNIT_TEST_SUITE_END();

  NodeDirectory mNodes;

 public:
  void setUp() override { mNodes.Adopt({kDisk, kEntry}, kNow); }

 private:
  void EntryHostsPassCallsOnFirst() {
    CPPUNIT_ASSERT(mNodes.Relays("self") ==
                   std::vector<std::string>({kEntry.mAddress, kDisk.mAddress}));
    CPPUNIT_ASSERT(mNodes.Relays(kEntry.mAddress) ==
                   std::vector<std::string>{kDisk.mAddress});
  }

  void CandidatesTakeNoClients() {
    CPPUNIT_ASSERT(mNodes.Candidates("self") ==
                   std::vector<std::string>{kDisk.mAddress});
    CPPUNIT_ASSERT(mNodes.Candidates(kDisk.mAddress).empty());
  }

  void SilentNodesAreForgotten() {
    mNodes.Heard(kEntry, kNow + Millis(7000));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mNodes.List().size());
    CPPUNIT_ASSERT(mNodes.Knows(kDisk.mAddress));
    mNodes.Heard(kEntry, kNow + Millis(9000));
    CPPUNIT_ASSERT(mNodes.List() == std::vector<NodeEntry>{kEntry});
    CPPUNIT_ASSERT(!mNodes.Knows(kDisk.mAddress));
    CPPUNIT_ASSERT(!mNodes.Knows("never heard of"));
  }

  void TagFollowsTheList() {
    const uint64_t tag = mNodes.Tag();
    mNodes.Heard(kEntry, kNow);
    CPPUNIT_ASSERT_EQUAL(tag, mNodes.Tag());
    mNodes.Heard({"10.0.0.3:1", true}, kNow);
    CPPUNIT_ASSERT(tag != mNodes.Tag());
  }

  void AdoptedListReplacesTheOwn() {
    mNodes.Adopt({kEntry}, kNow);
    CPPUNIT_ASSERT(mNodes.Candidates("self").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeDirectoryTest);

}  // namespace rillwall
