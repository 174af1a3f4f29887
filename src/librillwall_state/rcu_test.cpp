#include "rillwall/rcu.h"

#include <cppunit/extensions/HelperMacros.h>

#include <latch>
#include <thread>

namespace rillwall {

namespace {

/// Two members that are equal in every published snapshot.
struct Pair {
  int mLeft = 0;
  int mRight = 0;
};

using Cell = RcuCell<Pair>;

std::shared_ptr<const Pair> MakePair(int aValue) {
  return std::make_shared<const Pair>(Pair{aValue, aValue});
}

}  // namespace

class RcuTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RcuTest);
  CPPUNIT_TEST(TestReadReturnsTheNewestSnapshot);
  CPPUNIT_TEST(TestCellsAreIndependent);
  CPPUNIT_TEST(TestOldSnapshotsAreFreed);
  CPPUNIT_TEST(TestConcurrentUpdatesAreNotLost);
  CPPUNIT_TEST(TestReadersSeeWholeSnapshotsInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReadReturnsTheNewestSnapshot() {
    Cell cell(MakePair(1));
    const Cell::Snapshot first = cell.Read();
    cell.Publish(MakePair(2));
    CPPUNIT_ASSERT_EQUAL(1, first->mLeft);
    CPPUNIT_ASSERT_EQUAL(2, cell.Read()->mLeft);
    CPPUNIT_ASSERT(cell.Read() == cell.Read());
  }

  void TestCellsAreIndependent() {
    Cell one(MakePair(1));
    Cell two(MakePair(2));
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, one.Read()->mLeft);
      CPPUNIT_ASSERT_EQUAL(2, two.Read()->mLeft);
    }
  }

  void TestOldSnapshotsAreFreed() {
    std::weak_ptr<const Pair> old;
    Cell cell(MakePair(1));
    old = cell.Read();
    cell.Publish(MakePair(2));
    CPPUNIT_ASSERT_EQUAL(2, cell.Read()->mLeft);
    CPPUNIT_ASSERT(old.expired());
    {
      Cell other(MakePair(3));
      old = other.Read();
    }
    cell.Publish(MakePair(4));
    cell.Read();
    CPPUNIT_ASSERT_MESSAGE("a destroyed cell's value", old.expired());
  }

  void TestConcurrentUpdatesAreNotLost() {
    constexpr int kThreads = 4;
    constexpr int kEach = 5000;
    Cell cell(MakePair(0));
    std::latch begin(kThreads);
    const auto add = [&] {
      begin.arrive_and_wait();
      for (int i = 0; i < kEach; ++i) {
        cell.Update(
            [](const Pair& aPair) { return MakePair(aPair.mLeft + 1); });
      }
    };
    std::vector<std::thread> writers;
    for (int i = 0; i < kThreads; ++i) {
      writers.emplace_back(add);
    }
    for (std::thread& writer : writers) {
      writer.join();
    }
    CPPUNIT_ASSERT_EQUAL(kThreads * kEach, cell.Read()->mLeft);
    CPPUNIT_ASSERT(!cell.Update([](const Pair&) { return nullptr; }));
  }

  void TestReadersSeeWholeSnapshotsInOrder() {
    constexpr int kReaders = 4;
    constexpr int kLast = 2000;
    Cell cell(MakePair(0));
    std::atomic<int> torn{0};
    std::atomic<int> backwards{0};
    const auto read = [&] {
      int seen = 0;
      while (seen < kLast) {
        const Cell::Snapshot pair = cell.Read();
        torn += pair->mLeft != pair->mRight;
        backwards += pair->mLeft < seen;
        seen = pair->mLeft;
      }
    };
    std::vector<std::thread> readers;
    for (int i = 0; i < kReaders; ++i) {
      readers.emplace_back(read);
    }
    for (int value = 1; value <= kLast; ++value) {
      cell.Publish(MakePair(value));
    }
    for (std::thread& reader : readers) {
      reader.join();
    }
    CPPUNIT_ASSERT_EQUAL(0, torn.load());
    CPPUNIT_ASSERT_EQUAL(0, backwards.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RcuTest);

}  // namespace rillwall
