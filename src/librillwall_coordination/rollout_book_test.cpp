/// \file
/// Tests of the decisions over a step's items.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/rollout.h"

namespace rillwall {

namespace {

constexpr int kAttempts = 3;

RolloutItem ItemOf(std::string aId, std::string aGroup, int64_t aHint = 10) {
  RolloutItem item;
  item.mId = std::move(aId);
  item.mGroup = std::move(aGroup);
  item.mLengthHint = aHint;
  return item;
}

/// Two groups of two; the second is expected to be longer.
RolloutSpec Spec() {
  RolloutSpec spec;
  spec.mId = "step";
  spec.mMinVersion = 4;
  spec.mItems = {ItemOf("a1", "a"), ItemOf("a2", "a"), ItemOf("b1", "b", 90),
                 ItemOf("b2", "b")};
  return spec;
}

RolloutText TextOf(int64_t aEvents, int64_t aVersion) {
  RolloutText text;
  for (int64_t i = 0; i < aEvents; ++i) {
    text.Append("e", aVersion);
  }
  return text;
}

/// Starts the next item. \return its id
std::string StartNext(RolloutBook& aBook) {
  const std::optional<RolloutPick> pick = aBook.Next();
  if (!pick) {
    return "none";
  }
  aBook.Started(pick->mItem, "r1");
  return aBook.Item(pick->mItem).mId;
}

void Finish(RolloutBook& aBook, const std::string& aItem) {
  const size_t index = *aBook.IndexOf(aItem);
  aBook.Text(index).Append("done", 5);
  aBook.Text(index).mScore = "s";
  aBook.Finished(index);
}

}  // namespace

class RolloutBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutBookTest);
  CPPUNIT_TEST(LongestGroupStartsFirst);
  CPPUNIT_TEST(BegunTextGoesOnFirst);
  CPPUNIT_TEST(RemembersTheReplicaThatFailed);
  CPPUNIT_TEST(GivesUpAfterAttempts);
  CPPUNIT_TEST(BrokenStreamsAreNoAttempts);
  CPPUNIT_TEST(ImpossibleItemIsTerminatedAtOnce);
  CPPUNIT_TEST(ListsEachResultOnce);
  CPPUNIT_TEST(CountsWholeGroups);
  CPPUNIT_TEST(RestoredResultsAreNotListedAgain);
  CPPUNIT_TEST(LateEndsAreIgnored);
  CPPUNIT_TEST(AdoptsOnlyTextThatFits);
  CPPUNIT_TEST(AdoptedWholeTextIsListed);
  CPPUNIT_TEST(CarriesTextsOfOpenGroups);
  CPPUNIT_TEST(GivesUpRest);
  CPPUNIT_TEST(TextKeepsEachVersionOnce);
  CPPUNIT_TEST_SUITE_END();

  RolloutBook mBook{Spec(), kAttempts, false};

  void LongestGroupStartsFirst() {
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), StartNext(mBook));
  }

  void BegunTextGoesOnFirst() {
    StartNext(mBook);
    StartNext(mBook);
    StartNext(mBook);
    const size_t a1 = *mBook.IndexOf("a1");
    mBook.Text(a1).Append("e", 5);
    mBook.Interrupted(*mBook.IndexOf("b1"), false);
    mBook.Interrupted(a1, false);
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), StartNext(mBook));
  }

  void RemembersTheReplicaThatFailed() {
    StartNext(mBook);
    mBook.Interrupted(*mBook.IndexOf("b1"), true);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), mBook.Next()->mAvoid);
  }

  void GivesUpAfterAttempts() {
    const size_t b1 = *mBook.IndexOf("b1");
    for (int i = 1; i <= kAttempts; ++i) {
      mBook.Started(b1, "r");
      CPPUNIT_ASSERT_EQUAL(i == kAttempts, mBook.Interrupted(b1, true));
    }
    const std::vector<RolloutResult> listed = mBook.TakeUnlisted();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, listed.size());
    CPPUNIT_ASSERT(listed[0].mEnd == RolloutEnd::Terminated);
  }

  void BrokenStreamsAreNoAttempts() {
    const size_t b1 = *mBook.IndexOf("b1");
    for (int i = 0; i < 10 * kAttempts; ++i) {
      mBook.Started(b1, "r");
      CPPUNIT_ASSERT(!mBook.Interrupted(b1, false));
    }
  }

  void ImpossibleItemIsTerminatedAtOnce() {
    StartNext(mBook);
    mBook.Impossible(*mBook.IndexOf("b1"));
    CPPUNIT_ASSERT(mBook.TakeUnlisted()[0].mEnd == RolloutEnd::Terminated);
  }

  void ListsEachResultOnce() {
    StartNext(mBook);
    Finish(mBook, "b1");
    Finish(mBook, "b1");
    const std::vector<RolloutResult> listed = mBook.TakeUnlisted();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, listed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), listed[0].mOutput);
    CPPUNIT_ASSERT(!mBook.HasUnlisted());
  }

  void CountsWholeGroups() {
    StartNext(mBook);
    StartNext(mBook);
    Finish(mBook, "b1");
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mBook.WholeGroups());
    Finish(mBook, "b2");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mBook.WholeGroups());
  }

  void RestoredResultsAreNotListedAgain() {
    RolloutResult result;
    result.mItem = "b1";
    result.mOutput = "before";
    mBook.Restore({result});
    CPPUNIT_ASSERT(!mBook.HasUnlisted());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, mBook.Ended());
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), StartNext(mBook));
  }

  void LateEndsAreIgnored() {
    StartNext(mBook);
    const size_t b1 = *mBook.IndexOf("b1");
    mBook.GiveUpRest();
    const size_t listed = mBook.TakeUnlisted().size();
    Finish(mBook, "b1");
    CPPUNIT_ASSERT(!mBook.Interrupted(b1, true));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, listed);
    CPPUNIT_ASSERT(!mBook.HasUnlisted());
  }

  void AdoptsOnlyTextThatFits() {
    const size_t a1 = *mBook.IndexOf("a1");
    CPPUNIT_ASSERT(!mBook.Adopt(a1, TextOf(3, 3)));
    CPPUNIT_ASSERT(mBook.Adopt(a1, TextOf(3, 4)));
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, mBook.Text(a1).mEvents);
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), StartNext(mBook));
    RolloutText mixed = TextOf(1, 5);
    mixed.Append("e", 6);
    CPPUNIT_ASSERT(!mixed.Fits(4, true));
    CPPUNIT_ASSERT(mixed.Fits(4, false));
  }

  void AdoptedWholeTextIsListed() {
    RolloutText text = TextOf(2, 5);
    text.mWhole = true;
    text.mScore = "signature";
    mBook.Adopt(0, text);
    const std::vector<RolloutResult> listed = mBook.TakeUnlisted();
    CPPUNIT_ASSERT_EQUAL(std::string("signature"), listed.at(0).mScore);
    CPPUNIT_ASSERT_EQUAL(std::string("e\ne"), listed[0].mOutput);
  }

  void CarriesTextsOfOpenGroups() {
    while (StartNext(mBook) != "none") {
    }
    Finish(mBook, "b1");
    Finish(mBook, "b2");
    Finish(mBook, "a1");
    mBook.Text(*mBook.IndexOf("a2")).Append("part", 5);
    const auto texts = mBook.TextsOfOpenGroups();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, texts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("part"), texts.at("a2").mOutput);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), texts.at("a1").mScore);
  }

  void GivesUpRest() {
    StartNext(mBook);
    Finish(mBook, "b1");
    mBook.GiveUpRest();
    CPPUNIT_ASSERT(mBook.AllEnded());
    CPPUNIT_ASSERT_EQUAL(std::string("none"), StartNext(mBook));
  }

  void TextKeepsEachVersionOnce() {
    RolloutText text = TextOf(2, 5);
    text.Append("x", 6);
    text.Append("y", 6);
    const std::vector<int64_t> expected = {5, 6};
    CPPUNIT_ASSERT(expected == text.mVersions);
    CPPUNIT_ASSERT_EQUAL(std::string("e\ne\nx\ny"), text.mOutput);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutBookTest);

}  // namespace rillwall
