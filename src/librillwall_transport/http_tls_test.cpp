/// \file
/// HTTP over TLS, with authorities and certificates made by the test.

#include <cppunit/extensions/HelperMacros.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "http_test_support.h"

namespace rillwall {

namespace {

/// A certificate with its key. Each test makes few, so that none is freed
/// early.
struct Identity {
  std::shared_ptr<EVP_PKEY> mKey;
  std::shared_ptr<X509> mCertificate;
};

void AddExtension(X509* aCertificate, int aKind, const char* aValue) {
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, aCertificate, aCertificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, &context, aKind, aValue);
  X509_add_ext(aCertificate, extension, -1);
  X509_EXTENSION_free(extension);
}

/// \param aIssuer nullptr: the certificate is an authority's own
Identity MakeIdentity(const char* aName, const char* aAddress,
                      const Identity* aIssuer) {
  constexpr long kHour = 3600;
  static std::atomic<long> sSerial{1};
  Identity made;
  made.mKey = {EVP_EC_gen("P-256"), EVP_PKEY_free};
  made.mCertificate = {X509_new(), X509_free};
  X509* const certificate = made.mCertificate.get();
  X509_set_version(certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), sSerial++);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -kHour);
  X509_gmtime_adj(X509_getm_notAfter(certificate), kHour);
  X509_set_pubkey(certificate, made.mKey.get());
  X509_NAME_add_entry_by_txt(
      X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(aName), -1, -1, 0);
  const Identity& issuer = aIssuer != nullptr ? *aIssuer : made;
  X509_set_issuer_name(certificate,
                       X509_get_subject_name(issuer.mCertificate.get()));
  if (aIssuer == nullptr) {
    AddExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
  } else {
    AddExtension(certificate, NID_subject_alt_name, aAddress);
  }
  X509_sign(certificate, issuer.mKey.get(), EVP_sha256());
  return made;
}

/// A folder of PEM files that is removed at the end.
class KeyFolder {
 public:
  KeyFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "rillwall-tls-XXXXXX");
    mPath = ::mkdtemp(name.data());
  }
  ~KeyFolder() { std::filesystem::remove_all(mPath); }

  /// Writes NAME.pem and NAME.key.
  void Write(const std::string& aName, const Identity& aIdentity) const {
    FILE* file = std::fopen(File(aName + ".pem").c_str(), "w");
    PEM_write_X509(file, aIdentity.mCertificate.get());
    std::fclose(file);
    file = std::fopen(File(aName + ".key").c_str(), "w");
    PEM_write_PrivateKey(file, aIdentity.mKey.get(), nullptr, nullptr, 0,
                         nullptr, nullptr);
    std::fclose(file);
  }
  std::string File(const std::string& aName) const {
    return (mPath / aName).string();
  }

 private:
  std::filesystem::path mPath;
};

class HttpTlsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpTlsTest);
  CPPUNIT_TEST(TestAnswersAndStreams);
  CPPUNIT_TEST(TestRefusesOtherAuthorities);
  CPPUNIT_TEST(TestRefusesOtherNames);
  CPPUNIT_TEST(TestDemandsCallerCertificate);
  CPPUNIT_TEST(TestPlainPeers);
  CPPUNIT_TEST(TestReload);
  CPPUNIT_TEST(TestWrongFiles);
  CPPUNIT_TEST(TestManyCallers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mFolder.Write("ca", mAuthority);
    mFolder.Write("other", mOther);
    mFolder.Write("server",
                  MakeIdentity("server", "IP:127.0.0.1", &mAuthority));
    mFolder.Write("client", MakeIdentity("client", "DNS:client", &mAuthority));
  }

  void TestAnswersAndStreams() {
    Serve(ServerTls());
    HttpClient client(mThreads.Context(), ClientTls());
    HttpRequest request;
    request.mMethod = "POST";
    for (const size_t size : {0, 1, 300000, 2}) {
      request.mBody = std::string(size, 'x');
      const HttpResponse answer = Send(client, request).value();
      CPPUNIT_ASSERT_EQUAL("/" + request.mBody, answer.mBody);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, client.Connections());
    request.mTarget = "/stream";
    CPPUNIT_ASSERT_EQUAL(std::string("one two"),
                         Send(client, request).value().mBody);
    request.mTarget = "/cut";
    CPPUNIT_ASSERT(ErrorKind::ConnectionLost ==
                   Send(client, request).error().Kind());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, client.Connections());
  }

  void TestRefusesOtherAuthorities() {
    Serve(ServerTls());
    TlsSettings tls = ClientTls();
    tls.mAuthorityFile = mFolder.File("other.pem");
    AssertNotRun(tls);
  }

  void TestRefusesOtherNames() {
    mFolder.Write("server", MakeIdentity("127.0.0.1", "IP:127.0.0.2,DNS:name",
                                         &mAuthority));
    Serve(ServerTls());
    AssertNotRun(ClientTls());
    TlsSettings tls = ClientTls();
    tls.mPeerName = "name";
    HttpClient client(mThreads.Context(), tls);
    CPPUNIT_ASSERT(Send(client, {}).has_value());
  }

  void TestDemandsCallerCertificate() {
    TlsSettings server = ServerTls();
    server.mAuthorityFile = mFolder.File("ca.pem");
    Serve(server);
    HttpClient stranger(mThreads.Context(), ClientTls());
    CPPUNIT_ASSERT(Send(stranger, {}).has_error());
    CPPUNIT_ASSERT_EQUAL(0, mRuns.load());
    TlsSettings tls = ClientTls();
    tls.mCertificateFile = mFolder.File("client.pem");
    tls.mKeyFile = mFolder.File("client.key");
    HttpClient known(mThreads.Context(), tls);
    CPPUNIT_ASSERT(Send(known, {}).has_value());
  }

  void TestPlainPeers() {
    Serve(ServerTls());
    HttpClient plain(mThreads.Context());
    CPPUNIT_ASSERT(Send(plain, {}).has_error());
    CPPUNIT_ASSERT_EQUAL(0, mRuns.load());
    HttpServer upstream(mThreads.Context(), HttpLimits(), nullptr);
    mWhere = upstream.Listen({"127.0.0.1", 0}).value();
    AssertNotRun(ClientTls());
  }

  void TestReload() {
    Serve(ServerTls());
    HttpClient old(mThreads.Context(), ClientTls());
    CPPUNIT_ASSERT(Send(old, {}).has_value());
    mFolder.Write("server", MakeIdentity("server", "IP:127.0.0.1", &mOther));
    CPPUNIT_ASSERT(!mServer->ReloadTls().has_value());
    // The open connection goes on; a new one meets the new keys.
    CPPUNIT_ASSERT(Send(old, {}).has_value());
    AssertNotRun(ClientTls());
    mFolder.Write("ca", mOther);
    CPPUNIT_ASSERT(!old.ReloadTls().has_value());
    HttpClient fresh(mThreads.Context(), ClientTls());
    CPPUNIT_ASSERT(Send(fresh, {}).has_value());
    // A bad file is named and changes nothing.
    std::ofstream(mFolder.File("server.key")) << "no key";
    const Error error = mServer->ReloadTls().value();
    CPPUNIT_ASSERT(error.Detail().find("server.key") != std::string::npos);
    HttpClient later(mThreads.Context(), ClientTls());
    CPPUNIT_ASSERT(Send(later, {}).has_value());
  }

  void TestWrongFiles() {
    TlsSettings tls = ServerTls();
    tls.mKeyFile = mFolder.File("client.key");
    HttpServer server(mThreads.Context(), HttpLimits(), nullptr, tls);
    CPPUNIT_ASSERT(server.Listen({"127.0.0.1", 0}).has_error());
    Serve(ServerTls());
    AssertNotRun(TlsSettings());
    TlsSettings missing = ClientTls();
    missing.mAuthorityFile = mFolder.File("missing");
    AssertNotRun(missing);
  }

  void TestManyCallers() {
    Serve(ServerTls());
    HttpClient client(mThreads.Context(), ClientTls());
    std::atomic<int> wrong{0};
    const auto caller = [&](int aCaller) -> asio::awaitable<void> {
      for (int i = 0; i < 20; ++i) {
        HttpRequest request;
        request.mMethod = "POST";
        request.mBody = std::string(aCaller * 1000 + i, 'x');
        const std::string expected = "/" + request.mBody;
        const Result<HttpResponse> answer =
            co_await client.Send(mWhere, std::move(request), kGenerous);
        wrong += !answer || answer->mBody != expected;
      }
    };
    std::vector<std::future<void>> callers;
    for (int i = 0; i < 16; ++i) {
      callers.push_back(
          asio::co_spawn(mThreads.Context(), caller(i), asio::use_future));
    }
    for (std::future<void>& done : callers) {
      done.get();
    }
    CPPUNIT_ASSERT_EQUAL(0, wrong.load());
  }

 private:
  TlsSettings ServerTls() const {
    TlsSettings tls;
    tls.mCertificateFile = mFolder.File("server.pem");
    tls.mKeyFile = mFolder.File("server.key");
    return tls;
  }
  TlsSettings ClientTls() const {
    TlsSettings tls;
    tls.mAuthorityFile = mFolder.File("ca.pem");
    return tls;
  }
  void Serve(TlsSettings aTls) {
    mServer.emplace(
        mThreads.Context(), HttpLimits(),
        [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
          return Handle(aRequest, aExchange);
        },
        std::move(aTls));
    mWhere = mServer->Listen({"127.0.0.1", 0}).value();
  }
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange) {
    ++mRuns;
    HttpResponse response;
    response.mBody = aRequest.mTarget + aRequest.mBody;
    if (aRequest.mTarget == "/") {
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    co_await aExchange.Begin(std::move(response));
    std::string part = "one ";
    co_await aExchange.Write(std::move(part));
    part = "two";
    co_await aExchange.Write(std::move(part));
    if (aRequest.mTarget == "/stream") {
      co_await aExchange.End();
    }
  }
  Result<HttpResponse> Send(HttpClient& aClient, const HttpRequest& aRequest) {
    return mThreads.Await(aClient.Send(mWhere, aRequest, kGenerous));
  }
  void AssertNotRun(const TlsSettings& aTls) {
    HttpClient client(mThreads.Context(), aTls);
    const int runs = mRuns;
    const Error error = Send(client, {}).error();
    CPPUNIT_ASSERT(RunState::NotRun == error.Run());
    CPPUNIT_ASSERT_EQUAL(runs, mRuns.load());
  }

  const Identity mAuthority = MakeIdentity("authority", "", nullptr);
  const Identity mOther = MakeIdentity("other authority", "", nullptr);
  KeyFolder mFolder;
  std::atomic<int> mRuns{0};
  ThreadedContext mThreads{4};
  std::optional<HttpServer> mServer;
  Endpoint mWhere;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTlsTest);

}  // namespace

}  // namespace rillwall
