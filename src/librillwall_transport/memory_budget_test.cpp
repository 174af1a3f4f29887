/// \file
/// Tests of the budget's parts, of the order in which waiting charges are
/// granted, of evictions, and of charges that move with what they are for.

#include "rillwall/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "rillwall/shared_text.h"

namespace rillwall {

namespace {

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(TestEachUseHasItsPart);
  CPPUNIT_TEST(TestLargeLeavesAPartToManyConnections);
  CPPUNIT_TEST(TestHostsUseWhatIsFree);
  CPPUNIT_TEST(TestSmallerChargesAreGrantedFirst);
  CPPUNIT_TEST(TestChargesThatNeverFitDoNotWait);
  CPPUNIT_TEST(TestRoomIsGrantedAtOnce);
  CPPUNIT_TEST(TestStoppedWaiterGetsNothing);
  CPPUNIT_TEST(TestSlowReceiverThatHeldMostForLongestIsEvicted);
  CPPUNIT_TEST(TestFastReceiversStay);
  CPPUNIT_TEST(TestChargeBecomesLarge);
  CPPUNIT_TEST(TestTextHoldsItsCharge);
  CPPUNIT_TEST(TestUnlimitedBudget);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t kCapacity = 1000 * 1000;
  std::shared_ptr<MemoryBudget> mBudget =
      std::make_shared<MemoryBudget>(kCapacity);
  Millis mLastAt;  ///< when the receivers of the tests received last

