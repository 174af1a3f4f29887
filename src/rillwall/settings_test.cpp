#include "rillwall/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace rillwall {

namespace {

using Arguments = std::vector<std::string>;

const Arguments kMinimalArguments = {
    "--zone=maslak",         "--http=127.0.0.1:80", "--rpc=127.0.0.1:81",
    "--gossip=127.0.0.1:81", "--kv=127.0.0.1:2379", "--host-list=127.0.0.1:90"};

Result<NodeSettings> Read(Arguments aArguments) {
  CLI::App app;
  SettingsReader reader;
  reader.AddTo(app);
  std::reverse(aArguments.begin(), aArguments.end());
  app.parse(aArguments);
  return reader.Read();
}

Arguments MinimalArgumentsAnd(const Arguments& aMore) {
  Arguments all = kMinimalArguments;
  all.insert(all.end(), aMore.begin(), aMore.end());
  return all;
}

bool Contains(const std::string& aText, std::string_view aPart) {
  return aText.find(aPart) != std::string::npos;
}

}  // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(DefaultsAreApplied);
  CPPUNIT_TEST(FlagsAreRead);
  CPPUNIT_TEST(FlagOverridesEnvironmentVariable);
  CPPUNIT_TEST(AllErrorsAreReportedTogether);
  CPPUNIT_TEST(MalformedValuesAreRefused);
  CPPUNIT_TEST(ContradictorySettingsAreRefused);
  CPPUNIT_TEST(DocumentationPageIsUpToDate);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DefaultsAreApplied() {
    NodeSettings wanted;
    wanted.mNodeId = "127.0.0.1:81";
    wanted.mZone = "maslak";
    wanted.mHttp = {"127.0.0.1", 80};
    wanted.mRpc = {"127.0.0.1", 81};
    wanted.mGossip = {"127.0.0.1", 81};
    wanted.mKv = {{"127.0.0.1", 2379}};
    wanted.mHostList = {"127.0.0.1", 90};
    CPPUNIT_ASSERT(*Read(kMinimalArguments) == wanted);
    const Result<NodeSettings> advertised =
        Read({"--zone=z", "--kv=127.0.0.1:1", "--host-list=127.0.0.1:2",
              "--advertise-http=10.0.0.1:8080", "--advertise-rpc=10.0.0.1:1",
              "--advertise-gossip=10.0.0.1:2"});
    CPPUNIT_ASSERT(advertised->mHttp == NodeSettings().mHttp);
    CPPUNIT_ASSERT(advertised->mRpc == NodeSettings().mRpc);
    CPPUNIT_ASSERT(advertised->mGossip == NodeSettings().mGossip);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:1"), advertised->mNodeId);
  }

  void FlagsAreRead() {
    const NodeSettings settings = *Read(MinimalArgumentsAnd(
        {"--seeds=127.0.0.1:1, 127.0.0.1:2", "--threads=4", "--log-json",
         "--log-level=warn", "--aperture=3", "--drain-seconds=0",
         "--data-folder=/tmp", "--node-id=a"}));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, settings.mSeeds.size());
    CPPUNIT_ASSERT_EQUAL(uint16_t{2}, settings.mSeeds[1].mPort);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, settings.mThreads);
    CPPUNIT_ASSERT(settings.mLog == (LogOptions{LogLevel::Warn, true}));
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, settings.mAperture);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, settings.mDrainSeconds);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), settings.mNodeId);
  }

  void FlagOverridesEnvironmentVariable() {
    setenv("RILLWALL_THREADS", "7", 1);
    setenv("RILLWALL_LOG_JSON", "true", 1);
    setenv("RILLWALL_APERTURE", "", 1);
    const Result<NodeSettings> variable = Read(kMinimalArguments);
    const Result<NodeSettings> flag =
        Read(MinimalArgumentsAnd({"--threads=8"}));
    unsetenv("RILLWALL_THREADS");
    unsetenv("RILLWALL_LOG_JSON");
    unsetenv("RILLWALL_APERTURE");
    CPPUNIT_ASSERT_EQUAL(int64_t{7}, variable->mThreads);
    CPPUNIT_ASSERT_EQUAL(int64_t{16}, variable->mAperture);
    CPPUNIT_ASSERT(variable->mLog.mJson);
    CPPUNIT_ASSERT_EQUAL(int64_t{8}, flag->mThreads);
  }

  void AllErrorsAreReportedTogether() {
    const Result<NodeSettings> settings =
        Read({"--threads=0", "--http=localhost:1"});
    CPPUNIT_ASSERT(!settings.has_value());
    const std::string text = settings.error().Detail();
    for (const char* part :
         {"--zone (RILLWALL_ZONE) is missing. Give",
          "--kv (RILLWALL_KV) is missing",
          "--host-list (RILLWALL_HOST_LIST) is missing",
          "--threads (RILLWALL_THREADS) is '0'. Give a whole number from 1",
          "--http (RILLWALL_HTTP) is 'localhost:1'. Give an IP number",
          "Give --advertise-rpc, or one address to --rpc."}) {
      CPPUNIT_ASSERT_MESSAGE(part + ("\n" + text), Contains(text, part));
    }
  }

  void MalformedValuesAreRefused() {
    for (const char* argument :
         {"--threads=x", "--threads=2x", "--threads=65", "--aperture=0",
          "--drain-seconds=-1", "--kv=127.0.0.1", "--kv=127.0.0.1:1,x",
          "--kv=,", "--seeds=127.0.0.1:0", "--log-level=loud",
          "--log-json=maybe", "--zone=a b", "--zone=a:b",
          "--data-folder=/nowhere", "--fleet-key-file=/nowhere",
          "--tls-ca=/nowhere", "--rpc=127.0.0.1:70000"}) {
      const Result<NodeSettings> settings =
          Read(MinimalArgumentsAnd({argument}));
      CPPUNIT_ASSERT_MESSAGE(argument, !settings.has_value());
      CPPUNIT_ASSERT_MESSAGE(argument,
                             Contains(settings.error().Detail(), "Give "));
    }
  }

  void ContradictorySettingsAreRefused() {
    const std::string file = RILLWALL_SOURCE_DIR "/CMakeLists.txt";
    for (const std::string& argument :
         {std::string("--http=127.0.0.1:81"), "--tls-cert=" + file,
          "--tls-key=" + file, "--tls-ca=" + file}) {
      CPPUNIT_ASSERT_MESSAGE(argument, !Read(MinimalArgumentsAnd({argument})));
    }
    CPPUNIT_ASSERT(Read(
        MinimalArgumentsAnd({"--tls-cert=" + file, "--tls-key=" + file,
                             "--tls-ca=" + file, "--fleet-key-file=" + file})));
  }

  void DocumentationPageIsUpToDate() {
    std::ifstream file(RILLWALL_SOURCE_DIR "/docs/SETTINGS.md");
    std::stringstream text;
    text << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("run: rillwall settings > docs/SETTINGS.md",
                                 SettingsPage(), text.str());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace rillwall
