/// \file
/// Tests of the validation of UTF-8.

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/utf8.h"

namespace rillwall {

class Utf8Test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Utf8Test);
  CPPUNIT_TEST(ValidTextsStay);
  CPPUNIT_TEST(WrongBytesAreReplaced);
  CPPUNIT_TEST(PlainTextHasNoControlCharacters);
  CPPUNIT_TEST_SUITE_END();

  void ValidTextsStay() {
    for (const std::string text :
         {"", "a\nb", "\x01\x7f", "Ka\xC4\x9F\xC4\xB1thane",
          "\xE2\x82\xAC \xF0\x9F\x98\x80", "\xF4\x8F\xBF\xBF"}) {
      CPPUNIT_ASSERT(IsUtf8(text));
      CPPUNIT_ASSERT_EQUAL(text, ReplaceInvalidUtf8(text));
    }
  }

  void WrongBytesAreReplaced() {
    const std::string mark = "\xEF\xBF\xBD";
    const std::pair<std::string, std::string> cases[] = {
        {"a\xFF", "a" + mark},
        {"\x80\x41", mark + "A"},
        {"\xC3", mark},
        {"\xE2\x82(", mark + mark + "("},
        {"\xC0\xAF", mark + mark},
        {"\xED\xA0\x80", mark + mark + mark},
        {"\xF4\x90\x80\x80", mark + mark + mark + mark}};
    for (const auto& [text, replaced] : cases) {
      CPPUNIT_ASSERT(!IsUtf8(text));
      CPPUNIT_ASSERT_EQUAL(replaced, ReplaceInvalidUtf8(text));
      CPPUNIT_ASSERT(IsUtf8(replaced));
    }
  }

  void PlainTextHasNoControlCharacters() {
    CPPUNIT_ASSERT(IsPlainUtf8("Ka\xC4\x9F\xC4\xB1t"));
    CPPUNIT_ASSERT(!IsPlainUtf8("a\nb"));
    CPPUNIT_ASSERT(!IsPlainUtf8("\x7f"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Utf8Test);

}  // namespace rillwall
