#include "serve.h"

#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "rillwall/held_signals.h"
#include "rillwall/log.h"
#include "rillwall/wire_convert.h"
#include "tasks.h"

namespace rillwall {

namespace {

constexpr Millis kBalancerGrace{1500};
constexpr Millis kDrainPollPeriod{50};
constexpr Millis kHandOverTimeout{5000};
constexpr Millis kShutdownGrace{500};
constexpr Millis kNotReadyRetry{1000};
constexpr int64_t kMillisPerSecond = 1000;

HttpServerOptions CallerOptions(const NodeSettings& aSettings) {
  constexpr size_t kBytesPerMb = 1000 * 1000;
  const size_t machine = static_cast<size_t>(::sysconf(_SC_PHYS_PAGES)) *
                         static_cast<size_t>(::sysconf(_SC_PAGESIZE));
  const size_t set =
      static_cast<size_t>(aSettings.mRequestMemoryMb) * kBytesPerMb;
  HttpServerOptions options;
  options.mMemory = std::make_shared<MemoryBudget>(set > 0 ? set : machine / 2);
  return options;
}

std::string KvMetrics(const KvCounts& aCounts) {
  const std::pair<const char*, uint64_t> rows[] = {
      {"rillwall_kv_reads_total", aCounts.mReads},
      {"rillwall_kv_writes_total", aCounts.mWrites},
      {"rillwall_kv_watches_total", aCounts.mWatches},
      {"rillwall_kv_errors_total", aCounts.mErrors}};
  std::string text;
  for (const auto& [name, value] : rows) {
    text += std::string("# TYPE ") + name + " counter\n" + name + " " +
            std::to_string(value) + "\n";
  }
  return text;
}

asio::awaitable<void> WatchSignals(asio::io_context& aContext,
                                   Server& aServer) {
  asio::signal_set signals(aContext, SIGTERM, SIGINT, SIGUSR1);
  ReleaseSignals();
  while (true) {
    const int signal = co_await signals.async_wait(asio::use_awaitable);
    if (signal == SIGUSR1) {
      aServer.LogDump();
    } else {
      aServer.Drain();
    }
  }
}

}  // namespace

Server::Server(asio::io_context& aContext, NodeSettings aSettings)
    : mNode(aContext, std::move(aSettings)),
      mGossip(mNode),
      mPolicies(mNode, mGossip),
      mUpstreams(mNode, mGossip),
      mWeights(mNode, mGossip, mUpstreams),
      mCalls(mNode, mUpstreams),
      mRunner(mNode, mCalls),
      mSteps(mNode, mGossip),
      mPeerService(mNode, mGossip, mPolicies, mSteps, mRunner),
      mCallerApi(mNode, mCalls),
      mServiceApi(mNode),
      mTrainerApi(mNode, mSteps, mWeights),
      mAdminApi(mNode, mPolicies, mUpstreams, mSteps, mRunner,
                [this] { Drain(); }),
      mHttpServer(
          aContext, HttpLimits(),
          [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
            return Handle(aRequest, aExchange);
          },
          CallerTls(mNode.Settings()), CallerOptions(mNode.Settings())),
      mPeerServer(
          aContext,
          [this](wire::PeerRequest aRequest) {
            return mPeerService.Handle(std::move(aRequest));
          },
          FleetTls(mNode.Settings())) {
  mNode.SetPeerHandler([this](wire::PeerRequest aRequest) {
    return mPeerService.Handle(std::move(aRequest));
  });
}

std::optional<Error> Server::Start() {
  const NodeSettings& settings = mNode.Settings();
  const Result<Endpoint> rpc = mPeerServer.Listen(settings.mRpc);
  if (!rpc) {
    return rpc.error();
  }
  mPolicies.Start();
  mUpstreams.Start();
  mWeights.Start();
  mCalls.Start();
  mSteps.Start();
  const Result<Endpoint> gossip = mGossip.Start();
  if (!gossip) {
    return gossip.error();
  }
  const Result<Endpoint> http = mHttpServer.Listen(settings.mHttp);
  if (!http) {
    return http.error();
  }
  Log(Part::Node)
      .Info("Node " + settings.mNodeId + " listens on " + http->Text() + ".");
  return std::nullopt;
}

HttpResponse Server::Ready() const {
  const NodePhase phase = mNode.Phase();
  const std::string body =
      std::string("{\"phase\":\"") + NodePhaseName(phase) + "\"}";
  return HttpResponse::Json(phase == NodePhase::Ready ? 200 : 503, body);
}

asio::awaitable<HttpResponse> Server::RouteRequest(
    const HttpRequest& aRequest, std::vector<std::string> aParts) {
  const std::string first = aParts.empty() ? "" : aParts[0];
  if (first == "health") {
    co_return HttpResponse::Json(200, "{\"alive\":true}");
  }
  if (first == "ready") {
    co_return Ready();
  }
  if (first == "metrics") {
    HttpResponse response;
    response.mHeaders.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.mBody = mNode.Meter().Text() + KvMetrics(mNode.Kv().Counts());
    co_return response;
  }
  if (first == "admin") {
    aParts.erase(aParts.begin());
    co_return co_await mAdminApi.Handle(aRequest, std::move(aParts));
  }
  if (!mNode.AcceptsWork()) {
    co_return ErrorResponse(Error(ErrorKind::Unavailable,
                                  "This node has no confirmed policies yet.")
                                .WithRetryAfter(kNotReadyRetry));
  }
  if (first == "v1" && aParts.size() > 2 && aParts[1] == "trainers") {
    aParts.erase(aParts.begin(), aParts.begin() + 2);
    co_return co_await mTrainerApi.Handle(aRequest, std::move(aParts));
  }
  co_return ErrorResponse(Error(ErrorKind::NotFound,
                                "Unknown path; docs/API.md lists the "
                                "paths of the API."));
}

asio::awaitable<void> Server::Handle(const HttpRequest& aRequest,
                                     HttpExchange& aExchange) {
  const std::string id = RequestId(aRequest);
  const std::string_view path = aRequest.Path();
  const bool chat = path == "/v1/chat/completions";
  const bool accepts = mNode.AcceptsWork();
  const bool post = aRequest.mMethod == "POST";
  if ((chat || path == "/v1/completions") && accepts && post) {
    co_await mCallerApi.Handle(aRequest, aExchange, chat, id);
    co_return;
  }
  if (path.starts_with("/services/") && accepts) {
    HttpResponse response = co_await mServiceApi.Handle(aRequest, id);
    co_await aExchange.Respond(std::move(response));
    co_return;
  }
  HttpResponse response = co_await RouteRequest(aRequest, SplitPath(path));
  // Responses that the node itself creates ran nothing at an upstream.
  AddRunHeaders(response, RunState::NotRun, id);
  co_await aExchange.Respond(std::move(response));
}

void Server::LogDump() {
  asio::post(mNode.Control(),
             [this] { Log(Part::Node).Info("Dump: " + mAdminApi.Dump()); });
}

void Server::Drain() {
  asio::post(mNode.Control(), [this] {
    if (!mDraining) {
      mDraining = true;
      mNode.SpawnControl(RunDrain());
    }
  });
}

asio::awaitable<void> Server::RunDrain() {
  Log(Part::Node).Info("Drains.");
  mNode.Lifecycle().Drain();
  mNode.PublishPhase();
  mGossip.Leave();
  // Gives the load balancer time to notice that this node is not ready.
  co_await Node::Sleep(kBalancerGrace);
  mHttpServer.Drain();
  const Millis end =
      mNode.Now() + Millis(mNode.Settings().mDrainSeconds * kMillisPerSecond);
  // Idle connections stay open for a moment and may bring another request.
  do {
    co_await Node::Sleep(kDrainPollPeriod);
  } while (mNode.Now() < end &&
           (mHttpServer.Connections() > 0 || mRunner.Running() > 0));
  co_await HandOverHeldGroups();
  mNode.Lifecycle().Drained();
  mNode.PublishPhase();
  Log(Part::Node).Info("Drained.");
  // Peers may still request data that this node has just announced to them.
  co_await Node::Sleep(kShutdownGrace);
  mHttpServer.Stop();
  mPeerServer.Stop();
  mGossip.Stop();
  mNode.Context().stop();
}

// Sends the held groups of each step to the step's owner, which tracks the
// state of the step.
asio::awaitable<void> Server::HandOverHeldGroups() {
  for (wire::HandOver& part : mRunner.ExtractHeldGroups()) {
    const StepId step = FromWire(part.id()).value();
    const std::vector<Member> owners =
        DutyOwners(mNode.Members().Live(), step.Duty(), 1);
    if (owners.empty()) {
      continue;
    }
    wire::PeerRequest request;
    *request.mutable_hand_over() = std::move(part);
    const Result<wire::PeerReply> reply = co_await mNode.CallPeer(
        owners[0].mId, owners[0].mRpc, std::move(request), kHandOverTimeout);
    if (!reply) {
      Log(Part::Node)
          .Warn("Could not hand over " + step.Duty() + ": " +
                reply.error().Detail());
    }
  }
}

int Serve(const NodeSettings& aSettings) {
  std::signal(SIGPIPE, SIG_IGN);
  LimitRetainedMemory();
  asio::io_context context(static_cast<int>(aSettings.mThreads));
  Server server(context, aSettings);
  const std::optional<Error> failed = server.Start();
  if (failed) {
    Log(Part::Node).Error(failed->Message());
    return 1;
  }
  SpawnDetached(context.get_executor(), WatchSignals(context, server));
  std::vector<std::jthread> threads;
  for (int64_t i = 1; i < aSettings.mThreads; ++i) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  return 0;
}

}  // namespace rillwall
