#include "item_run.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

#include "crash_guard.h"
#include "replica_end.h"
#include "rillwall/admission.h"
#include "rillwall/numbers.h"
#include "rillwall/replica_answer.h"
#include "rillwall/sse.h"
#include "rillwall/utf8.h"

namespace rillwall {

namespace {

/// Longest wait for a stream's head: a full replica queues requests, and a
/// crashed one is silent.
constexpr Millis kHeadTimeout{2000};
/// Longest pause between two events, whatever else arrives. Events take some
/// 40 ms each, four times that on a slowed replica.
constexpr Millis kEventTimeout{1200};
/// Pause of a model at a replica whose weights are older than listed.
constexpr Millis kStaleWeightsPause{300};
/// A request that ends replicas does so as it begins. After this many events of
/// a run, the replica's end has another cause. Texts have 23 events on average.
constexpr int64_t kSurvivalEvents = 8;
/// Limit for an encoded text. The store takes 1 MB in one change, which also
/// holds the names of a record's fields.
constexpr size_t kMaxTextBytes = 700 * 1000;
/// An escape in JSON is at most so many times as long as its character.
constexpr size_t kMaxEscape = 6;
constexpr int kOk = 200;
constexpr int kUnprocessable = 422;

int64_t NumberOr(const std::string* aText, int64_t aDefault) {
  return aText == nullptr ? aDefault : ParseNumber(*aText).value_or(aDefault);
}

RequestParts PartsOf(const RolloutStep& aStep, size_t aItem) {
  const RolloutSpec& spec = aStep.mTracker.Spec();
  const RolloutItem& item = aStep.mTracker.Item(aItem);
  // A body that is left out is represented by the id, which an item keeps in
  // every step and at every host.
  return {"POST", spec.mHost, item.mPath, spec.mAccount,
          item.mPlace ? item.mId : item.mBody};
}

/// \return the digest of an item, which is the same in every step that contains
/// it
const RequestDigest& DigestOf(RolloutStep& aStep, size_t aItem) {
  const auto known = aStep.mDigests.find(aItem);
  return known != aStep.mDigests.end()
             ? known->second
             : aStep.mDigests.emplace(aItem, PartsOf(aStep, aItem))
                   .first->second;
}

/// \return whether an item may only be sent to a replica that accepts a
/// connection now. Replicas often end together, and a pooled connection to one
/// of them may not show it yet.
bool NeedsLiveReplica(const NodeContext& aNode, RolloutStep& aStep,
                      size_t aItem) {
  return aStep.mItemsOfEndedReplicas.contains(aItem) ||
         (aNode.mCrashes.HasSuspects() &&
          NeedsNewConnection(aNode, DigestOf(aStep, aItem)));
}

HttpRequest MakeRequest(const NodeContext& aNode, RolloutStep& aStep,
                        size_t aItem, std::string aBody,
                        const Replica& aReplica) {
  const RolloutItem& item = aStep.mTracker.Item(aItem);
  const HeaderNames& names = aNode.mHeaders;
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = item.mPath;
  request.mBody = std::move(aBody);
  request.mHeaders.push_back({"Host", aStep.mRecord.mHost});
  const auto priority = aStep.mPriorities.find(aItem);
  const bool ordered = priority != aStep.mPriorities.end();
  for (const RolloutHeader& header : item.mHeaders) {
    if (ordered && boost::iequals(header.mName, names.mPriority)) {
      // The owner decides, not the trainer.
      continue;
    }
    request.mHeaders.push_back({header.mName, header.mValue});
  }
  SetAccountHeader(aNode, *aNode.mRoutes.Read(), aStep.mTracker.Spec().mAccount,
                   request.mHeaders);
  request.mHeaders.push_back({names.mRequestId, item.mId});
  request.mHeaders.push_back({names.mExpectReplica, aReplica.mId});
  const Millis left = std::max(Millis(1), aStep.mGiveUpAt - aNode.Now());
  request.mHeaders.push_back({names.mTimeLeft, std::to_string(left.Count())});
  if (ordered) {
    request.mHeaders.push_back(
        {names.mPriority, std::to_string(priority->second)});
  }
  const RolloutText& text = aStep.mTracker.Text(aItem);
  if (text.mEvents > 0) {
    request.mHeaders.push_back(
        {names.mLastEvent, std::to_string(text.mEvents)});
  }
  return request;
}

/// Reads events into a text, in order and each once.
class EventReader {
 public:
  EventReader(const NodeContext& aNode, RolloutText& aText, int64_t aVersion)
      : mVersionName(aNode.mHeaders.mWeightVersion),
        mText(aText),
        mVersion(aVersion) {}

