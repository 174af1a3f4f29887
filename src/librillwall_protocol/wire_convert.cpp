/// \file
/// Conversions between internal types and wire messages.

#include "rillwall/wire_convert.h"

#include <limits>

#include "rillwall/utf8.h"

namespace rillwall {

namespace {

constexpr uint32_t kLastMemberState = static_cast<uint32_t>(MemberState::Dead);
constexpr uint32_t kLastErrorKind = static_cast<uint32_t>(ErrorKind::Internal);

Error Malformed(std::string aDetail) {
  return Error(ErrorKind::BadRequest, std::move(aDetail));
}

/// \return whether a call to a peer that failed with this kind may have run on
/// an upstream
RunState RunStateAfter(ErrorKind aKind) {
  switch (aKind) {
    case ErrorKind::Timeout:
    case ErrorKind::ConnectionLost:
    case ErrorKind::UpstreamFailed:
    case ErrorKind::OutcomeUnknown:
    case ErrorKind::Internal:
      return RunState::Unknown;
    default:
      return RunState::NotRun;
  }
}

}  // namespace

bool FitsWire(std::string_view aText) {
  return aText.size() <= kMaxMemberTextBytes && IsPlainUtf8(aText);
}

bool FitsWire(const Member& aMember) {
  return !aMember.mId.empty() && FitsWire(aMember.mId) &&
         FitsWire(aMember.mZone) && FitsWire(aMember.mGossip) &&
         FitsWire(aMember.mRpc) && FitsWire(aMember.mHttp);
}

bool FitsWire(const Fact& aFact) {
  return !aFact.mKey.empty() && aFact.mKey.size() <= kMaxFactKeyBytes &&
         IsPlainUtf8(aFact.mKey) && aFact.mValue.size() <= kMaxFactValueBytes;
}

wire::Member ToWire(const Member& aMember) {
  wire::Member out;
  out.set_id(aMember.mId);
  out.set_zone(aMember.mZone);
  out.set_gossip(aMember.mGossip);
  out.set_rpc(aMember.mRpc);
  out.set_http(aMember.mHttp);
  out.set_incarnation(aMember.mIncarnation);
  out.set_state(static_cast<uint32_t>(aMember.mState));
  return out;
}

Result<Member> FromWire(const wire::Member& aMember) {
  if (aMember.state() > kLastMemberState) {
    return Malformed("A member has an unknown state.");
  }
  Member out;
  out.mId = aMember.id();
  out.mZone = aMember.zone();
  out.mGossip = aMember.gossip();
  out.mRpc = aMember.rpc();
  out.mHttp = aMember.http();
  out.mIncarnation = aMember.incarnation();
  out.mState = static_cast<MemberState>(aMember.state());
  if (!FitsWire(out)) {
    return Malformed("A member's id, zone or address is not valid.");
  }
  return out;
}

wire::Fact ToWire(const Fact& aFact) {
  wire::Fact out;
  out.set_key(aFact.mKey);
  out.set_revision(aFact.mRevision);
  out.set_value(aFact.mValue);
  return out;
}

Result<Fact> FromWire(const wire::Fact& aFact) {
  Fact out;
  out.mKey = aFact.key();
  out.mRevision = aFact.revision();
  out.mValue = aFact.value();
  if (!FitsWire(out)) {
    return Malformed("A fact's key or value is not valid.");
  }
  return out;
}

wire::GossipState ToWire(const GossipState& aState) {
  wire::GossipState out;
  for (const Member& member : aState.mMembers) {
    if (FitsWire(member)) {
      *out.add_members() = ToWire(member);
    }
  }
  for (const Fact& fact : aState.mFacts) {
    if (FitsWire(fact)) {
      *out.add_facts() = ToWire(fact);
    }
  }
  return out;
}

Result<GossipState> FromWire(const wire::GossipState& aState) {
  const bool fits = aState.members_size() <= kMaxStateMembers &&
                    aState.facts_size() <= kMaxStateFacts;
  if (!fits) {
    return Malformed("An exchange holds too many members or facts.");
  }
  GossipState out;
  out.mMembers.reserve(aState.members_size());
  for (const wire::Member& each : aState.members()) {
    Result<Member> member = FromWire(each);
    if (!member) {
      return member.error();
    }
    out.mMembers.push_back(std::move(*member));
  }
  out.mFacts.reserve(aState.facts_size());
  for (const wire::Fact& each : aState.facts()) {
    Result<Fact> fact = FromWire(each);
    if (!fact) {
      return fact.error();
    }
    out.mFacts.push_back(std::move(*fact));
  }
  return out;
}

wire::StepId ToWire(const StepId& aId) {
  wire::StepId out;
  out.set_trainer(aId.mTrainer);
  out.set_step(aId.mStep);
  return out;
}

Result<StepId> FromWire(const wire::StepId& aId) {
  if (aId.trainer().empty() || !FitsWire(aId.trainer())) {
    return Malformed("A step's trainer is not a valid name.");
  }
  return StepId{aId.trainer(), aId.step()};
}

wire::StepSpec ToWire(const StepSpec& aSpec) {
  wire::StepSpec out;
  *out.mutable_id() = ToWire(aSpec.mId);
  out.set_group_size(aSpec.mGroupSize);
  out.set_max_tokens(aSpec.mMaxTokens);
  out.mutable_prompts()->Add(aSpec.mPrompts.begin(), aSpec.mPrompts.end());
  out.set_seed(aSpec.mSeed);
  return out;
}

Result<StepSpec> FromWire(const wire::StepSpec& aSpec) {
  Result<StepId> id = FromWire(aSpec.id());
  if (!id) {
    return id.error();
  }
  if (aSpec.group_size() < 1 || aSpec.group_size() > kMaxGroupSize) {
    return Malformed("A step's group size is out of bounds.");
  }
  if (aSpec.max_tokens() < 1 || aSpec.max_tokens() > kMaxSampleTokens) {
    return Malformed("A step's token limit is out of bounds.");
  }
  if (aSpec.prompts_size() > kMaxStepGroups) {
    return Malformed("A step has too many prompts.");
  }
  StepSpec out;
  out.mId = std::move(*id);
  out.mGroupSize = aSpec.group_size();
  out.mMaxTokens = aSpec.max_tokens();
  out.mPrompts.assign(aSpec.prompts().begin(), aSpec.prompts().end());
  out.mSeed = aSpec.seed();
  return out;
}

wire::GroupSummary ToWire(const GroupSummary& aSummary) {
  wire::GroupSummary out;
  out.set_group(static_cast<uint32_t>(aSummary.mGroup));
  out.set_attempt(aSummary.mAttempt);
  out.set_oldest_version(aSummary.mOldestVersion);
  out.set_age_ms(aSummary.mAge.Count());
  out.set_tokens(aSummary.mTokens);
  return out;
}

Result<GroupSummary> FromWire(const wire::GroupSummary& aSummary,
                              std::string aRunner) {
  if (aSummary.group() >= static_cast<uint32_t>(kMaxStepGroups)) {
    return Malformed("A group's number is out of bounds.");
  }
  if (aSummary.age_ms() < 0 || aSummary.tokens() < 0) {
    return Malformed("A group's age or token count is negative.");
  }
  GroupSummary out;
  out.mGroup = aSummary.group();
  out.mRunner = std::move(aRunner);
  out.mAttempt = aSummary.attempt();
  out.mOldestVersion = aSummary.oldest_version();
  out.mAge = Millis(aSummary.age_ms());
  out.mTokens = aSummary.tokens();
  return out;
}

WireSpans ToWire(const Label& aLabel) {
  WireSpans out;
  for (const VersionSpan& span : aLabel.Spans()) {
    wire::VersionSpan* each = out.Add();
    each->set_version(span.mVersion);
    each->set_begin(span.mBegin);
    each->set_end(span.mEnd);
  }
  return out;
}

Result<Label> FromWire(const WireSpans& aSpans) {
  Label out;
  int64_t end = 0;
  for (const wire::VersionSpan& span : aSpans) {
    const bool follows = span.begin() == end && span.end() > span.begin();
    if (!follows || span.end() > kMaxSampleTokens) {
      return Malformed("A label's spans leave gaps, overlap or are too long.");
    }
    out.Append(span.version(), span.end() - span.begin());
    end = span.end();
  }
  return out;
}

wire::PeerReply ToWire(const Error& aError) {
  wire::PeerReply out;
  out.set_error(static_cast<uint32_t>(aError.Kind()));
  out.set_detail(aError.Detail());
  return out;
}

Result<wire::PeerReply> FromWire(wire::PeerReply aReply) {
  if (aReply.error() == 0) {
    return aReply;
  }
  // An unknown kind, sent by a newer release, has to remain an error.
  const ErrorKind kind = aReply.error() > kLastErrorKind
                             ? ErrorKind::Internal
                             : static_cast<ErrorKind>(aReply.error());
  return Error(kind, aReply.detail(), RunStateAfter(kind));
}

}  // namespace rillwall
