#include "cli_verbs.h"

#include <boost/json.hpp>
#include <iostream>

#include "cli_verb.h"

namespace rillwall {

namespace json = boost::json;

namespace {

constexpr char kExitCodes[] =
    "Exit codes of the verbs that call a node: 0 done; 1 failed; 2 an argument "
    "or file is not valid; 3 the node does not answer; 4 the token is missing "
    "or does not allow this; 5 not found; 6 another change was accepted first; "
    "7 the policy is not valid; 8 not available now, nothing was changed; 9 "
    "the "
    "outcome is unknown, read the state back; 10 accepted, but not yet in "
    "force "
    "on every node; 11 `policy diff` found differences; 100 and above: the "
    "command line is not valid.";

const json::value* Field(const json::value& aValue, const char* aField) {
  const json::object* object = aValue.if_object();
  return object ? object->if_contains(aField) : nullptr;
}

void AddTlsOptions(CLI::App& aApp, TlsSettings& aTls) {
  aApp.add_option("--tls-ca", aTls.mAuthorityFile,
                  "PEM file with the authority of the node's certificate; "
                  "without it TLS is not used")
      ->envname("RILLWALL_TLS_CA");
  aApp.add_option("--tls-cert", aTls.mCertificateFile,
                  "PEM file with your certificate, if the node asks for one")
      ->envname("RILLWALL_TLS_CERT");
  aApp.add_option("--tls-key", aTls.mKeyFile,
                  "PEM file with the certificate's private key")
      ->envname("RILLWALL_TLS_KEY");
  aApp.add_option("--tls-name", aTls.mPeerName,
                  "Name in the node's certificate, if not its IP number")
      ->envname("RILLWALL_TLS_NAME");
}

}  // namespace

Verb AddVerb(CLI::App& aParent, const CliContext& aContext, const char* aName,
             const char* aHelp, const char* aExample, RunVerb aRun) {
  Verb verb;
  verb.mApp = aParent.add_subcommand(aName, aHelp);
  verb.mArguments = std::make_shared<VerbArguments>();
  verb.mApp->footer(std::string("Example: ") + aExample);
  verb.mApp->callback([arguments = verb.mArguments, aContext, aRun] {
    aContext.mExitCode = static_cast<int>(aRun(aContext, *arguments));
  });
  return verb;
}

Verb AddNodeVerb(CLI::App& aParent, const CliContext& aContext,
                 const char* aName, const char* aHelp, const char* aExample,
                 RunVerb aRun) {
  constexpr int64_t kMaxTimeoutSeconds = 3600;
  Verb verb = AddVerb(aParent, aContext, aName, aHelp, aExample, aRun);
  NodeOptions& node = verb.mArguments->mNode;
  verb.mApp->add_option("--node", node.mNode, "The node to call, ip:port")
      ->envname("RILLWALL_NODE")
      ->capture_default_str();
  verb.mApp
      ->add_option("--token", node.mToken,
                   "Token of an operator; other users of this host can see a "
                   "flag, so prefer the environment variable")
      ->envname("RILLWALL_TOKEN");
  verb.mApp
      ->add_option("--timeout-seconds", node.mTimeoutSeconds,
                   "Longest wait for one response, in seconds")
      ->check(CLI::Range(int64_t{1}, kMaxTimeoutSeconds))
      ->capture_default_str();
  AddTlsOptions(*verb.mApp, node.mTls);
  verb.mApp->add_flag("--json", node.mJson, "Print the response as JSON");
  return verb;
}

ExitCode ReportFailure(const CliContext& aContext, const CliFailure& aFailure) {
  aContext.mError << "rillwall: " << aFailure.mText << "\n";
  return aFailure.mCode;
}

const json::array& ArrayOf(const CliAnswer& aAnswer, const char* aField) {
  static const json::array kEmpty;
  const json::value* value = Field(aAnswer.mValue, aField);
  const json::array* array = value ? value->if_array() : nullptr;
  return array ? *array : kEmpty;
}

int64_t NumberOf(const json::value& aValue, const char* aField) {
  const json::value* value = Field(aValue, aField);
  json::error_code failed;
  return value && value->is_number() ? value->to_number<int64_t>(failed) : 0;
}

std::string TextOf(const json::value& aValue, const char* aField) {
  const json::value* value = Field(aValue, aField);
  const json::string* text = value ? value->if_string() : nullptr;
  return text ? std::string(*text) : std::string();
}

void AddClientVerbs(CLI::App& aApp, int& aExitCode) {
  const CliContext context{std::cout, std::cerr, aExitCode};
  AddPolicyVerbs(aApp, context);
  AddFleetVerbs(aApp, context);
  AddDrainVerb(aApp, context);
  AddLoadVerb(aApp, context);
  AddSuspectsVerb(aApp, context);
  AddAccountsVerb(aApp, context);
  AddScaleVerbs(aApp, context);
  AddLocalVerbs(aApp, context);
  aApp.footer(kExitCodes);
}

}  // namespace rillwall