  int64_t Version() const { return mVersion; }
  /// \return whether the stream has stopped within an event
  bool InEvent() const { return mParser.InEvent(); }

  /// \return the fault of the stream, or an empty string
  std::string Feed(const std::string& aPart) {
    if (mParser.Feed(aPart)) {
      return "an event is too large";
    }
    while (const std::optional<SseEvent> event = mParser.Next()) {
      for (const SseField& field : event->mOthers) {
        if (boost::iequals(field.mName, mVersionName)) {
          mVersion = NumberOr(&field.mValue, mVersion);
        }
      }
      const int64_t id = NumberOr(&event->mId, -1);
      if (id != mText.mEvents + 1) {
        return "event " + event->mId + " came after " +
               std::to_string(mText.mEvents);
      }
      // Records of a step, and what trainers read, are JSON.
      if (!IsUtf8(event->mData)) {
        return "event " + event->mId + " is not valid UTF-8";
      }
      mText.Append(event->mData, mVersion);
      if (TooLong()) {
        // Another run begins anew, as no record can hold this text.
        mText = RolloutText();
        return "the text is over " + std::to_string(kMaxTextBytes) +
               " bytes in JSON, which no record can hold";
      }
    }
    return {};
  }

 private:
  bool TooLong() {
    const size_t size = mText.mOutput.size();
    if (size < mMeasureAt) {
      return false;
    }
    const size_t encoded = EncodedBytes(mText.mOutput);
    mMeasureAt =
        size + (kMaxTextBytes - std::min(kMaxTextBytes, encoded)) / kMaxEscape;
    return encoded > kMaxTextBytes;
  }

