/// \file
/// Admission of calls to services whose replicas report their load: asks
/// AdmissionControl, lets calls wait at this host, and refuses them.
///
/// Calls to other services pass without any state being kept.

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "rillwall/admission_control.h"
#include "rillwall/node_context.h"
#include "rillwall/upstream_call.h"

namespace rillwall {

class RequestGate;

/// The right to send one call. To be held until the call has ended. Also used
/// for calls that need no admission; it does nothing then.
class AdmissionTicket {
 public:
  AdmissionTicket();
  ~AdmissionTicket();
  AdmissionTicket(AdmissionTicket&&) noexcept;
  AdmissionTicket& operator=(AdmissionTicket&&) noexcept;
  AdmissionTicket(const AdmissionTicket&) = delete;
  AdmissionTicket& operator=(const AdmissionTicket&) = delete;

  /// \return whether the call is subject to admission control
  bool Active() const { return mState != nullptr; }
  /// Records that the call is sent to a replica now.
  void Sent();
  /// Records that a replica refused the call.
  /// \return whether it may be sent to another replica
  bool RefusedByReplica();
  /// \return whether the wait at the replica that would be chosen now is short
  /// enough
  bool MaySend(const ReplicaRequirements& aRequirements) const;
  /// Makes the refusal of a call that no replica has run.
  Error Refusal();

 private:
  friend class RequestGate;
  struct State;
  std::unique_ptr<State> mState;
};

/// Admission of all calls of one host.
class RequestGate : public std::enable_shared_from_this<RequestGate> {
 public:
  explicit RequestGate(NodeContext& aNode);
  /// See the function Admit().
  asio::awaitable<Result<AdmissionTicket>> Admit(const UpstreamCall& aCall);
  const AdmissionControl& Control() const { return mControl; }

 private:
  friend class AdmissionTicket;
  using TicketState = AdmissionTicket::State;

  std::optional<AnswerEstimate> Estimate(const std::string& aService,
                                         const AllowedRegions& aRegions,
                                         const std::string& aRoute) const;
  /// Sends as many waiting calls of a service as have capacity now.
  void StartWaiting(const std::string& aService);
  /// Starts waiting calls of a service until none is left.
  asio::awaitable<void> Pump(std::string aService);
  /// Logs and counts a decision.
  void Report(const TicketState& aState, const AdmissionDecision& aDecision,
              const std::optional<AnswerEstimate>& aEstimate);
  Error Refuse(TicketState& aState, AdmissionReason aReason);

  NodeContext& mNode;
  AdmissionControl mControl;
  uint64_t mLastTicket = 0;
  std::map<uint64_t, TicketState*> mWaiting;  ///< by ticket
  std::set<std::string> mPumped;              ///< services with a Pump()
};

/// Asks for the admission of a call. Waits in the host's queue if that is
/// worthwhile.
/// \return a ticket to be held until the call has ended, or the refusal
/// (NotRun, with RetryAfter)
asio::awaitable<Result<AdmissionTicket>> Admit(NodeContext& aNode,
                                               const UpstreamCall& aCall);

}  // namespace rillwall