 public:
  void TestEachUseHasItsPart() {
    CPPUNIT_ASSERT(mBudget->TryCharge(837'500, MemoryUse::Large));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Large));
    CPPUNIT_ASSERT(mBudget->TryCharge(62'500, MemoryUse::Small));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Small));
    CPPUNIT_ASSERT(mBudget->TryCharge(100'000, MemoryUse::Host));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Host));
    mBudget->Release(100'000, MemoryUse::Host);
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Small));
    CPPUNIT_ASSERT_EQUAL(size_t{900'000}, mBudget->Counts().mCharged);
    CPPUNIT_ASSERT_EQUAL(kCapacity, mBudget->Counts().mPeak);
  }

  void TestLargeLeavesAPartToManyConnections() {
    // Connections that large bodies belong to do not use up the part.
    CPPUNIT_ASSERT(mBudget->TryCharge(300'000, MemoryUse::Small));
    CPPUNIT_ASSERT(mBudget->TryCharge(537'500, MemoryUse::Large));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Large));
    CPPUNIT_ASSERT(mBudget->TryCharge(62'500, MemoryUse::Small));
  }

  void TestHostsUseWhatIsFree() {
    CPPUNIT_ASSERT(mBudget->TryCharge(500'000, MemoryUse::Host));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Host));
    // They leave a part to ordinary requests, and so do large ones.
    CPPUNIT_ASSERT(mBudget->TryCharge(437'500, MemoryUse::Large));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Large));
    CPPUNIT_ASSERT(mBudget->TryCharge(62'500, MemoryUse::Small));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Small));
    mBudget->Release(437'500, MemoryUse::Large);
    mBudget->Release(400'000, MemoryUse::Host);
    CPPUNIT_ASSERT(mBudget->TryCharge(775'000, MemoryUse::Large));
    CPPUNIT_ASSERT(!mBudget->TryCharge(1, MemoryUse::Host));
  }

  void TestSmallerChargesAreGrantedFirst() {
    CPPUNIT_ASSERT(mBudget->TryCharge(800'000, MemoryUse::Large));
    std::string granted;
    Wait(500'000, granted, 'a');
    Wait(200'000, granted, 'b');
    Wait(200'000, granted, 'c');
    mBudget->Release(800'000, MemoryUse::Large);
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), granted);
    mBudget->Release(200'000, MemoryUse::Large);
    CPPUNIT_ASSERT_EQUAL(std::string("bca"), granted);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, mBudget->Counts().mWaits);
  }

  void TestChargesThatNeverFitDoNotWait() {
    CPPUNIT_ASSERT(!mBudget->Wait(837'501, MemoryUse::Large, [] {}));
    CPPUNIT_ASSERT(mBudget->Wait(837'500, MemoryUse::Large, [] {}));
  }

  void TestRoomIsGrantedAtOnce() {
    std::string granted;
    const auto ticket = Wait(100'000, granted, 'a');
    CPPUNIT_ASSERT_EQUAL(std::string("a"), granted);
    CPPUNIT_ASSERT(!mBudget->StopWaiting(ticket));
    CPPUNIT_ASSERT_EQUAL(size_t{100'000}, mBudget->Counts().mCharged);
  }

  void TestStoppedWaiterGetsNothing() {
    CPPUNIT_ASSERT(mBudget->TryCharge(800'000, MemoryUse::Large));
    std::string granted;
    const auto ticket = Wait(100'000, granted, 'a');
    CPPUNIT_ASSERT(mBudget->StopWaiting(ticket));
    mBudget->Release(800'000, MemoryUse::Large);
    CPPUNIT_ASSERT_EQUAL(std::string(), granted);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mBudget->Counts().mCharged);
    const auto other = Wait(100'000, granted, 'b');
    mBudget->Release(0, MemoryUse::Large);
    CPPUNIT_ASSERT(!mBudget->StopWaiting(other));
    CPPUNIT_ASSERT_EQUAL(size_t{100'000}, mBudget->Counts().mCharged);
  }

  void TestSlowReceiverThatHeldMostForLongestIsEvicted() {
    std::string evicted;
    Receive(300'000, 0, Millis(5000), evicted, 'a');
    Receive(200'000, 0, Millis(1000), evicted, 'b');
    Receive(100'000, 0, Millis(0), evicted, 'c');
    CPPUNIT_ASSERT(mBudget->EvictSlowReceiver(Millis(5500)));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), evicted);
    CPPUNIT_ASSERT(mBudget->EvictSlowReceiver(Millis(5500)));
    CPPUNIT_ASSERT_EQUAL(std::string("bc"), evicted);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, mBudget->Counts().mEvicted);
  }

  void TestFastReceiversStay() {
    std::string evicted;
    mLastAt = Millis(19'900);
    Receive(10'000'000, 9'000'000, Millis(0), evicted, 'a');
    CPPUNIT_ASSERT(!mBudget->EvictSlowReceiver(Millis(20'000)));
    // One that has just begun is not judged.
    mLastAt = Millis(20'000);
    Receive(10'000'000, 0, Millis(20'000), evicted, 'b');
    CPPUNIT_ASSERT(!mBudget->EvictSlowReceiver(Millis(20'100)));
    // A pause counts, whatever has been received before.
    CPPUNIT_ASSERT(mBudget->EvictSlowReceiver(Millis(20'300)));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), evicted);
  }

  void TestChargeBecomesLarge() {
    MemoryCharge charge(mBudget, MemoryUse::Host);
    CPPUNIT_ASSERT(charge.TryGrow(50'000));
    CPPUNIT_ASSERT(!mBudget->TryCharge(450'001, MemoryUse::Host));
    CPPUNIT_ASSERT(charge.TryGrow(500'000));
    CPPUNIT_ASSERT(mBudget->TryCharge(100'000, MemoryUse::Host));
    CPPUNIT_ASSERT(!charge.TryGrow(900'000));
    CPPUNIT_ASSERT_EQUAL(size_t{500'000}, charge.Bytes());
    charge.Shrink(10);
    CPPUNIT_ASSERT_EQUAL(size_t{100'010}, mBudget->Counts().mCharged);
    charge = MemoryCharge();
    CPPUNIT_ASSERT_EQUAL(size_t{100'000}, mBudget->Counts().mCharged);
  }

  void TestTextHoldsItsCharge() {
    MemoryCharge charge(mBudget, MemoryUse::Small);
    CPPUNIT_ASSERT(charge.TryGrow(1000));
    SharedText copy;
    {
      const SharedText text(std::string(1000, 'x'), std::move(charge));
      copy = text;
      CPPUNIT_ASSERT(text.Text().data() == copy.Text().data());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1000}, mBudget->Counts().mCharged);
    copy = SharedText();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mBudget->Counts().mCharged);
  }

  void TestUnlimitedBudget() {
    MemoryBudget unlimited;
    CPPUNIT_ASSERT(unlimited.TryCharge(size_t{1} << 40, MemoryUse::Large));
    MemoryCharge none;
    CPPUNIT_ASSERT(none.TryGrow(size_t{1} << 40));
  }

 private:
  MemoryBudget::Ticket Wait(size_t aBytes, std::string& aGranted, char aName) {
    return mBudget
        ->Wait(aBytes, MemoryUse::Large,
               [&aGranted, aName] { aGranted += aName; })
        .value();
  }
  void Receive(size_t aBytes, size_t aReceived, Millis aSince,
               std::string& aEvicted, char aName) {
    mBudget->AddReceiver({aBytes, aReceived, aSince, mLastAt,
                          [&aEvicted, aName] { aEvicted += aName; }});
  }
};

}  // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace rillwall
