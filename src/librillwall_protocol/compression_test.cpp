/// \file
/// Tests of packed texts: what comes back, and what is refused.

#include "rillwall/compression.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

namespace rillwall {

namespace {

constexpr size_t kMost = 1 << 20;

/// Letters drawn at random, as the text of a model that has learned nothing:
/// the worst that trainers send.
std::string Letters(size_t aCount) {
  std::minstd_rand random(7);
  std::string text;
  for (size_t i = 0; i < aCount; ++i) {
    text += static_cast<char>('a' + random() % 26);
  }
  return text;
}

}  // namespace

class CompressionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompressionTest);
  CPPUNIT_TEST(AnyTextComesBack);
  CPPUNIT_TEST(RandomLettersShrinkToTwoThirds);
  CPPUNIT_TEST(ShortTextsStayAsTheyAre);
  CPPUNIT_TEST(BrokenTextsAreRefused);
  CPPUNIT_TEST(LargeTextsAreRefused);
  CPPUNIT_TEST_SUITE_END();

  void AnyTextComesBack() {
    const bool held =
        rc::check("comes back", [](const std::string& aText, uint16_t aTimes) {
          std::string text;
          for (int i = 0; i < aTimes % 500; ++i) {
            text += aText;
          }
          RC_ASSERT(*Decompress(Compress("{" + text), kMost) == "{" + text);
        });
    CPPUNIT_ASSERT(held);
  }

  void RandomLettersShrinkToTwoThirds() {
    const std::string text = Letters(100000);
    CPPUNIT_ASSERT(Compress(text).size() * 3 < text.size() * 2);
  }

  void ShortTextsStayAsTheyAre() {
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), Compress("{}"));
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), *Decompress("{}", 1));
  }

  void BrokenTextsAreRefused() {
    const std::string packed = Compress(Letters(10000));
    CPPUNIT_ASSERT(!Decompress(packed.substr(0, 100), kMost));
    CPPUNIT_ASSERT(!Decompress(packed.substr(0, 4), kMost));
    std::string spoiled = packed;
    spoiled[5] = static_cast<char>(spoiled[5] ^ 0x55);
    const Result<std::string> text = Decompress(spoiled, kMost);
    CPPUNIT_ASSERT(!text || *text != Letters(10000));
  }

  void LargeTextsAreRefused() {
    const std::string packed = Compress(Letters(10000));
    CPPUNIT_ASSERT(Decompress(packed, 10000).has_value());
    CPPUNIT_ASSERT(Decompress(packed, 9999).error().Kind() ==
                   ErrorKind::TooLarge);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

}  // namespace rillwall
