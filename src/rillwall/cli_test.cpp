#include <cppunit/extensions/HelperMacros.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <thread>

#include "cli_diff.h"
#include "cli_verb.h"

namespace rillwall {

namespace {

/// HTTP server with fixed responses, on a port of its own.
class FakeNode {
 public:
  explicit FakeNode(std::optional<TlsSettings> aTls = std::nullopt)
      : mServer(
            mContext, HttpLimits(),
            [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
              return Answer(aRequest, aExchange);
            },
            std::move(aTls)),
        mAddress(mServer.Listen({"127.0.0.1", 0})->Text()),
        mThread([this] { mContext.run(); }) {}
  ~FakeNode() {
    mContext.stop();
    mThread.join();
  }

  const std::string& Address() const { return mAddress; }

  /// Sets the responses to "METHOD target". The last one is repeated. Without
  /// any, the response is truncated.
  void Set(const std::string& aRequest, std::vector<HttpResponse> aAnswers) {
    const std::lock_guard lock(mMutex);
    mAnswers[aRequest] = std::move(aAnswers);
  }
  HttpRequest First() {
    const std::lock_guard lock(mMutex);
    return mRequests.front();
  }

 private:
  std::optional<HttpResponse> Next(const HttpRequest& aRequest) {
    const std::lock_guard lock(mMutex);
    mRequests.push_back(aRequest);
    auto& answers = mAnswers[aRequest.mMethod + " " + aRequest.mTarget];
    if (answers.empty()) {
      return std::nullopt;
    }
    HttpResponse response = answers.front();
    if (answers.size() > 1) {
      answers.erase(answers.begin());
    }
    return response;
  }
  asio::awaitable<void> Answer(const HttpRequest& aRequest,
                               HttpExchange& aExchange) {
    const std::optional<HttpResponse> response = Next(aRequest);
    if (response) {
      co_await aExchange.Respond(*response);
      co_return;
    }
    // A response that is started but not ended is truncated.
    HttpResponse head;
    co_await aExchange.Begin(std::move(head));
  }

  std::mutex mMutex;
  std::map<std::string, std::vector<HttpResponse>> mAnswers;
  std::vector<HttpRequest> mRequests;
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork{
      mContext.get_executor()};
  HttpServer mServer;
  std::string mAddress;
  std::thread mThread;
};

/// PEM file with a self-signed certificate for 127.0.0.1 and its key. The
/// destructor removes the file.
class CertificateFile {
 public:
  CertificateFile() {
    constexpr long kHour = 3600;
    const std::shared_ptr<EVP_PKEY> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const std::shared_ptr<X509> made(X509_new(), X509_free);
    X509_set_version(made.get(), 2);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), -kHour);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), kHour);
    X509_set_pubkey(made.get(), key.get());
    const std::shared_ptr<X509_EXTENSION> name(
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name,
                            "IP:127.0.0.1"),
        X509_EXTENSION_free);
    X509_add_ext(made.get(), name.get(), -1);
    X509_sign(made.get(), key.get(), EVP_sha256());
    const int file = ::mkstemp(mName.data());
    const std::shared_ptr<FILE> stream(::fdopen(file, "w"), std::fclose);
    PEM_write_X509(stream.get(), made.get());
    PEM_write_PrivateKey(stream.get(), key.get(), nullptr, nullptr, 0, nullptr,
                         nullptr);
  }
  ~CertificateFile() { std::filesystem::remove(mName); }
  const std::string& Name() const { return mName; }

 private:
  std::string mName =
      (std::filesystem::temp_directory_path() / "rillwall-cli-XXXXXX").string();
};

/// Result of one command line.
struct Outcome {
  int mExit = 0;
  std::string mOut;
  std::string mError;
};

