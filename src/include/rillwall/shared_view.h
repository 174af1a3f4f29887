/// \file
/// Messages by which nodes share a view of the store. A node that polls the
/// store passes on replicas, nodes, the lead and the configuration's revision,
/// so that other nodes need not poll the store themselves. Requests are query
/// strings and responses are JSON.

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

/// The current lead as recorded in the store.
struct LeadHolder {
  std::string mName;
  std::string mAddress;  ///< ip:port where the lead serves other nodes
  std::string mRun;      ///< id of the lead's process start
  std::string mZone;     ///< availability zone; empty: unknown
  /// Revision of the claim; a later holder has a higher one. 0: unknown.
  int64_t mFence = 0;
  bool operator==(const LeadHolder&) const = default;
};

/// \return the lead as JSON text
std::string EncodeLead(const LeadHolder& aHolder);
Result<LeadHolder> DecodeLead(std::string_view aText);

/// A request for the view, with the state that the requesting node has already.
struct ViewRequest {
  NodeEntry mFrom;          ///< the requesting node
  std::string mRun;         ///< run id of the node that sent the known replicas
  ReplicaCursor mReplicas;  ///< position up to which the replicas are known
  /// Number up to which the crash records of that node are known.
  int64_t mCrashes = 0;
  uint64_t mNodes = 0;    ///< tag of the node list last received
  bool mVersions = true;  ///< include weight versions; the requester owns steps
  /// The lead does not respond to the requester, which therefore asks this node
  /// to poll the store.
  bool mHelpRequested = false;
  bool mWantsReplicas = true;  ///< false: the requester polls the registry
  bool operator==(const ViewRequest&) const = default;
};

/// The response: the changes of the view since the state in the request.
struct SharedView {
  std::string mRun;       ///< run id of the responding node
  bool mVersions = true;  ///< the replicas include weight versions
  ReplicaDelta mReplicas;
  /// Revision of the configuration; 0 if the node does not watch it itself.
  int64_t mConfig = 0;
  std::optional<std::vector<NodeEntry>> mNodes;  ///< absent if unchanged
  /// There are so many replicas that each host receives only a subset, from a
  /// candidate of its own availability zone.
  bool mLarge = false;
  /// Number of hosts that serve clients, rounded up; 0: unknown.
  int64_t mHosts = 0;
  /// Evacuated zones, if the node watches the configuration.
  std::vector<std::string> mEvacuated;
  /// Revision of the store at which they were read; 0: not known.
  int64_t mEvacuatedRevision = 0;
  std::optional<LeadHolder> mLead;
  /// Number up to which the requester knows the crash records once it has added
  /// mCrashes.
  int64_t mCrashNumber = 0;
  /// Records that the requester lacks, of requests that crashed replicas.
  std::vector<CrashRecord> mCrashes;
  bool operator==(const SharedView&) const = default;
};

/// Paths of view requests and of the configuration's text.
inline constexpr char kViewPath[] = "/node/view";
inline constexpr char kViewConfigPath[] = "/node/config";
/// Path of the request that asks a node whether it can reach another node.
inline constexpr char kReachPath[] = "/node/reach";

/// Largest encoded view, in bytes. Allows for several thousand replicas of 200
/// bytes each.
inline constexpr size_t kMaxViewBytes = 16 * 1024 * 1024;

/// \return path and query string of the request
std::string EncodeViewRequest(const ViewRequest& aRequest);
/// \param aField returns a field of the query string; empty if missing
ViewRequest DecodeViewRequest(
    const std::function<std::string(std::string_view)>& aField);
/// \return the view as JSON text
std::string EncodeView(const SharedView& aView);
/// \return the view, or BadRequest naming the wrong field
Result<SharedView> DecodeView(std::string_view aText);

}  // namespace rillwall
