/// \file
/// Tests of when a text moves to another replica.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/text_move.h"

namespace rillwall {

class TextMoveTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TextMoveTest);
  CPPUNIT_TEST(LongTextLeavesSlowHardware);
  CPPUNIT_TEST(ShortTextStays);
  CPPUNIT_TEST(HintLetsATextMoveEarlier);
  CPPUNIT_TEST(TextBeyondItsHintIsExpectedToDouble);
  CPPUNIT_TEST(BatchSizeAloneCausesNoMove);
  CPPUNIT_TEST(MoveIsNotReversed);
  CPPUNIT_TEST(UnknownPaceMovesNothing);
  CPPUNIT_TEST(HintsAreLearnedFromFinishedTexts);
  CPPUNIT_TEST_SUITE_END();

  void HintsAreLearnedFromFinishedTexts() {
    LengthHints hints;
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, hints.Events(500));
    hints.Learn(1000, 20);
    hints.Learn(0, 90);
    CPPUNIT_ASSERT_EQUAL(int64_t{10}, hints.Events(500));
    hints.Learn(1000, 60);
    CPPUNIT_ASSERT_EQUAL(int64_t{20}, hints.Events(500));
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, hints.Events(0));
  }

  void LongTextLeavesSlowHardware() {
    CPPUNIT_ASSERT(IsMoveWorthwhile({60, 0, 52, 40}));
    CPPUNIT_ASSERT(IsMoveWorthwhile({10, 0, 120, 40}));
  }

  void ShortTextStays() {
    CPPUNIT_ASSERT(!IsMoveWorthwhile({8, 0, 52, 40}));
    CPPUNIT_ASSERT(!IsMoveWorthwhile({2, 0, 120, 40}));
  }

  void HintLetsATextMoveEarlier() {
    CPPUNIT_ASSERT(IsMoveWorthwhile({2, 80, 52, 40}));
    CPPUNIT_ASSERT(!IsMoveWorthwhile({70, 80, 44, 40}));
  }

  void TextBeyondItsHintIsExpectedToDouble() {
    CPPUNIT_ASSERT_EQUAL(int64_t{70}, ExpectedRemainingEvents(10, 80));
    CPPUNIT_ASSERT_EQUAL(int64_t{90}, ExpectedRemainingEvents(90, 80));
  }

  void BatchSizeAloneCausesNoMove() {
    CPPUNIT_ASSERT(!IsMoveWorthwhile({150, 0, 43, 39}));
  }

  void MoveIsNotReversed() {
    const TextMove there{60, 0, 52, 40};
    const TextMove back{60, 0, 40, 52};
    CPPUNIT_ASSERT(IsMoveWorthwhile(there));
    CPPUNIT_ASSERT(!IsMoveWorthwhile(back));
  }

  void UnknownPaceMovesNothing() {
    CPPUNIT_ASSERT(!IsMoveWorthwhile({100, 0, 0, 40}));
    CPPUNIT_ASSERT(!IsMoveWorthwhile({100, 0, 80, 0}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextMoveTest);

}  // namespace rillwall
