/// \file
/// Stand-in of the weight store: serves byte ranges of synthetic files under
/// one total rate limit.

#include <algorithm>
#include <map>
#include <optional>

#include "commands.h"
#include "control_serve.h"
#include "weights_rate.h"

namespace rillwall::standin {

namespace {

constexpr char kStatsPath[] = "/stats";
constexpr char kWeightsPrefix[] = "/weights/";
constexpr int64_t kMaxChunk = 256 * 1024;
constexpr int64_t kMinChunk = 4 * 1024;
constexpr double kBytesPerMsPerMBps = 1000;
/// Target duration of a chunk under the rate limit. Short chunks let concurrent
/// readers share the rate.
constexpr double kChunkMillis = 10;

/// Read statistics.
struct WeightCounts {
  int64_t mReads = 0;
  int64_t mBytes = 0;
  int64_t mWaits = 0;  ///< chunks delayed by the rate limit
  int64_t mReaders = 0;
  int64_t mPeakReaders = 0;
};

HttpResponse Head(bool aPart, ByteRange aRange, int64_t aSize) {
  HttpResponse head;
  head.mHeaders.push_back({"Content-Type", "application/octet-stream"});
  head.mHeaders.push_back({"Accept-Ranges", "bytes"});
  if (aPart) {
    head.mStatus = 206;
    head.mHeaders.push_back(
        {"Content-Range", "bytes " + std::to_string(aRange.mBegin) + "-" +
                              std::to_string(aRange.mEnd - 1) + "/" +
                              std::to_string(aSize)});
  }
  return head;
}

/// Serves the files, their creation and the statistics.
class WeightStore {
 public:
  WeightStore() : mBlock(kMaxChunk, 'w') {}
  void Run(const ServeOptions& aOptions);

 private:
  asio::awaitable<void> Handle(const HttpRequest& aRequest,
                               HttpExchange& aExchange);
  asio::awaitable<void> Read(const HttpRequest& aRequest, int64_t aSize,
                             HttpExchange& aExchange);
  asio::awaitable<void> Stream(ByteRange aRange, HttpExchange& aExchange);
  HttpResponse HandleOther(const HttpRequest& aRequest,
                           const std::string& aName);
  HttpResponse CreateWeights(const HttpRequest& aRequest,
                             const std::string& aName);
  HttpResponse Stats() const;
  int64_t ChunkSize(double aBytesPerMs) const;

