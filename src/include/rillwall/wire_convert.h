/// \file
/// Conversions between the values that decisions work on and the messages of
/// node.proto.
///
/// What comes off the wire is checked before it becomes a value: FromWire
/// returns BadRequest for anything out of bounds. FitsWire tells beforehand
/// whether a peer would take a value; ToWire of a GossipState leaves out what
/// does not fit, so that one bad entry cannot make peers refuse all others.

#pragma once

#include <cstddef>
#include <string>

#include "node.pb.h"
#include "rillwall/error.h"
#include "rillwall/membership.h"
#include "rillwall/step.h"

namespace rillwall {

/// Longest id, zone or address of a member, in bytes.
inline constexpr size_t kMaxMemberTextBytes = 256;
inline constexpr size_t kMaxFactKeyBytes = 512;
inline constexpr size_t kMaxFactValueBytes = 4096;
/// Most entries of a full exchange; the fleet is designed for 370 members.
inline constexpr int kMaxStateMembers = 16384;
inline constexpr int kMaxStateFacts = 65536;
/// Most groups, samples a group and tokens a sample of a step.
inline constexpr int kMaxStepGroups = 1 << 20;
inline constexpr int64_t kMaxGroupSize = 1 << 16;
inline constexpr int64_t kMaxSampleTokens = int64_t{1} << 32;

using WireSpans = google::protobuf::RepeatedPtrField<wire::VersionSpan>;

/// \return whether peers take this as an id, zone or address: valid UTF-8
/// without control characters and within kMaxMemberTextBytes
bool FitsWire(std::string_view aText);
/// \return whether peers take this member or fact
bool FitsWire(const Member& aMember);
bool FitsWire(const Fact& aFact);

wire::Member ToWire(const Member& aMember);
Result<Member> FromWire(const wire::Member& aMember);

wire::Fact ToWire(const Fact& aFact);
Result<Fact> FromWire(const wire::Fact& aFact);

/// \return the state without members and facts that do not fit
wire::GossipState ToWire(const GossipState& aState);
Result<GossipState> FromWire(const wire::GossipState& aState);

wire::StepId ToWire(const StepId& aId);
Result<StepId> FromWire(const wire::StepId& aId);

wire::StepSpec ToWire(const StepSpec& aSpec);
Result<StepSpec> FromWire(const wire::StepSpec& aSpec);

/// The runner is not part of the message: it is the node that sends it.
wire::GroupSummary ToWire(const GroupSummary& aSummary);
/// \param aRunner id of the node that sent the message
Result<GroupSummary> FromWire(const wire::GroupSummary& aSummary,
                              std::string aRunner);

WireSpans ToWire(const Label& aLabel);
/// \return the label, or BadRequest if its spans leave gaps or overlap
Result<Label> FromWire(const WireSpans& aSpans);

/// \return a reply that carries an error
wire::PeerReply ToWire(const Error& aError);
/// \return the reply itself, or the error that it carries. The run state is
/// not sent: it is Unknown for kinds after which an upstream may have run.
Result<wire::PeerReply> FromWire(wire::PeerReply aReply);

}  // namespace rillwall
