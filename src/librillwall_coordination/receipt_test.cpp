/// \file
/// Tests of the text form of receipts.

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "rillwall/step.h"

namespace rillwall {

namespace {

const StepId kStep{"letters", 7};

Receipt RandomReceipt(std::mt19937_64& aRandom, size_t aGroups) {
  Receipt receipt(kStep, aGroups);
  const uint64_t oneIn = 1 + aRandom() % 8;
  for (size_t group = 0; group < aGroups; ++group) {
    if (aRandom() % oneIn == 0) {
      receipt.Add(group);
    }
  }
  return receipt;
}

void AssertRefused(std::string_view aText, const StepId& aId, size_t aGroups) {
  const Result<Receipt> parsed = Receipt::Parse(aText, aId, aGroups);
  CPPUNIT_ASSERT(parsed.has_error());
  CPPUNIT_ASSERT(parsed.error().Kind() == ErrorKind::BadRequest);
  CPPUNIT_ASSERT(parsed.error().Message().find("send the last receipt") !=
                 std::string::npos);
}

}  // namespace

class ReceiptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReceiptTest);
  CPPUNIT_TEST(NoneReceivedIsEmpty);
  CPPUNIT_TEST(RoundTrip);
  CPPUNIT_TEST(RefusesOtherSteps);
  CPPUNIT_TEST(RefusesEveryDamage);
  CPPUNIT_TEST(StaysShort);
  CPPUNIT_TEST_SUITE_END();

  void NoneReceivedIsEmpty() {
    CPPUNIT_ASSERT_EQUAL(std::string(), Receipt(kStep, 5).Text());
    CPPUNIT_ASSERT(Receipt::Parse("", kStep, 5).value() == Receipt(kStep, 5));
  }

  void RoundTrip() {
    std::mt19937_64 random(1);
    for (int round = 0; round < 500; ++round) {
      const size_t groups = 1 + random() % 300;
      const Receipt receipt = RandomReceipt(random, groups);
      const std::string text = receipt.Text();
      CPPUNIT_ASSERT(Receipt::Parse(text, kStep, groups).value() == receipt);
      CPPUNIT_ASSERT(text.find_first_of("+/= ") == std::string::npos);
    }
  }

  void RefusesOtherSteps() {
    Receipt receipt(kStep, 16);
    receipt.Add(3);
    AssertRefused(receipt.Text(), {"letters", 8}, 16);
    AssertRefused(receipt.Text(), {"other", 7}, 16);
    AssertRefused(receipt.Text(), kStep, 17);
  }

  void RefusesEveryDamage() {
    std::mt19937_64 random(2);
    const std::string text = RandomReceipt(random, 90).Text();
    for (size_t at = 0; at < text.size(); ++at) {
      std::string damaged = text;
      damaged[at] = damaged[at] == 'A' ? 'B' : 'A';
      AssertRefused(damaged, kStep, 90);
      AssertRefused(text.substr(0, at + 1 < text.size() ? at + 1 : 1), kStep,
                    90);
    }
    AssertRefused(text + "A", kStep, 90);
    AssertRefused("no receipt!", kStep, 90);
  }

  void StaysShort() {
    constexpr size_t kGroups = 2048;
    constexpr size_t kLongest = 400;
    std::mt19937_64 random(3);
    CPPUNIT_ASSERT(RandomReceipt(random, kGroups).Text().size() < kLongest);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReceiptTest);

}  // namespace rillwall
