/// \file
/// What a node that asks the store itself tells other nodes, so that these need
/// not ask it: replicas, nodes, who leads, and whether the configuration is
/// new. Messages between nodes, in rillwall's own format.

#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rillwall/crash_record.h"
#include "rillwall/error.h"
#include "rillwall/node_directory.h"
#include "rillwall/replica_log.h"

namespace rillwall {

/// Who leads, as written in the store.
struct LeadHolder {
  std::string mName;
  std::string mAddress;  ///< where it answers other nodes, ip:port
  std::string mRun;
  std::string mZone;  ///< availability zone; empty: not told
  bool operator==(const LeadHolder&) const = default;
};

std::string EncodeLead(const LeadHolder& aHolder);
Result<LeadHolder> DecodeLead(std::string_view aText);

/// What a node asks, with what it knows already.
struct ViewRequest {
  NodeEntry mFrom;
  std::string mRun;         ///< of the node whose replicas it knows
  ReplicaCursor mReplicas;  ///< how far it knows them
  int64_t mCrashes = 0;     ///< number up to which it knows that node's records
  uint64_t mNodes = 0;      ///< tag of the nodes that it was told
  bool mVersions = true;    ///< it owns steps and wants weight versions too
  bool mHelpRequested = false;  ///< the lead does not answer it
  bool mWantsReplicas = true;   ///< else it reads the registry itself
  bool operator==(const ViewRequest&) const = default;
};

struct SharedView {
  std::string mRun;       ///< of the node that answers
  bool mVersions = true;  ///< its replicas name weight versions
  ReplicaDelta mReplicas;
  /// Revision of the configuration; 0 if the node does not follow it itself.
  int64_t mConfig = 0;
  std::optional<std::vector<NodeEntry>> mNodes;  ///< unless they are the same
  /// There are so many replicas that each host is told a subset, by a candidate
  /// of its own availability zone.
  bool mLarge = false;
  /// Hosts that take clients, rounded up; 0: the node does not count them.
  int64_t mHosts = 0;
  /// Zones that are evacuated, if the node follows the configuration.
  std::vector<std::string> mEvacuated;
  std::optional<LeadHolder> mLead;
  /// Requests that have ended replicas: what the listener lacks, and the number
  /// up to which it knows them with that.
  int64_t mCrashNumber = 0;
  std::vector<CrashRecord> mCrashes;
  bool operator==(const SharedView&) const = default;
};

/// Path of the questions, and of the configuration's text.
inline constexpr char kViewPath[] = "/node/view";
inline constexpr char kViewConfigPath[] = "/node/config";
/// Path of the question whether a node reaches another one.
inline constexpr char kReachPath[] = "/node/reach";

/// \return path and query
std::string EncodeViewRequest(const ViewRequest& aQuestion);
/// \param aField reads a field of the query
ViewRequest DecodeViewRequest(
    const std::function<std::string(std::string_view)>& aField);
std::string EncodeView(const SharedView& aView);
Result<SharedView> DecodeView(std::string_view aText);

}  // namespace rillwall
