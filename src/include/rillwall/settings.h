/// \file
/// Settings of a node, read from command-line flags and environment variables.
///
/// One table defines the flag, environment variable, unit, default, check and
/// help text of each setting. The command-line options, --help and
/// docs/SETTINGS.md are generated from this table. A flag overrides its
/// environment variable. All settings are checked when the process starts, and
/// all errors are reported together.

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

/// Settings of one node. They do not change after the start.
struct NodeSettings {
  std::string mNodeId;  ///< unique in the fleet; default: AdvertisedRpc()
  std::string mZone;    ///< availability zone

  Endpoint mHttp{"0.0.0.0", 8080};  ///< listen address of the HTTP API
  Endpoint mRpc{"0.0.0.0", 8081};  ///< listen address for RPCs from other nodes
  Endpoint mGossip{"0.0.0.0", 8081};  ///< listen address for gossip datagrams
  /// Addresses under which others reach this node, where they differ from the
  /// listen addresses.
  std::optional<Endpoint> mAdvertiseHttp;
  std::optional<Endpoint> mAdvertiseRpc;
  std::optional<Endpoint> mAdvertiseGossip;

  std::vector<Endpoint> mSeeds;  ///< gossip addresses for joining the fleet
  std::vector<Endpoint> mKv;     ///< endpoints of the key-value service
  Endpoint mHostList;       ///< endpoint that serves the platform's host list
  std::string mDataFolder;  ///< folder for bulk data; empty: none

  int64_t mThreads = 2;  ///< threads that serve requests
  LogOptions mLog;

  std::string mFleetKeyFile;  ///< file with the fleet's shared key; empty: none
  std::string mTlsCertFile;   ///< PEM; empty: no TLS
  std::string mTlsKeyFile;    ///< PEM, private key of the certificate
  std::string mTlsCaFile;     ///< PEM, authority of the fleet's certificates

  int64_t mAperture = 16;       ///< approximate number of engines polled
  int64_t mDrainSeconds = 120;  ///< maximum wait for requests in flight
  /// What requests and connections may hold, in MB; 0: half of the machine's
  /// memory.
  int64_t mRequestMemoryMb = 0;

  Endpoint AdvertisedHttp() const { return mAdvertiseHttp.value_or(mHttp); }
  Endpoint AdvertisedRpc() const { return mAdvertiseRpc.value_or(mRpc); }
  Endpoint AdvertisedGossip() const {
    return mAdvertiseGossip.value_or(mGossip);
  }
  bool operator==(const NodeSettings&) const = default;
};

/// Reads the settings from a command line and the environment.
class SettingsReader {
 public:
  SettingsReader();
  ~SettingsReader();
  /// Adds one option for each setting.
  /// \param aApp must not be parsed after this object has been destroyed
  void AddTo(CLI::App& aApp);
  /// Checks all settings, each alone and in combination. Call after the command
  /// line has been parsed.
  /// \return the settings, or BadRequest with one line for each error that
  /// names the setting, the cause and the remedy
  Result<NodeSettings> Read() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

/// \return the content of docs/SETTINGS.md, generated from the table
std::string SettingsPage();

}  // namespace rillwall
