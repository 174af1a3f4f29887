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

/// Two groups of two; the texts of the second are expected to be longer.
RolloutSpec Spec() {
  RolloutSpec spec;
  spec.mId = "step";
  spec.mMinVersion = 4;
  spec.mItems = {ItemOf("a1", "a"), ItemOf("a2", "a"), ItemOf("b1", "b", 90),
                 ItemOf("b2", "b", 20)};
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
  CPPUNIT_TEST(LongestItemStartsFirst);
  CPPUNIT_TEST(LongTextDoesNotMakeItsGroupUrgent);
  CPPUNIT_TEST(BegunTextGoesOnFirst);
  CPPUNIT_TEST(RemembersTheReplicaThatFailed);
  CPPUNIT_TEST(GivesUpAfterAttempts);
  CPPUNIT_TEST(BrokenStreamsAreNoAttempts);
  CPPUNIT_TEST(ImpossibleItemIsTerminatedAtOnce);
  CPPUNIT_TEST(ListsEachResultOnce);
  CPPUNIT_TEST(CountsWholeGroups);
  CPPUNIT_TEST(CarriedGroupsBelongToTheTarget);
  CPPUNIT_TEST(TargetIsReachedByAnyGroups);
  CPPUNIT_TEST(RestoredResultsAreNotListedAgain);
  CPPUNIT_TEST(LateEndsAreIgnored);
  CPPUNIT_TEST(AdoptsOnlyTextThatFits);
  CPPUNIT_TEST(AdoptedWholeTextIsListed);
  CPPUNIT_TEST(CarriesTextsOfOpenGroups);
  CPPUNIT_TEST(GivesUpRest);
  CPPUNIT_TEST(TextKeepsEachVersionOnce);
  CPPUNIT_TEST(UnkeptTextIsGivenOutOnce);
  CPPUNIT_TEST(ShortTextsAreNotWorthAWrite);
  CPPUNIT_TEST(KeptTextsComeBack);
  CPPUNIT_TEST(PartsWithAGapAreLeftOut);
  CPPUNIT_TEST(TextMadeAnewReplacesWhatWasKept);
  CPPUNIT_TEST(OldPartsDoNotFit);
  CPPUNIT_TEST(CarriedTextIsKeptAnew);
  CPPUNIT_TEST(SpooledTextsHaveTheirScores);
  CPPUNIT_TEST(ListedTextsAreNotSpooled);
  CPPUNIT_TEST(LongerOfTwoTextsIsRestored);
  CPPUNIT_TEST(ItemSetAsideIsPassedOver);
  CPPUNIT_TEST(ItemSetAsideIsGivenUpWithTheRest);
  CPPUNIT_TEST_SUITE_END();

  RolloutBook mBook{Spec(), kAttempts, false};

  void LongestItemStartsFirst() {
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), StartNext(mBook));
  }

  void ItemSetAsideIsPassedOver() {
    mBook.SetAside(*mBook.IndexOf("b1"));
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), StartNext(mBook));
    // One that runs stays where it is.
    mBook.SetAside(*mBook.IndexOf("b2"));
    mBook.PutBack([](size_t) { return false; });
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), StartNext(mBook));
    mBook.PutBack([](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), StartNext(mBook));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), StartNext(mBook));
  }

  void ItemSetAsideIsGivenUpWithTheRest() {
    mBook.SetAside(*mBook.IndexOf("b1"));
    mBook.GiveUpRest();
    CPPUNIT_ASSERT(mBook.AllEnded());
    mBook.PutBack([](size_t) { return true; });
    CPPUNIT_ASSERT_EQUAL(std::string("none"), StartNext(mBook));
  }

  void LongTextDoesNotMakeItsGroupUrgent() {
    RolloutSpec spec = Spec();
    spec.mItems[3].mLengthHint = 5;
    RolloutBook book(spec, kAttempts, false);
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), StartNext(book));
    CPPUNIT_ASSERT_EQUAL(std::string("a1"), StartNext(book));
    CPPUNIT_ASSERT_EQUAL(std::string("a2"), StartNext(book));
    CPPUNIT_ASSERT_EQUAL(std::string("b2"), StartNext(book));
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

  void CarriedGroupsBelongToTheTarget() {
    RolloutSpec spec = Spec();
    spec.mTargetGroups = 1;
    RolloutBook book(spec, kAttempts, false);
    CPPUNIT_ASSERT(book.Adopt(*book.IndexOf("b1"), TextOf(3, 4)));
    while (StartNext(book) != "none") {
    }
    Finish(book, "a1");
    Finish(book, "a2");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, book.WholeGroups());
    CPPUNIT_ASSERT(!book.TargetReached());
    Finish(book, "b1");
    Finish(book, "b2");
    CPPUNIT_ASSERT(book.TargetReached());
  }

  void TargetIsReachedByAnyGroups() {
    RolloutSpec spec = Spec();
    spec.mTargetGroups = 1;
    RolloutBook book(spec, kAttempts, false);
    while (StartNext(book) != "none") {
    }
    CPPUNIT_ASSERT(!book.TargetReached());
    Finish(book, "a1");
    Finish(book, "a2");
    CPPUNIT_ASSERT(book.TargetReached());
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

  static constexpr size_t kAnySize = 1000000;

  /// A book whose first item runs and has some events.
  static RolloutBook Running(int64_t aEvents) {
    RolloutBook book(Spec(), kAttempts, false);
    StartNext(book);
    Grow(book, aEvents);
    return book;
  }
  /// Adds events to the running item b1, numbered.
  static void Grow(RolloutBook& aBook, int64_t aEvents) {
    RolloutText& text = aBook.Text(*aBook.IndexOf("b1"));
    for (int64_t i = 0; i < aEvents; ++i) {
      text.Append("e" + std::to_string(text.mEvents + 1), 5);
    }
  }
  static RolloutText Restored(const std::vector<RolloutPart>& aParts) {
    RolloutBook book(Spec(), kAttempts, false);
    book.RestoreTexts(aParts);
    return book.Text(*book.IndexOf("b1"));
  }

  void UnkeptTextIsGivenOutOnce() {
    RolloutBook book = Running(3);
    const std::vector<RolloutPart> first = book.TakeUnkept(2, kAnySize);
    const RolloutPart expected{"b1", 0, 3, "e1\ne2\ne3", {5}, false, ""};
    CPPUNIT_ASSERT(first == std::vector<RolloutPart>{expected});
    CPPUNIT_ASSERT(book.TakeUnkept(1, kAnySize).empty());
    Grow(book, 2);
    const std::vector<RolloutPart> second = book.TakeUnkept(2, kAnySize);
    const RolloutPart rest{"b1", 3, 5, "e4\ne5", {5}, false, ""};
    CPPUNIT_ASSERT(second == std::vector<RolloutPart>{rest});
  }

  void ShortTextsAreNotWorthAWrite() {
    RolloutBook book = Running(3);
    CPPUNIT_ASSERT(!book.HasUnkept(4));
    CPPUNIT_ASSERT(book.TakeUnkept(4, kAnySize).empty());
    Grow(book, 1);
    CPPUNIT_ASSERT(book.HasUnkept(4));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, book.TakeUnkept(4, kAnySize).size());
    Finish(book, "b1");
    CPPUNIT_ASSERT(book.TakeUnkept(1, kAnySize).empty());
  }

  void KeptTextsComeBack() {
    RolloutBook book = Running(3);
    std::vector<RolloutPart> parts = book.TakeUnkept(1, kAnySize);
    Grow(book, 2);
    book.Text(*book.IndexOf("b1")).mWhole = true;
    for (const RolloutPart& part : book.TakeUnkept(1, kAnySize)) {
      parts.push_back(part);
    }
    RolloutBook later(Spec(), kAttempts, false);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, later.RestoreTexts(parts));
    const RolloutText& text = later.Text(*later.IndexOf("b1"));
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3\ne4\ne5"), text.mOutput);
    CPPUNIT_ASSERT(text.mWhole);
    CPPUNIT_ASSERT(text.mVersions == std::vector<int64_t>{5});
    // It is in the store already, and goes first.
    CPPUNIT_ASSERT(later.TakeUnkept(1, kAnySize).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b1"), StartNext(later));
  }

  void PartsWithAGapAreLeftOut() {
    const RolloutPart first{"b1", 0, 2, "e1\ne2", {5}, false, ""};
    const RolloutPart gap{"b1", 3, 4, "e4", {5}, false, ""};
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, Restored({first, gap}).mEvents);
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2"), Restored({first, gap}).mOutput);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, Restored({gap}).mEvents);
    const RolloutPart other{"of another step", 0, 1, "x", {5}, false, ""};
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, Restored({other}).mEvents);
  }

  void TextMadeAnewReplacesWhatWasKept() {
    RolloutBook book = Running(3);
    std::vector<RolloutPart> parts = book.TakeUnkept(1, kAnySize);
    RolloutText& text = book.Text(*book.IndexOf("b1"));
    text = RolloutText();
    text.Append("other", 6);
    for (const RolloutPart& part : book.TakeUnkept(1, kAnySize)) {
      parts.push_back(part);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Restored(parts).mOutput);
    CPPUNIT_ASSERT(Restored(parts).mVersions == std::vector<int64_t>{6});
  }

  void OldPartsDoNotFit() {
    const RolloutPart old{"b1", 0, 2, "e1\ne2", {3}, false, ""};
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, Restored({old}).mEvents);
    RolloutBook single(Spec(), kAttempts, true);
    single.RestoreTexts({{"b1", 0, 2, "e1\ne2", {4, 5}, false, ""}});
    CPPUNIT_ASSERT_EQUAL(int64_t{0},
                         single.Text(*single.IndexOf("b1")).mEvents);
  }

  void CarriedTextIsKeptAnew() {
    RolloutBook book = Running(3);
    book.TakeUnkept(1, kAnySize);
    RolloutText text = book.TextsOfOpenGroups().at("b1");
    RolloutBook next(Spec(), kAttempts, false);
    next.Adopt(*next.IndexOf("b1"), std::move(text));
    const std::vector<RolloutPart> parts = next.TakeUnkept(1, kAnySize);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, parts.size());
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, parts[0].mFrom);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, parts[0].mTo);
  }

  void SpooledTextsHaveTheirScores() {
    RolloutBook book = Running(3);
    std::vector<RolloutPart> parts = book.TakeUnspooled(1, kAnySize);
    CPPUNIT_ASSERT(book.TakeUnspooled(1, kAnySize).empty());
    RolloutText& text = book.Text(*book.IndexOf("b1"));
    text.mWhole = true;
    text.mScore = "signed";
    book.Finished(*book.IndexOf("b1"));
    for (const RolloutPart& part : book.TakeUnspooled(1, kAnySize)) {
      parts.push_back(part);
    }
    RolloutBook later(Spec(), kAttempts, false);
    later.RestoreTexts(parts);
    const std::vector<RolloutResult> ended = later.TakeUnlisted();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ended.size());
    CPPUNIT_ASSERT_EQUAL(std::string("e1\ne2\ne3"), ended[0].mOutput);
    CPPUNIT_ASSERT_EQUAL(std::string("signed"), ended[0].mScore);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, later.Ended());
  }

  void ListedTextsAreNotSpooled() {
    RolloutBook book = Running(3);
    Finish(book, "b1");
    book.Listed(book.TakeUnlisted());
    CPPUNIT_ASSERT(book.TakeUnspooled(1, kAnySize).empty());
  }

  void LongerOfTwoTextsIsRestored() {
    const RolloutPart store{"b1", 0, 2, "e1\ne2", {5}, false, ""};
    const RolloutPart disk{"b1", 0, 3, "d1\nd2\nd3", {5}, false, ""};
    RolloutBook book(Spec(), kAttempts, false);
    book.RestoreTexts({disk});
    book.RestoreTexts({store});
    CPPUNIT_ASSERT_EQUAL(std::string("d1\nd2\nd3"),
                         book.Text(*book.IndexOf("b1")).mOutput);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutBookTest);

}  // namespace rillwall