  Control mControl{{kStatsPath}};
  Fault& mRate = mControl.Add("rate_mbps");
  Fault& mCutAfter = mControl.Add("cut_after_bytes");
  std::map<std::string, int64_t> mSizes;
  RateLimit mLimit;
  WeightCounts mCounts;
  std::string mBlock;
};

void WeightStore::Run(const ServeOptions& aOptions) {
  Serve(aOptions, mControl,
        [this](const HttpRequest& aRequest, HttpExchange& aExchange) {
          return Handle(aRequest, aExchange);
        });
}

asio::awaitable<void> WeightStore::Handle(const HttpRequest& aRequest,
                                          HttpExchange& aExchange) {
  const std::string_view path = aRequest.Path();
  const bool isWeights = path.starts_with(kWeightsPrefix);
  const std::string name(isWeights ? path.substr(sizeof(kWeightsPrefix) - 1)
                                   : "");
  const auto found = mSizes.find(name);
  if (aRequest.mMethod == "GET" && found != mSizes.end()) {
    co_await Read(aRequest, found->second, aExchange);
    co_return;
  }
  HttpResponse answer = HandleOther(aRequest, name);
  co_await aExchange.Respond(std::move(answer));
}

HttpResponse WeightStore::HandleOther(const HttpRequest& aRequest,
                                      const std::string& aName) {
  if (aRequest.Path() == kStatsPath) {
    return Stats();
  }
  if (aName.empty()) {
    return MakeErrorResponse(404, "not-found",
                             "Unknown path; use /weights/{name} or /stats.");
  }
  if (aRequest.mMethod == "PUT") {
    return CreateWeights(aRequest, aName);
  }
  return MakeErrorResponse(404, "not-found",
                           "No such weights; create them with PUT.");
}

HttpResponse WeightStore::CreateWeights(const HttpRequest& aRequest,
                                        const std::string& aName) {
  const json::object query{{"bytes", aRequest.Query("bytes")}};
  const int64_t bytes = NumberOf(query, "bytes");
  if (bytes <= 0) {
    return MakeErrorResponse(400, "bad-request",
                             "Send ?bytes=N with N above zero.");
  }
  mSizes[aName] = bytes;
  return MakeJsonResponse(201, json::object{{"name", aName}, {"bytes", bytes}});
}

asio::awaitable<void> WeightStore::Read(const HttpRequest& aRequest,
                                        int64_t aSize,
                                        HttpExchange& aExchange) {
  const std::string* header = aRequest.Find("Range");
  const Result<ByteRange> range =
      header ? ParseRange(*header, aSize) : ByteRange{0, aSize};
  if (!range.has_value()) {
    HttpResponse refusal =
        MakeErrorResponse(416, "bad-request", range.error().Detail());
    co_await aExchange.Respond(std::move(refusal));
    co_return;
  }
  HttpResponse head = Head(header != nullptr, range.value(), aSize);
  const std::error_code gone = co_await aExchange.Begin(std::move(head));
  if (gone) {
    co_return;
  }
  ++mCounts.mReads;
  ++mCounts.mReaders;
  mCounts.mPeakReaders = std::max(mCounts.mPeakReaders, mCounts.mReaders);
  co_await Stream(range.value(), aExchange);
  --mCounts.mReaders;
}

int64_t WeightStore::ChunkSize(double aBytesPerMs) const {
  if (aBytesPerMs <= 0) {
    return kMaxChunk;
  }
  const auto target = static_cast<int64_t>(aBytesPerMs * kChunkMillis);
  return std::clamp(target, kMinChunk, kMaxChunk);
}

asio::awaitable<void> WeightStore::Stream(ByteRange aRange,
                                          HttpExchange& aExchange) {
  const int64_t cutAt = mCutAfter.On() ? aRange.mBegin + mCutAfter.Count() : -1;
  for (int64_t at = aRange.mBegin; at < aRange.mEnd;) {
    const double rate = mRate.Value() * kBytesPerMsPerMBps;
    const int64_t size = std::min(ChunkSize(rate), aRange.mEnd - at);
    const Millis wait = mLimit.Reserve(size, rate, Now());
    if (wait > Millis()) {
      ++mCounts.mWaits;
      co_await Sleep(wait);
    }
    std::string chunk = mBlock.substr(0, size);
    const std::error_code gone = co_await aExchange.Write(std::move(chunk));
    if (gone) {
      co_return;
    }
    mCounts.mBytes += size;
    at += size;
    if (cutAt >= 0 && at >= cutAt) {
      co_return;
    }
  }
  co_await aExchange.End();
}

HttpResponse WeightStore::Stats() const {
  json::array files;
  for (const auto& [name, bytes] : mSizes) {
    files.push_back(json::object{{"name", name}, {"bytes", bytes}});
  }
  json::object stats;
  stats["rate_mbps"] = mRate.Value();
  stats["reads"] = mCounts.mReads;
  stats["bytes_served"] = mCounts.mBytes;
  stats["waits"] = mCounts.mWaits;
  stats["readers"] = mCounts.mReaders;
  stats["peak_readers"] = mCounts.mPeakReaders;
  stats["weights"] = std::move(files);
  return MakeJsonResponse(200, stats);
}

}  // namespace

void AddWeightsCommand(CLI::App& aApp) {
  CLI::App* command = aApp.add_subcommand("weights", "Weight store");
  auto options = std::make_shared<ServeOptions>();
  AddServeOptions(*command, *options);
  command->callback([options] { WeightStore().Run(*options); });
}

}  // namespace rillwall::standin
