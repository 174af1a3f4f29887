/// \file
/// A service that scores rollouts, always the same for the same text.

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "control_serve.h"
#include "verbs.h"

namespace rillwall::standin {

namespace {

constexpr uint64_t kSteps = 10000;

/// \return from 0 up to, but not including, 1
double ScoreOf(const std::string& aPrompt, const std::string& aText) {
  const uint64_t seed = XXH3_64bits(aPrompt.data(), aPrompt.size());
  const uint64_t hash = XXH3_64bits_withSeed(aText.data(), aText.size(), seed);
  return static_cast<double>(hash % kSteps) / kSteps;
}

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
      return JsonAnswer(200, json::object{{"scored", mScored}});
    }
    const Result<json::object> body = ParseObject(aRequest.mBody);
    if (aRequest.Path() != "/score" || !body.has_value()) {
      return ErrorAnswer(400, "bad-request",
                         "POST /score {\"prompt\",\"text\"}.");
    }
    ++mScored;
    const double score =
        ScoreOf(TextOf(body.value(), "prompt"), TextOf(body.value(), "text"));
    return JsonAnswer(200, json::object{{"score", score}});
  }

  Control mControl{{"/stats"}};
  int64_t mScored = 0;
};

}  // namespace

void AddScorerVerb(CLI::App& aApp) {
  CLI::App* verb = aApp.add_subcommand("scorer", "Scores rollouts");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*verb, *options);
  verb->callback([options] { Scorer().Run(*options); });
}

}  // namespace rillwall::standin