Outcome RunLine(const std::string& aLine) {
  Outcome outcome;
  std::ostringstream out;
  std::ostringstream error;
  CLI::App app;
  const CliContext context{out, error, outcome.mExit};
  AddPolicyVerbs(app, context);
  AddFleetVerbs(app, context);
  AddDrainVerb(app, context);
  AddLoadVerb(app, context);
  AddSuspectsVerb(app, context);
  AddAccountsVerb(app, context);
  AddScaleVerbs(app, context);
  AddLocalVerbs(app, context);
  try {
    app.parse(aLine);
  } catch (const CLI::ParseError& failed) {
    outcome.mExit = app.exit(failed, out, error);
  }
  outcome.mOut = out.str();
  outcome.mError = error.str();
  return outcome;
}

bool Contains(const std::string& aText, std::string_view aPart) {
  return aText.find(aPart) != std::string::npos;
}

std::string ErrorBody(const char* aKind) {
  return std::string(R"({"error":{"kind":")") + aKind +
         R"(","message":"The cause.","remedy":"The remedy.","run":"not-run"}})";
}

constexpr char kProgram[] = RILLWALL_SOURCE_DIR "/src/CMakeLists.txt";

}  // namespace

class CliTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CliTest);
  CPPUNIT_TEST(PutPrintsRevisionAndSendsToken);
  CPPUNIT_TEST(ChangeNotYetInForceExitsPartial);
  CPPUNIT_TEST(ErrorKindsMapToExitCodes);
  CPPUNIT_TEST(DeadNodeIsReportedUnreachable);
  CPPUNIT_TEST(LostAnswerIsReportedUnknown);
  CPPUNIT_TEST(ServerCertificateIsVerified);
  CPPUNIT_TEST(ListsArePrintedAsTablesOrJson);
  CPPUNIT_TEST(GetPrintsAndDiffComparesTheProgram);
  CPPUNIT_TEST(CheckPrintsTheChanges);
  CPPUNIT_TEST(HealthReflectsReadiness);
  CPPUNIT_TEST(DrainShowsProgressUntilTheNodeEnds);
  CPPUNIT_TEST(SuspectsAreListedClearedAndHeld);
  CPPUNIT_TEST(LoadOfAServiceIsShown);
  CPPUNIT_TEST(AccountsAreListed);
  CPPUNIT_TEST(ScaleAndUsageShowTheDuties);
  CPPUNIT_TEST(TokenMakePrintsTokenAndDeclaration);
  CPPUNIT_TEST(EveryVerbHasAnExample);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { mNode = std::make_unique<FakeNode>(); }
  void tearDown() override { mNode.reset(); }

  void PutPrintsRevisionAndSendsToken() {
    Reply("PUT /admin/policies/a?revision=4", 200,
          R"({"revision":5,"accepted":true,"in_force":3,"nodes":3,)"
          R"("missing":[]})");
    const Outcome put = RunOnNode(std::string("policy put a ") + kProgram +
                                  " --revision 4 --token secret");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(put.mError, 0, put.mExit);
    CPPUNIT_ASSERT_EQUAL(
        std::string("Accepted as revision 5, in force on 3 of 3 nodes.\n"),
        put.mOut);
    const HttpRequest sent = mNode->First();
    CPPUNIT_ASSERT(Contains(sent.mBody, "add_subdirectory"));
    CPPUNIT_ASSERT_EQUAL(std::string("Bearer secret"),
                         *sent.Find("Authorization"));
  }

  void AccountsAreListed() {
    Reply("GET /node/accounts", 200,
          R"({"accounts":[{"account":"acme","priority":1,"admitted":7,)"
          R"("waiting":0,"refused":3,"last_use_ms":20}],"services":[]})");
    const Outcome listed = RunOnNode("accounts");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(listed.mError, 0, listed.mExit);
    CPPUNIT_ASSERT(Contains(listed.mOut, "acme"));
    CPPUNIT_ASSERT(Contains(listed.mOut, "REFUSED"));
  }

  void SuspectsAreListedClearedAndHeld() {
    const std::string one =
        R"({"suspects":[{"request":"00ff","what":"POST h/p","crashes":3,)"
        R"("held":true,"held_for_ms":5000,"last_ms":7,"replicas":["i-1"]}]})";
    Reply("GET /node/suspects", 200, one);
    const Outcome listed = RunOnNode("suspects");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(listed.mError, 0, listed.mExit);
    CPPUNIT_ASSERT(Contains(listed.mOut, "00ff"));
    CPPUNIT_ASSERT(Contains(listed.mOut, "POST h/p"));
    Reply("POST /node/suspects?action=clear&request=00ff", 200,
          R"({"suspects":[]})");
    CPPUNIT_ASSERT_EQUAL(0, RunOnNode("suspects --clear 00ff").mExit);
    Reply("POST /node/suspects?action=hold&request=00ff", 200, one);
    CPPUNIT_ASSERT_EQUAL(0, RunOnNode("suspects --hold 00ff").mExit);
    CPPUNIT_ASSERT(RunOnNode("suspects --hold 00ff --clear 00ff").mExit >= 100);
  }

  void LoadOfAServiceIsShown() {
    Reply("GET /node/load?service=s", 200,
          R"({"replicas":[{"replica":"i-1","percent":250,"age_ms":4}],)"
          R"("probes_sent":12,"hedges_won":3})");
    const Outcome shown = RunOnNode("load s");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(shown.mError, 0, shown.mExit);
    CPPUNIT_ASSERT(Contains(shown.mOut, "i-1"));
    CPPUNIT_ASSERT(Contains(shown.mOut, "250"));
    CPPUNIT_ASSERT(Contains(shown.mOut, "probes: 12 sent"));
    CPPUNIT_ASSERT(Contains(shown.mOut, "3 won"));
    CPPUNIT_ASSERT(RunOnNode("load").mExit >= 100);
  }

  void ScaleAndUsageShowTheDuties() {
    Reply("GET /node/scale?service=llm", 200,
          R"({"groups":[{"zone":"z1","kind":"spot","present":3,"needed":7}],)"
          R"("reason":"9 texts","ask":"10.0.0.9:1"})");
    const Outcome why = RunOnNode("scale --why llm");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(why.mError, 0, why.mExit);
    CPPUNIT_ASSERT(Contains(why.mOut, "spot"));
    CPPUNIT_ASSERT(Contains(why.mOut, "9 texts"));
    CPPUNIT_ASSERT(Contains(why.mOut, "10.0.0.9:1"));
    CPPUNIT_ASSERT(!Contains(RunOnNode("scale llm").mOut, "9 texts"));
    CPPUNIT_ASSERT(RunOnNode("scale").mExit != 0);
    Reply("GET /node/usage", 200,
          R"({"windows":[{"window":77,"state":"fixed","accounts":2}]})");
    CPPUNIT_ASSERT(Contains(RunOnNode("usage").mOut, "fixed"));
  }

  void ChangeNotYetInForceExitsPartial() {
    Reply("DELETE /admin/policies/a", 200,
          R"({"revision":5,"accepted":true,"in_force":2,"nodes":3,)"
          R"("missing":["n3"]})");
    const Outcome removed = RunOnNode("policy delete a");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Partial), removed.mExit);
    CPPUNIT_ASSERT(Contains(removed.mError, "Not yet confirmed by: n3."));
  }

  void ErrorKindsMapToExitCodes() {
    const std::map<const char*, ExitCode> codes = {
        {"bad-request", ExitCode::BadRequest},
        {"forbidden", ExitCode::Refused},
        {"not-found", ExitCode::NotFound},
        {"conflict", ExitCode::Conflict},
        {"policy-invalid", ExitCode::Invalid},
        {"kv-unavailable", ExitCode::Unavailable},
        {"kv-uncertain", ExitCode::Unknown},
        {"internal", ExitCode::Failed}};
    for (const auto& [kind, code] : codes) {
      Reply("GET /admin/policies/a", 409, ErrorBody(kind));
      const Outcome got = RunOnNode("policy get a");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(kind, static_cast<int>(code), got.mExit);
      CPPUNIT_ASSERT_EQUAL(std::string("rillwall: The cause. The remedy.\n"),
                           got.mError);
    }
    Reply("GET /admin/policies/a", 404, "<html>");
    CPPUNIT_ASSERT(Contains(RunOnNode("policy get a").mError, "Check --node"));
    const int bad = static_cast<int>(ExitCode::BadRequest);
    CPPUNIT_ASSERT_EQUAL(bad, RunOnNode("policy get a/../b").mExit);
    CPPUNIT_ASSERT_EQUAL(bad, RunOnNode("policy put a /nowhere").mExit);
    CPPUNIT_ASSERT_EQUAL(bad, RunLine("hosts --node localhost").mExit);
  }

  void DeadNodeIsReportedUnreachable() {
    const std::string address = mNode->Address();
    mNode.reset();
    const Outcome hosts = RunLine("hosts --node " + address);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Unreachable), hosts.mExit);
    CPPUNIT_ASSERT(Contains(hosts.mError, "does not answer"));
  }

  void LostAnswerIsReportedUnknown() {
    const Outcome removed = RunOnNode("policy delete a");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Unknown), removed.mExit);
    CPPUNIT_ASSERT(Contains(removed.mError, "Read back"));
  }

  void ServerCertificateIsVerified() {
    const CertificateFile own;
    const CertificateFile other;
    TlsSettings tls;
    tls.mCertificateFile = own.Name();
    tls.mKeyFile = own.Name();
    mNode = std::make_unique<FakeNode>(tls);
    Reply("GET /admin/hosts", 200, R"({"hosts":[]})");
    CPPUNIT_ASSERT_EQUAL(0, RunOnNode("hosts --tls-ca " + own.Name()).mExit);
    const int unreachable = static_cast<int>(ExitCode::Unreachable);
    CPPUNIT_ASSERT_EQUAL(unreachable,
                         RunOnNode("hosts --tls-ca " + other.Name()).mExit);
    CPPUNIT_ASSERT_EQUAL(unreachable,
                         RunOnNode("hosts --tls-ca /nowhere").mExit);
    CPPUNIT_ASSERT(RunOnNode("hosts").mExit != 0);
  }

  void ListsArePrintedAsTablesOrJson() {
    const std::string body =
        R"({"hosts":[{"id":"n1","zone":"maslak","state":"alive"},)"
        R"({"id":"node-2","zone":"z","state":"dead","incarnation":7}]})";
    Reply("GET /admin/hosts", 200, body);
    const Outcome table = RunOnNode("hosts");
    CPPUNIT_ASSERT_EQUAL(
        std::string("NODE    ZONE    STATE  HTTP  RPC  INCARNATION\n"
                    "n1      maslak  alive  -     -    -\n"
                    "node-2  z       dead   -     -    7\n"),
        table.mOut);
    CPPUNIT_ASSERT_EQUAL(body + "\n", RunOnNode("hosts --json").mOut);
    Reply("GET /admin/dump", 200, R"({"a":[1,{"b":""}],"c":{}})");
    CPPUNIT_ASSERT_EQUAL(
        std::string("{\n  \"a\": [\n    1,\n    {\n      \"b\":"
                    " \"\"\n    }\n  ],\n  \"c\": {}\n}\n"),
        RunOnNode("dump").mOut);
  }

  void GetPrintsAndDiffComparesTheProgram() {
    std::ifstream file(kProgram);
    std::ostringstream text;
    text << file.rdbuf();
    const boost::json::object same = {{"program", text.str()}};
    Reply("GET /admin/policies/a", 200, boost::json::serialize(same));
    CPPUNIT_ASSERT_EQUAL(text.str(), RunOnNode("policy get a").mOut);
    const std::string line = std::string("policy diff a ") + kProgram;
    CPPUNIT_ASSERT_EQUAL(0, RunOnNode(line).mExit);
    Reply("GET /admin/policies/a", 200, R"({"program":"other\n"})");
    const Outcome diff = RunOnNode(line);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Different), diff.mExit);
    CPPUNIT_ASSERT(diff.mOut.starts_with("- other\n+ add_sub"));
    CPPUNIT_ASSERT_EQUAL(std::string("  a\n- b\n+ x\n  c\n+ d\n"),
                         DiffLines("a\nb\nc", "a\nx\nc\nd\n"));
  }

  void CheckPrintsTheChanges() {
    Reply("POST /admin/policies/a/check", 200,
          R"({"revision":4,"changes":[{"kind":"house","name":"b",)"
          R"("change":"added"}]})");
    const Outcome check = RunOnNode(std::string("policy check a ") + kProgram);
    CPPUNIT_ASSERT_EQUAL(std::string("Valid; over revision 4 it would change:\n"
                                     "CHANGE  KIND   NAME\n"
                                     "added   house  b\n"),
                         check.mOut);
  }

  void HealthReflectsReadiness() {
    Reply("GET /health", 200, R"({"alive":true})");
    Reply("GET /ready", 503, R"({"phase":"draining"})");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::Unavailable),
                         RunOnNode("health").mExit);
    Reply("GET /ready", 200, R"({"phase":"ready"})");
    CPPUNIT_ASSERT_EQUAL(0, RunOnNode("health").mExit);
  }

  void DrainShowsProgressUntilTheNodeEnds() {
    Reply("POST /admin/drain", 200,
          R"({"phase":"draining","groups_running":2})");
    mNode->Set(
        "GET /admin/drain",
        {HttpResponse::Json(200, R"({"phase":"draining","groups_running":2})"),
         HttpResponse::Json(200, R"({"phase":"draining","groups_running":1})"),
         HttpResponse::Json(404, ErrorBody("not-found"))});
    const Outcome drain = RunOnNode("drain");
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::NotFound), drain.mExit);
    CPPUNIT_ASSERT_EQUAL(std::string("draining, groups running 2\n"
                                     "draining, groups running 1\n"),
                         drain.mOut);
    mNode->Set("GET /admin/drain", {});
    const Outcome ended = RunOnNode("drain");
    CPPUNIT_ASSERT_EQUAL(0, ended.mExit);
    CPPUNIT_ASSERT(Contains(ended.mOut, "takes no more requests"));
    CPPUNIT_ASSERT_EQUAL(0, RunOnNode("drain --no-wait").mExit);
  }

  void TokenMakePrintsTokenAndDeclaration() {
    const Outcome made = RunLine("token make operator ayse");
    CPPUNIT_ASSERT_EQUAL(0, made.mExit);
    CPPUNIT_ASSERT(made.mOut.starts_with("rw_"));
    CPPUNIT_ASSERT(Contains(made.mError, "token{ scope=\"operator\""));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ExitCode::BadRequest),
                         RunLine("token make root ayse").mExit);
  }

  void EveryVerbHasAnExample() {
    for (const char* verb :
         {"policy put", "policy get", "policy list", "policy delete",
          "policy check", "policy diff", "policy history", "hosts", "upstreams",
          "trainers", "steps", "dump", "drain", "health", "token make"}) {
      const Outcome help = RunLine(std::string(verb) + " --help");
      CPPUNIT_ASSERT_MESSAGE(
          verb, Contains(help.mOut, std::string("Example: rillwall ") + verb));
    }
    CPPUNIT_ASSERT(RunLine("policy put").mExit >= 100);
    CPPUNIT_ASSERT(RunLine("policy delete a --revision x").mExit >= 100);
  }

 private:
  void Reply(const char* aRequest, int aStatus, std::string aBody) {
    mNode->Set(aRequest, {HttpResponse::Json(aStatus, std::move(aBody))});
  }
  Outcome RunOnNode(const std::string& aLine) {
    return RunLine(aLine + " --node " + mNode->Address());
  }

  std::unique_ptr<FakeNode> mNode;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CliTest);

}  // namespace rillwall
