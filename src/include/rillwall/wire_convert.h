/// \file
/// Conversions between the internal types and the messages of node.proto.
///
/// FromWire validates received messages and returns BadRequest for anything out
/// of bounds. FitsWire checks in advance whether a peer would accept a value.
/// ToWire of a GossipState omits entries that peers would reject, so that one
/// invalid entry cannot make them reject the whole message.

#pragma once

#include <cstddef>
#include <string>

#include "node.pb.h"
#include "rillwall/error.h"
#include "rillwall/membership.h"
#include "rillwall/step.h"

namespace rillwall {

/// Longest id, zone or address of a member.
inline constexpr size_t kMaxMemberTextBytes = 256;
inline constexpr size_t kMaxFactKeyBytes = 512;
inline constexpr size_t kMaxFactValueBytes = 4096;
/// Most entries in a full exchange of state; the design size of a fleet is 370
/// members.
inline constexpr int kMaxStateMembers = 16384;
inline constexpr int kMaxStateFacts = 65536;
/// Most groups per step, samples per group and tokens per sample.
inline constexpr int kMaxStepGroups = 1 << 20;
inline constexpr int64_t kMaxGroupSize = 1 << 16;
inline constexpr int64_t kMaxSampleTokens = int64_t{1} << 32;

using WireSpans = google::protobuf::RepeatedPtrField<wire::VersionSpan>;

/// \return whether peers accept the text as an id, zone or address: valid UTF-8
/// without control characters, at most kMaxMemberTextBytes
bool FitsWire(std::string_view aText);
/// \return whether peers accept this member or fact
bool FitsWire(const Member& aMember);
bool FitsWire(const Fact& aFact);

wire::Member ToWire(const Member& aMember);
Result<Member> FromWire(const wire::Member& aMember);

wire::Fact ToWire(const Fact& aFact);
Result<Fact> FromWire(const wire::Fact& aFact);

/// \return the state without members and facts that peers would reject
wire::GossipState ToWire(const GossipState& aState);
Result<GossipState> FromWire(const wire::GossipState& aState);

wire::StepId ToWire(const StepId& aId);
Result<StepId> FromWire(const wire::StepId& aId);

wire::StepSpec ToWire(const StepSpec& aSpec);
Result<StepSpec> FromWire(const wire::StepSpec& aSpec);

/// The message does not contain the runner, because its sender is the runner.
wire::GroupSummary ToWire(const GroupSummary& aSummary);
/// \param aRunner id of the node that sent the message
Result<GroupSummary> FromWire(const wire::GroupSummary& aSummary,
                              std::string aRunner);

WireSpans ToWire(const Label& aLabel);
/// \return the label, or BadRequest if its spans leave gaps or overlap
Result<Label> FromWire(const WireSpans& aSpans);

/// \return a reply that reports an error
wire::PeerReply ToWire(const Error& aError);
/// \return the reply, or the error that it reports. The run state is not part
/// of the message: it is Unknown for kinds after which an upstream may have run
/// the request, else NotRun.
Result<wire::PeerReply> FromWire(wire::PeerReply aReply);

}  // namespace rillwall
