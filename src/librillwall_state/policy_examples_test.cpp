#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "rillwall/policy.h"

namespace rillwall {

namespace {

std::string ReadFile(const std::filesystem::path& aPath) {
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  CPPUNIT_ASSERT_MESSAGE(aPath.string(), !text.str().empty());
  return text.str();
}

/// A fenced code block of a Markdown page.
struct Block {
  std::string mKind;  ///< info string after the opening fence
  std::string mText;
};

std::vector<Block> BlocksOf(const std::string& aPage) {
  std::vector<Block> blocks;
  std::istringstream lines(aPage);
  std::string line;
  bool open = false;
  while (std::getline(lines, line)) {
    if (line.starts_with("```")) {
      open = !open;
      if (open) {
        blocks.push_back({line.substr(3), ""});
      }
    } else if (open) {
      blocks.back().mText += line + "\n";
    }
  }
  return blocks;
}

}  // namespace

class PolicyExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyExamplesTest);
  CPPUNIT_TEST(TestPage);
  CPPUNIT_TEST(TestExamples);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each Lua example of the page must be accepted, or rejected with the error
  // that the page quotes.
  void TestPage() {
    const std::string page = ReadFile(RILLWALL_SOURCE_DIR "/docs/POLICIES.md");
    int accepted = 0;
    int refused = 0;
    for (const Block& block : BlocksOf(page)) {
      const Result<PolicyRules> rules = EvaluatePolicy("houses", block.mText);
      if (block.mKind == "lua") {
        ++accepted;
        CPPUNIT_ASSERT_MESSAGE(block.mText, rules.has_value());
      } else {
        ++refused;
        CPPUNIT_ASSERT_EQUAL(std::string("lua refused"), block.mKind);
        CPPUNIT_ASSERT_MESSAGE(block.mText, !rules.has_value());
        const std::string detail = rules.error().Detail();
        CPPUNIT_ASSERT_MESSAGE(detail, page.find(detail) != std::string::npos);
      }
    }
    CPPUNIT_ASSERT(accepted >= 6);
    CPPUNIT_ASSERT(refused >= 1);
  }

  void TestExamples() {
    for (const char* site : {"consortium", "telemetrie"}) {
      std::vector<PolicySource> sources;
      const std::filesystem::path folder =
          std::filesystem::path(RILLWALL_SOURCE_DIR "/testsuite/policies") /
          site;
      for (const auto& file : std::filesystem::directory_iterator(folder)) {
        sources.push_back(
            {file.path().stem().string(), ReadFile(file.path()), 0, ""});
      }
      const Result<PolicySet> set = PolicySet::Make(1, sources);
      CPPUNIT_ASSERT_MESSAGE(set ? "" : set.error().Detail(), set.has_value());
      CPPUNIT_ASSERT(!set->Rules().mTrainers.empty());
      CPPUNIT_ASSERT(!set->Rules().mServices.empty());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyExamplesTest);

}  // namespace rillwall
