/// \file
/// Tests of compression: round trips, and texts that are rejected.

#include "rillwall/compression.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>

namespace rillwall {

namespace {

constexpr size_t kMaxBytes = 1 << 20;

/// \return uniformly random letters, as an untrained model generates them: the
/// least compressible text that trainers send
std::string RandomLetters(size_t aCount) {
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
  CPPUNIT_TEST(AnyTextRoundTrips);
  CPPUNIT_TEST(RandomLettersShrinkToTwoThirds);
  CPPUNIT_TEST(ShortTextsAreNotCompressed);
  CPPUNIT_TEST(CorruptTextsAreRejected);
  CPPUNIT_TEST(TextsOverTheLimitAreRejected);
  CPPUNIT_TEST_SUITE_END();

  void AnyTextRoundTrips() {
    const bool passed =
        rc::check("round trip", [](const std::string& aText, uint16_t aTimes) {
          std::string text;
          for (int i = 0; i < aTimes % 500; ++i) {
            text += aText;
          }
          RC_ASSERT(*Decompress(Compress("{" + text), kMaxBytes) == "{" + text);
        });
    CPPUNIT_ASSERT(passed);
  }

  void RandomLettersShrinkToTwoThirds() {
    const std::string text = RandomLetters(100000);
    CPPUNIT_ASSERT(Compress(text).size() * 3 < text.size() * 2);
  }

  void ShortTextsAreNotCompressed() {
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), Compress("{}"));
    CPPUNIT_ASSERT_EQUAL(std::string("{}"), *Decompress("{}", 1));
  }

  void CorruptTextsAreRejected() {
    const std::string compressed = Compress(RandomLetters(10000));
    CPPUNIT_ASSERT(!Decompress(compressed.substr(0, 100), kMaxBytes));
    CPPUNIT_ASSERT(!Decompress(compressed.substr(0, 4), kMaxBytes));
    std::string corrupted = compressed;
    corrupted[5] = static_cast<char>(corrupted[5] ^ 0x55);
    const Result<std::string> text = Decompress(corrupted, kMaxBytes);
    CPPUNIT_ASSERT(!text || *text != RandomLetters(10000));
  }

  void TextsOverTheLimitAreRejected() {
    const std::string compressed = Compress(RandomLetters(10000));
    CPPUNIT_ASSERT(Decompress(compressed, 10000).has_value());
    CPPUNIT_ASSERT(Decompress(compressed, 9999).error().Kind() ==
                   ErrorKind::TooLarge);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompressionTest);

}  // namespace rillwall
