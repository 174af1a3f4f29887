/// \file
/// Tests of mutual TLS between nodes, with certificates made by the test.

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

#include "http_test_support.h"
#include "rillwall/peer.h"
#include "tls_test_support.h"

namespace rillwall {
namespace {

using Reply = Result<wire::PeerReply>;

constexpr std::chrono::seconds kLongest{30};

asio::awaitable<Reply> Answer(wire::PeerRequest) {
  wire::PeerReply out;
  out.mutable_empty();
  co_return out;
}

class PeerTlsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTlsTest);
  CPPUNIT_TEST(TestCall);
  CPPUNIT_TEST(TestStrangersAreRefused);
  CPPUNIT_TEST(TestServerOfOtherNameIsRefused);
  CPPUNIT_TEST(TestWrongFiles);
  CPPUNIT_TEST(TestNewKeysWithoutRestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    WriteAll(mNode, mAuthority, "IP:127.0.0.1");
    WriteAll(mOtherFleet, mOther, "IP:127.0.0.1");
  }

  void TestCall() {
    Serve(Settings(mNode));
    CPPUNIT_ASSERT(Call(Settings(mNode)));
  }

  void TestStrangersAreRefused() {
    Serve(Settings(mNode));
    AssertRefused(std::nullopt);
    AssertRefused(Settings(mOtherFleet));
    // Knows the fleet's authority, but shows another one's certificate.
    TlsSettings outsider = Settings(mOtherFleet);
    outsider.mAuthorityFile = mNode.File("ca.pem");
    AssertRefused(outsider);
  }

  void TestServerOfOtherNameIsRefused() {
    TestKeyFolder elsewhere;
    WriteAll(elsewhere, mAuthority, "IP:127.0.0.9,DNS:node.fleet");
    Serve(Settings(elsewhere));
    AssertRefused(Settings(mNode));
    TlsSettings named = Settings(mNode);
    named.mPeerName = "node.fleet";
    CPPUNIT_ASSERT(Call(named));
  }

  void TestWrongFiles() {
    TlsSettings wrong = Settings(mNode);
    wrong.mKeyFile = mOtherFleet.File("node.key");
    PeerServer server(mThreads.Context(), Answer, wrong);
    const Error error = server.Listen({"127.0.0.1", 0}).error();
    CPPUNIT_ASSERT(error.Detail().find("node.key") != std::string::npos);
    wrong.mKeyFile.clear();
    CPPUNIT_ASSERT(ErrorKind::BadRequest == Call(wrong).error().Kind());
  }

  void TestNewKeysWithoutRestart() {
    Serve(Settings(mNode));
    CPPUNIT_ASSERT(Call(Settings(mNode)));
    WriteAll(mNode, mOther, "IP:127.0.0.1");
    const auto deadline = std::chrono::steady_clock::now() + kLongest;
    Reply reply = Call(Settings(mOtherFleet));
    while (!reply && std::chrono::steady_clock::now() < deadline) {
      reply = Call(Settings(mOtherFleet));
    }
    CPPUNIT_ASSERT(reply);
  }

 private:
  static void WriteAll(const TestKeyFolder& aFolder,
                       const TestIdentity& aAuthority, const char* aAddress) {
    aFolder.Write("ca", aAuthority);
    aFolder.Write("node", MakeTestIdentity("node", aAddress, &aAuthority));
  }

  static TlsSettings Settings(const TestKeyFolder& aFolder) {
    TlsSettings out;
    out.mCertificateFile = aFolder.File("node.pem");
    out.mKeyFile = aFolder.File("node.key");
    out.mAuthorityFile = aFolder.File("ca.pem");
    return out;
  }

  void Serve(TlsSettings aTls) {
    mServer.emplace(mThreads.Context(), Answer, std::move(aTls));
    mWhere = mServer->Listen({"127.0.0.1", 0}).value().Text();
  }

  /// A call on a connection of its own.
  Reply Call(std::optional<TlsSettings> aTls) {
    PeerClient client(mThreads.Context(), std::move(aTls));
    wire::PeerRequest request;
    request.mutable_ask_policy();
    return mThreads.Await(client.Call(mWhere, std::move(request), kGenerous));
  }

  void AssertRefused(std::optional<TlsSettings> aTls) {
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost ==
                   Call(std::move(aTls)).error().Kind());
  }

  const TestIdentity mAuthority = MakeTestIdentity("authority", "", nullptr);
  const TestIdentity mOther = MakeTestIdentity("other authority", "", nullptr);
  TestKeyFolder mNode;
  TestKeyFolder mOtherFleet;
  ThreadedContext mThreads;
  std::optional<PeerServer> mServer;
  std::string mWhere;
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerTlsTest);

}  // namespace
}  // namespace rillwall
