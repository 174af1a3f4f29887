#include "rillwall/upstream_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "rillwall/json.h"

namespace rillwall {

class UpstreamCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamCodecTest);
  CPPUNIT_TEST(TestChunk);
  CPPUNIT_TEST(TestChunkWithoutVersionIsRefused);
  CPPUNIT_TEST(TestHostList);
  CPPUNIT_TEST(TestHostListRefused);
  CPPUNIT_TEST(TestLoadReport);
  CPPUNIT_TEST(TestResume);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestChunk() {
    const auto chunk = ParseChunk(
        R"({"id":"r#1","choices":[{"text":"ab","finish_reason":null}],)"
        R"("weight_version":7,"tokens":2})");
    CPPUNIT_ASSERT(chunk.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("r#1"), chunk->mId);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), chunk->mText);
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, chunk->mVersion);
    CPPUNIT_ASSERT(chunk->mFinish.empty());
  }

  // Without a version, the label of the sample would have to be guessed.
  void TestChunkWithoutVersionIsRefused() {
    for (
        const char* text :
        {R"({"id":"r","choices":[{"text":"a"}],"tokens":1})",
         R"({"id":"r","choices":[{"text":"a"}],"weight_version":-1,"tokens":1})",
         R"({"id":"r","choices":[{"text":"a"}],"weight_version":1})",
         R"({"id":"r","choices":[],"weight_version":1,"tokens":1})",
         R"({"choices":[{"text":"a"}],"weight_version":1,"tokens":1})", "[]",
         "{"}) {
      const auto chunk = ParseChunk(text);
      CPPUNIT_ASSERT_MESSAGE(text, !chunk.has_value());
      CPPUNIT_ASSERT(chunk.error().Kind() == ErrorKind::UpstreamFailed);
    }
  }

  void TestHostList() {
    const auto list = ParseHostList(
        R"({"hosts":[{"id":"e1","kind":"engine","name":"m","address":)"
        R"("127.0.0.1:1","zone":"a","generation":3,"leaving":true}]})");
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list->size());
    CPPUNIT_ASSERT(list->front().mKind == UpstreamKind::Engine);
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, list->front().mGeneration);
    CPPUNIT_ASSERT(list->front().mLeaving);
  }

  void TestHostListRefused() {
    CPPUNIT_ASSERT(!ParseHostList(R"({"hosts":[1]})").has_value());
    CPPUNIT_ASSERT(!ParseHostList(R"({})").has_value());
    CPPUNIT_ASSERT(
        !ParseHostList(R"({"hosts":[{"id":"e","kind":"x","address":"a"}]})")
             .has_value());
  }

  void TestLoadReport() {
    const auto report = ParseLoadReport(
        R"({"running":4,"slots":0,"version":2,"leaving":true})", Millis(9));
    CPPUNIT_ASSERT(report.has_value());
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, report->mRunning);
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, report->mSlots);
    CPPUNIT_ASSERT(report->mLeaving);
    CPPUNIT_ASSERT(report->mAt == Millis(9));
  }

  void TestResume() {
    EngineCompletion completion;
    completion.mPrompt = "p";
    CPPUNIT_ASSERT(EncodeCompletion(completion).find("resume") ==
                   std::string::npos);
    completion.mResumeText = "w1 ";
    completion.mResumeTokens = 1;
    const auto body = ParseJsonObject(EncodeCompletion(completion));
    CPPUNIT_ASSERT(body.has_value());
    CPPUNIT_ASSERT_EQUAL(int64_t{1}, body->at("resume_tokens").as_int64());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCodecTest);

}  // namespace rillwall
