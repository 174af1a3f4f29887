#include "rillwall/replica_answer.h"

namespace rillwall {

namespace {

constexpr int kMisdirected = 421;

/// \return the identity that a response names; nullptr if it names none
const std::string* NamedId(const NodeContext& aNode,
                           const HttpResponse& aHead) {
  const std::string* id = aHead.Find(aNode.mHeaders.mRequestId);
  return id == nullptr || id->empty() ? nullptr : id;
}

}  // namespace

bool IsRefusal(const NodeContext& aNode, const HttpResponse& aHead) {
  return aHead.mStatus == kMisdirected ||
         aHead.Find(aNode.mHeaders.mNotRun) != nullptr;
}

bool IsAnswerTo(const NodeContext& aNode, const HttpResponse& aHead,
                const std::string& aId) {
  const std::string* id = NamedId(aNode, aHead);
  return id == nullptr ? aId.empty() || IsRefusal(aNode, aHead) : *id == aId;
}

HttpClient::ReusePredicate ReuseAfterAnswer(const NodeContext& aNode,
                                            std::string aId,
                                            AfterRefusal aAfterRefusal) {
  return
      [&aNode, id = std::move(aId), aAfterRefusal](const HttpResponse& aHead) {
        const bool named = NamedId(aNode, aHead) != nullptr;
        const bool keeps =
            aAfterRefusal == AfterRefusal::Keep || !IsRefusal(aNode, aHead);
        return named != id.empty() && IsAnswerTo(aNode, aHead, id) && keeps;
      };
}

}  // namespace rillwall