  const std::string& mVersionName;
  RolloutText& mText;
  int64_t mVersion;
  /// Size of the text from which on its encoded size may be over the limit.
  size_t mMeasureAt = kMaxTextBytes / kMaxEscape;
  SseParser mParser;
};

/// Checks a stream's head.
/// \return Whole if the stream may be read, else how the run ended
ItemRunEnd CheckHead(NodeContext& aNode, RolloutStep& aStep, size_t aItem,
                     const HttpResponse& aHead, std::string& aWhy) {
  aWhy = "status " + std::to_string(aHead.mStatus);
  if (!IsAnswerTo(aNode, aHead, aStep.mTracker.Item(aItem).mId)) {
    aWhy = "the response belongs to another request";
    return ItemRunEnd::Broken;
  }
  if (IsRefusal(aNode, aHead)) {
    return ItemRunEnd::Refused;
  }
  if (aHead.mStatus == kUnprocessable) {
    return ItemRunEnd::Impossible;
  }
  return aHead.mStatus == kOk ? ItemRunEnd::Whole : ItemRunEnd::Failed;
}

/// \return whether text of this version may be appended
bool VersionFits(const RolloutStep& aStep, const RolloutText& aText,
                 int64_t aVersion) {
  if (aVersion < aStep.mTracker.Spec().mMinVersion) {
    return false;
  }
  const bool other =
      !aText.mVersions.empty() && aText.mVersions.back() != aVersion;
  return !(aStep.mRoute.mSingleVersion && other);
}

/// Checks the version that a stream begins with, and records it for the
/// replica.
/// \return whether the stream's events may be appended
bool AcceptVersion(NodeContext& aNode, RolloutStep& aStep, size_t aItem,
                   const Replica& aReplica, int64_t aVersion) {
  const std::string& model = aStep.mTracker.Spec().mModel;
  aNode.mReplicas.UpdateVersion(aReplica.mId, model, aVersion);
  RolloutText& text = aStep.mTracker.Text(aItem);
  if (VersionFits(aStep, text, aVersion)) {
    return true;
  }
  aNode.mReplicas.PauseModel(aReplica.mId, model,
                             aNode.Now() + kStaleWeightsPause);
  if (aStep.mRoute.mSingleVersion) {
    text = RolloutText();
  }
  return false;
}

/// Measures a replica's pace by the events that one read delivered.
void ObservePace(NodeContext& aNode, const std::string& aReplica,
                 int64_t aEvents, Millis& aLastAt) {
  const Millis now = aNode.Now();
  if (aLastAt > Millis(0) && aEvents > 0) {
    const auto span = static_cast<double>((now - aLastAt).Count());
    aNode.mReplicas.ObservePace(aReplica, span / static_cast<double>(aEvents),
                                now);
  }
  aLastAt = now;
}

/// \return how a run ended whose request was sent
ItemRunEnd EndOf(const Error& aError) {
  return aError.Kind() == ErrorKind::ConnectionLost ? ItemRunEnd::Closed
                                                    : ItemRunEnd::Broken;
}

/// Reads events until the stream ends.
asio::awaitable<ItemRunEnd> ReadEvents(NodeContext& aNode, RolloutStep& aStep,
                                       size_t aItem, const Replica& aReplica,
                                       HttpStream& aStream, int64_t aVersion,
                                       std::string& aWhy) {
  RolloutText& text = aStep.mTracker.Text(aItem);
  EventReader reader(aNode, text, aVersion);
  Millis lastAt;
  Millis due = aNode.Now() + kEventTimeout;
  while (true) {
    const int64_t before = text.mEvents;
    const Millis left = std::max(Millis(1), due - aNode.Now());
    const Result<std::string> part = co_await aStream.Read(left);
    if (!aStep.mRunning) {
      co_return ItemRunEnd::Stopped;
    }
    if (!part) {
      const auto moving = aStep.mMoveReasons.find(aItem);
      const bool moved = moving != aStep.mMoveReasons.end();
      aWhy = moved ? moving->second : part.error().Detail();
      co_return moved ? ItemRunEnd::Moved : EndOf(part.error());
    }
    if (part->empty() && reader.InEvent()) {
      aWhy = "the stream ended within an event";
      co_return aStream.EndedByClose() ? ItemRunEnd::Closed
                                       : ItemRunEnd::Broken;
    }
    if (part->empty()) {
      co_return ItemRunEnd::Whole;
    }
    aWhy = reader.Feed(*part);
    if (!aWhy.empty()) {
      co_return ItemRunEnd::Broken;
    }
    const Millis now = aNode.Now();
    if (text.mEvents > before) {
      due = now + kEventTimeout;
    } else if (now >= due) {
      aWhy = "bytes arrived, but no event in time";
      co_return ItemRunEnd::Broken;
    }
    ObservePace(aNode, aReplica.mId, text.mEvents - before, lastAt);
  }
}

}  // namespace

asio::awaitable<ItemRunEnd> GenerateText(NodeContext& aNode, RolloutStep& aStep,
                                         size_t aItem, std::string aBody,
                                         Replica aReplica,
                                         ItemRunDetails& aDetails) {
  std::string& why = aDetails.mWhy;
  const Result<Endpoint> endpoint = Endpoint::Parse(aReplica.mAddress);
  if (!endpoint) {
    why = endpoint.error().Detail();
    co_return ItemRunEnd::NotSent;
  }
  HttpRequest request =
      MakeRequest(aNode, aStep, aItem, std::move(aBody), aReplica);
  HttpClient::OpenOptions options;
  options.mNewConnection = NeedsLiveReplica(aNode, aStep, aItem);
  options.mTrace = &aDetails.mTrace;
  options.mEndCheck = EndCheckFor(aNode, aReplica);
  options.mMayReuse = ReuseAfterAnswer(aNode, aStep.mTracker.Item(aItem).mId,
                                       AfterRefusal::Close);
  if (aNode.mCrashes.HasSuspects()) {
    aDetails.mOrder = aNode.mCrashes.NextOrder(DigestOf(aStep, aItem));
  }
  Result<std::unique_ptr<HttpStream>> opened = co_await aNode.mClient.Open(
      *endpoint, std::move(request), kHeadTimeout, std::move(options));
  if (!opened) {
    why = opened.error().Detail();
    const bool sent = opened.error().Run() != RunState::NotRun;
    co_return sent ? EndOf(opened.error()) : ItemRunEnd::NotSent;
  }
  if (!aStep.mRunning) {
    co_return ItemRunEnd::Stopped;
  }
  const std::unique_ptr<HttpStream> stream = std::move(*opened);
  const HttpResponse& head = stream->Head();
  ObserveLoad(aNode, aReplica.mId, head);
  const ItemRunEnd headResult = CheckHead(aNode, aStep, aItem, head, why);
  if (headResult != ItemRunEnd::Whole) {
    co_return headResult;
  }
  const int64_t version = NumberOr(head.Find(aNode.mHeaders.mWeightVersion), 0);
  if (!AcceptVersion(aNode, aStep, aItem, aReplica, version)) {
    why = "unsuitable weight version " + std::to_string(version);
    co_return ItemRunEnd::Broken;
  }
  aStep.mStreams[aItem] = stream.get();
  ItemRunEnd end =
      co_await ReadEvents(aNode, aStep, aItem, aReplica, *stream, version, why);
  aStep.mStreams.erase(aItem);
  aStep.mMoveReasons.erase(aItem);
  RolloutText& text = aStep.mTracker.Text(aItem);
  const int64_t minVersion = aStep.mTracker.Spec().mMinVersion;
  if (!text.SatisfiesVersions(minVersion, aStep.mRoute.mSingleVersion)) {
    // The weights changed during the stream: none of its text can be used.
    why = "the weight versions of the text do not fit the step";
    text = RolloutText();
    end = end == ItemRunEnd::Stopped ? end : ItemRunEnd::Broken;
  }
  text.mWhole = end == ItemRunEnd::Whole;
  co_return end;
}

bool ItemHeld(const NodeContext& aNode, RolloutStep& aStep, size_t aItem) {
  const CrashTable& crashes = aNode.mCrashes;
  return crashes.HasSuspects() &&
         crashes.HeldByOperatorFor(DigestOf(aStep, aItem), aNode.mTimeOfDay()) >
             Millis(0);
}

bool ItemPauses(NodeContext& aNode, RolloutStep& aStep, size_t aItem) {
  return aNode.mCrashes.HasSuspects() &&
         OwedWait(aNode, DigestOf(aStep, aItem)) > Millis(0);
}

void ItemRunStarted(NodeContext& aNode, RolloutStep& aStep, size_t aItem) {
  if (aNode.mCrashes.HasSuspects()) {
    OwedRunStarted(aNode, DigestOf(aStep, aItem));
  }
}

asio::awaitable<bool> RecordRunOutcome(NodeContext& aNode, RolloutStep& aStep,
                                       size_t aItem, EndedItemRun aRun) {
  const std::string& id = aStep.mTracker.Item(aItem).mId;
  const int64_t reached = aStep.mTracker.Text(aItem).mEvents;
  const bool suspects = aNode.mCrashes.HasSuspects();
  if (aRun.mEnd == ItemRunEnd::Whole && suspects) {
    ClearRequest(aNode, DigestOf(aStep, aItem), id);
  } else if (aRun.mEvents > 0 && suspects) {
    PassEvent(aNode, DigestOf(aStep, aItem), id, reached);
  }
  if (aRun.mDetails.mTrace.mResponding) {
    aStep.mItemsOfEndedReplicas.erase(aItem);
  }
  if (aRun.mEnd != ItemRunEnd::Closed) {
    if (suspects) {
      aNode.mPacer.Ended(DigestOf(aStep, aItem));
    }
    co_return false;
  }
  CutRun cut;
  cut.mRequest = DigestOf(aStep, aItem);
  cut.mReplica = std::move(aRun.mReplica);
  cut.mId = id;
  cut.mDescription = DescribeRequest(PartsOf(aStep, aItem));
  cut.mSentAt = aRun.mSentAt;
  cut.mOrder = aRun.mDetails.mOrder;
  cut.mReached = aRun.mDetails.mTrace.Reached();
  cut.mSurvived = aRun.mEvents >= kSurvivalEvents;
  cut.mEvents = reached;
  cut.mOwed = true;
  const bool ended = co_await RecordCrashIfEnded(aNode, std::move(cut));
  aNode.mPacer.Ended(DigestOf(aStep, aItem));
  if (ended) {
    aStep.mItemsOfEndedReplicas.insert(aItem);
  }
  co_return ended;
}

}  // namespace rillwall
