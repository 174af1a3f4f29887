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
  CPPUNIT_TEST(TestReadsLongArrays);
  CPPUNIT_TEST(TestRefusesWhatParsingRefuses);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReadsLongArrays() {
    const std::string text =
        R"( { "a" : 1 , "rows" : [ {"x":"]"} , 7, "\"" ,[] ],"b":"z"} )";
    std::string values;
    const Result<json::object> object = ReadJsonObject(
        text, {}, "rows",
        [&](const json::value& aValue, std::string_view aText) {
          values += json::serialize(aValue) + "=" + std::string(aText) + ";";
          return std::optional<Error>();
        });
    CPPUNIT_ASSERT(object.has_value());
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"x":"]"}={"x":"]"};7=7;"\""="\"";[]=[];)"), values);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":1,"rows":[],"b":"z"})"),
                         json::serialize(*object));
    const Result<json::object> ended = ReadJsonObject(
        text, {}, "rows", [](const json::value&, std::string_view) {
          return std::optional(Error(ErrorKind::TooLarge, "enough"));
        });
    CPPUNIT_ASSERT(ended.error().Kind() == ErrorKind::TooLarge);
  }

  void TestRefusesWhatParsingRefuses() {
    const std::string deep(12, '[');
    for (const std::string& text : std::vector<std::string>{
             "", "{", "[]", "{}x", "{\"a\"}", "{\"a\":1,}", "{\"rows\":[1,]}",
             "{\"rows\":[1 2]}", "{\"rows\":[1", "{\"rows\":[1}", "{a:1}",
             "{1:1}", "{\"a\":1 \"b\":2}", "{\"rows\":[\"\xff\"]}",
             "{\"rows\":[" + deep, "{\"rows\":[{]}]}", "{,}"}) {
      JsonLimits limits;
      limits.mMaxDepth = 8;
      CPPUNIT_ASSERT(!ParseJsonObject(text, limits));
      const Result<json::object> object = ReadJsonObject(
          text, limits, "rows", [](const json::value&, std::string_view) {
            return std::optional<Error>();
          });
      CPPUNIT_ASSERT_MESSAGE(text, !object);
      CPPUNIT_ASSERT(object.error().Kind() == ErrorKind::BadRequest);
    }
  }

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
