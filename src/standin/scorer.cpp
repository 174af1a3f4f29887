/// \file
/// Stand-in of a service that scores rollouts. The score depends only on the
/// prompt and the text.

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "commands.h"
#include "control_serve.h"

namespace rillwall::standin {

namespace {

constexpr uint64_t kScoreSteps = 10000;

/// \return a score in [0, 1)
double ScoreOf(const std::string& aPrompt, const std::string& aText) {
  const uint64_t seed = XXH3_64bits(aPrompt.data(), aPrompt.size());
  const uint64_t hash = XXH3_64bits_withSeed(aText.data(), aText.size(), seed);
  return static_cast<double>(hash % kScoreSteps) / kScoreSteps;
}

/// Serves /score, and /stats with the number of scored texts.
class Scorer {
 public:
  void Run(const ServeOptions& aOptions) {
    Serve(aOptions, mControl,
          [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
            return Handle(aRequest, aExchange);
          });
  }

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange) {
    HttpResponse answer = Answer(aRequest);
    co_await aExchange.Respond(std::move(answer));
  }

  HttpResponse Answer(const HttpRequest& aRequest) {
    if (aRequest.Path() == "/stats") {
      return MakeJsonResponse(200, json::object{{"scored", mScored}});
    }
    const Result<json::object> body = ParseObject(aRequest.mBody);
    if (aRequest.Path() != "/score" || !body.has_value()) {
      return MakeErrorResponse(400, "bad-request",
                               "POST /score {\"prompt\",\"text\"}.");
    }
    ++mScored;
    const double score =
        ScoreOf(TextOf(body.value(), "prompt"), TextOf(body.value(), "text"));
    return MakeJsonResponse(200, json::object{{"score", score}});
  }

  Control mControl{{"/stats"}};
  int64_t mScored = 0;
};

}  // namespace

void AddScorerCommand(CLI::App& aApp) {
  CLI::App* command =
      aApp.add_subcommand("scorer", "Service that scores rollouts");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*command, *options);
  command->callback([options] { Scorer().Run(*options); });
}

}  // namespace rillwall::standin
