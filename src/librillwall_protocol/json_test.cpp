/// \file
/// Tests of bounded parsing and of errors that name the field.

#include "rillwall/json.h"

#include <cppunit/extensions/HelperMacros.h>

namespace rillwall {

namespace {

class JsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(TestReadsFields);
  CPPUNIT_TEST(TestNamesTheFirstWrongField);
  CPPUNIT_TEST(TestBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReadsFields() {
    const json::object object =
        ParseJsonObject(R"({"s":"x","i":-3,"u":18446744073709551615,"d":2,)"
                        R"("b":true,"l":["a","b"],"n":null,"r":"-12"})")
            .value();
    JsonReader reader(object);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), reader.String("s"));
    CPPUNIT_ASSERT_EQUAL(int64_t{-3}, reader.Int("i"));
    CPPUNIT_ASSERT_EQUAL(UINT64_MAX, reader.Uint("u"));
    CPPUNIT_ASSERT_EQUAL(2.0, reader.Double("d"));
    CPPUNIT_ASSERT(reader.Bool("b"));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, reader.Strings("l").size());
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, reader.Int("n", 7));
    CPPUNIT_ASSERT_EQUAL(int64_t{-12}, reader.DecimalInt("r"));
    CPPUNIT_ASSERT(reader.Object("absent") == nullptr);
    CPPUNIT_ASSERT(!reader.Failed());
  }

  void TestNamesTheFirstWrongField() {
    const json::object object = ParseJsonObject(R"({"i":1.5,"s":1})").value();
    JsonReader reader(object, "steps[0]");
    reader.Int("i");
    reader.String("s");
    CPPUNIT_ASSERT(reader.Failed());
    CPPUNIT_ASSERT_EQUAL(
        std::string("Field 'steps[0].i' has to be an integer."),
        reader.Failure().Detail());
    JsonReader missing(object);
    missing.Uint("u");
    CPPUNIT_ASSERT(missing.Failure().Kind() == ErrorKind::BadRequest);
    CPPUNIT_ASSERT(missing.Failure().Detail().find("'u' is missing") !=
                   std::string::npos);
  }

  void TestBounds() {
    const std::string deep = std::string(40, '[') + std::string(40, ']');
    CPPUNIT_ASSERT(ParseJson(deep).error().Kind() == ErrorKind::BadRequest);
    JsonLimits limits;
    limits.mMaxBytes = 3;
    CPPUNIT_ASSERT(ParseJson("[1,2]", limits).error().Kind() ==
                   ErrorKind::TooLarge);
    CPPUNIT_ASSERT(ParseJsonObject("[]").has_error());
    CPPUNIT_ASSERT(ParseJson("{\"a\":1").has_error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

}  // namespace

}  // namespace rillwall
