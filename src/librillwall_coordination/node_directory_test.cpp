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
    CPPUNIT_ASSERT(mNodes.Relays("self", kNow) ==
                   std::vector<std::string>({kEntry.mAddress, kDisk.mAddress}));
    CPPUNIT_ASSERT(mNodes.Relays(kEntry.mAddress, kNow) ==
                   std::vector<std::string>{kDisk.mAddress});
  }

  void CandidatesTakeNoClients() {
    CPPUNIT_ASSERT(mNodes.Candidates("self", kNow) ==
                   std::vector<std::string>{kDisk.mAddress});
    CPPUNIT_ASSERT(mNodes.Candidates(kDisk.mAddress, kNow).empty());
  }

  void SilentNodesAreForgotten() {
    const Millis later = kNow + Millis(7000);
    mNodes.Heard(kEntry, later);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, mNodes.List(later).size());
    CPPUNIT_ASSERT(mNodes.List(later + Millis(2000)) ==
                   std::vector<NodeEntry>{kEntry});
  }

  void TagFollowsTheList() {
    const uint64_t tag = mNodes.Tag(kNow);
    mNodes.Heard(kEntry, kNow);
    CPPUNIT_ASSERT_EQUAL(tag, mNodes.Tag(kNow));
    mNodes.Heard({"10.0.0.3:1", true}, kNow);
    CPPUNIT_ASSERT(tag != mNodes.Tag(kNow));
  }

  void AdoptedListReplacesTheOwn() {
    mNodes.Adopt({kEntry}, kNow);
    CPPUNIT_ASSERT(mNodes.Candidates("self", kNow).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeDirectoryTest);

}  // namespace rillwall
