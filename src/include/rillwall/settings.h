/// \file
/// A node's settings: flags and environment variables, from one table.
///
/// Each row of the table gives a setting's flag, environment variable, unit,
/// default, check and help; the command line's options, --help and
/// docs/SETTINGS.md are made from it. A flag goes before its variable. All
/// settings are checked when the process starts, and all that is wrong is told
/// at once.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rillwall/error.h"
#include "rillwall/http.h"
#include "rillwall/log.h"

namespace CLI {  // NOLINT(readability-identifier-naming): the library's
class App;
}

namespace rillwall {

/// What a node is told at its start. Immutable from then on.
struct NodeSettings {
  std::string mNodeId;  ///< unique in the fleet; by default the rpc address
  std::string mZone;    ///< availability zone

  Endpoint mHttp{"0.0.0.0", 8080};    ///< listens for callers and operators
  Endpoint mRpc{"0.0.0.0", 8081};     ///< listens for calls of other nodes
  Endpoint mGossip{"0.0.0.0", 8081};  ///< listens for datagrams
  /// Where others reach this node, if not where it listens.
  std::optional<Endpoint> mAdvertiseHttp;
  std::optional<Endpoint> mAdvertiseRpc;
  std::optional<Endpoint> mAdvertiseGossip;

  std::vector<Endpoint> mSeeds;  ///< gossip addresses to join through
  std::vector<Endpoint> mKv;     ///< the key-value service
  Endpoint mHostList;            ///< the platform's list of hosts
  std::string mDataFolder;       ///< for bulk data; empty: none

  int64_t mThreads = 2;
  LogOptions mLog;

  std::string mFleetKeyFile;  ///< shared access key of the fleet; empty: none
  std::string mTlsCertFile;   ///< PEM; empty: no TLS
  std::string mTlsKeyFile;
  std::string mTlsCaFile;

  int64_t mAperture = 16;       ///< upstreams of each kind polled by the node
  int64_t mDrainSeconds = 120;  ///< longest wait for calls in flight

  Endpoint AdvertisedHttp() const { return mAdvertiseHttp.value_or(mHttp); }
  Endpoint AdvertisedRpc() const { return mAdvertiseRpc.value_or(mRpc); }
  Endpoint AdvertisedGossip() const {
    return mAdvertiseGossip.value_or(mGossip);
  }
  bool operator==(const NodeSettings&) const = default;
};

/// Takes the settings from a command line and the environment.
class SettingsReader {
 public:
  SettingsReader();
  ~SettingsReader();
  /// Adds an option per setting.
  /// \param aApp must not be parsed after this object's end
  void AddTo(CLI::App& aApp);
  /// Checks all settings together. Call after the application was parsed.
  /// \return the settings, or BadRequest with one line for each thing wrong:
  /// the setting, the cause and the remedy
  Result<NodeSettings> Read() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// \return the page docs/SETTINGS.md, made from the table
std::string SettingsPage();

}  // namespace rillwall
