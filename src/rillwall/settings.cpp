#include "rillwall/settings.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <string_view>

namespace rillwall {

namespace {

// Parses the text of a setting into the settings. Returns false if the text
// does not have the required form.
using ParseText = bool (*)(std::string_view aText, NodeSettings& aSettings);

/// Definition of one setting.
struct Setting {
  const char* mFlag;      ///< without the leading dashes
  const char* mVariable;  ///< environment variable
  const char* mForm;      ///< required form of the value, with its unit
  const char* mDefault;   ///< empty: none
  bool mRequired;
  ParseText mParse;
  const char* mHelp;
};

constexpr int64_t kMaxThreads = 64;
constexpr int64_t kMaxAperture = 1024;
constexpr int64_t kMaxRequestMemoryMb = 1024 * 1024;
constexpr int64_t kMaxDrainSeconds = 3600;
constexpr size_t kMinKeyBytes = 16;
constexpr size_t kMaxNameLength = 64;

bool ParseEndpoint(std::string_view aText, Endpoint& aEndpoint) {
  const Result<Endpoint> endpoint = Endpoint::Parse(aText);
  if (!endpoint || endpoint->mPort == 0) {
    return false;
  }
  aEndpoint = *endpoint;
  return true;
}

template <auto Member>
bool ParseAddress(std::string_view aText, NodeSettings& aSettings) {
  Endpoint endpoint;
  if (!ParseEndpoint(aText, endpoint)) {
    return false;
  }
  aSettings.*Member = endpoint;
  return true;
}

template <auto Member>
bool ParseAddresses(std::string_view aText, NodeSettings& aSettings) {
  (aSettings.*Member).clear();
  while (!aText.empty()) {
    const size_t comma = std::min(aText.find(','), aText.size());
    std::string_view part = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));
    while (part.starts_with(' ')) {
      part.remove_prefix(1);
    }
    while (part.ends_with(' ')) {
      part.remove_suffix(1);
    }
    Endpoint endpoint;
    if (!ParseEndpoint(part, endpoint)) {
      return false;
    }
    (aSettings.*Member).push_back(endpoint);
  }
  return !(aSettings.*Member).empty();
}

// Characters allowed besides letters and digits. Policies name zones too, so
// their names allow fewer characters; node ids may be addresses.
constexpr char kZoneMarks[] = "._-";
constexpr char kNodeMarks[] = "._-:[]";

template <auto Member, const char* Marks>
bool ParseName(std::string_view aText, NodeSettings& aSettings) {
  const auto good = [](char aByte) {
    return std::isalnum(static_cast<unsigned char>(aByte)) ||
           std::string_view(Marks).find(aByte) != std::string_view::npos;
  };
  aSettings.*Member = aText;
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), good);
}

template <auto Member, int64_t Least, int64_t Most>
bool ParseWholeNumber(std::string_view aText, NodeSettings& aSettings) {
  const char* end = aText.data() + aText.size();
  int64_t value = 0;
  const auto [last, code] = std::from_chars(aText.data(), end, value);
  aSettings.*Member = value;
  return code == std::errc() && last == end && value >= Least && value <= Most;
}

template <auto Member>
bool ParseFile(std::string_view aText, NodeSettings& aSettings) {
  aSettings.*Member = aText;
  std::ifstream file((aSettings.*Member));
  return file.good() && std::filesystem::is_regular_file(aText);
}

bool ParseKeyFile(std::string_view aText, NodeSettings& aSettings) {
  return ParseFile<&NodeSettings::mFleetKeyFile>(aText, aSettings) &&
         std::filesystem::file_size(aText) >= kMinKeyBytes;
}

bool ParseFolder(std::string_view aText, NodeSettings& aSettings) {
  aSettings.mDataFolder = aText;
  std::error_code failed;
  return std::filesystem::is_directory(aText, failed) &&
         access(aSettings.mDataFolder.c_str(), W_OK | X_OK) == 0;
}

bool ParseLogLevel(std::string_view aText, NodeSettings& aSettings) {
  static constexpr std::array<std::string_view, 4> kNames = {"debug", "info",
                                                             "warn", "error"};
  const auto at = std::find(kNames.begin(), kNames.end(), aText);
  aSettings.mLog.mLevel = static_cast<LogLevel>(at - kNames.begin());
  return at != kNames.end();
}

bool ParseLogJson(std::string_view aText, NodeSettings& aSettings) {
  aSettings.mLog.mJson = aText == "true" || aText == "1";
  return aSettings.mLog.mJson || aText == "false" || aText == "0";
}

constexpr char kEndpointForm[] = "an IP number and a port, such as 10.0.0.1:80";
constexpr char kEndpointsForm[] =
    "IP numbers and ports, comma-separated, such as 10.0.0.1:80,10.0.0.2:80";
constexpr char kNodeForm[] = "1 to 64 letters, digits or any of ._-:[]";
constexpr char kZoneForm[] = "1 to 64 letters, digits or any of ._-";
constexpr char kFileForm[] = "a file that can be read";

using S = NodeSettings;

constexpr Setting kSettings[] = {
    {"node-id", "RILLWALL_NODE_ID", kNodeForm, "", false,
     &ParseName<&S::mNodeId, kNodeMarks>,
     "Name of this node, unique in the fleet. By default its rpc address as "
     "others reach it."},
    {"zone", "RILLWALL_ZONE", kZoneForm, "", true,
     &ParseName<&S::mZone, kZoneMarks>,
     "Availability zone that this host stands in."},
    {"http", "RILLWALL_HTTP", kEndpointForm, "0.0.0.0:8080", false,
     &ParseAddress<&S::mHttp>,
     "Where callers, trainers and operators are listened for (TCP)."},
    {"rpc", "RILLWALL_RPC", kEndpointForm, "0.0.0.0:8081", false,
     &ParseAddress<&S::mRpc>, "Where other nodes are listened for (TCP)."},
    {"gossip", "RILLWALL_GOSSIP", kEndpointForm, "0.0.0.0:8081", false,
     &ParseAddress<&S::mGossip>,
     "Where datagrams of other nodes are listened for (UDP)."},
    {"advertise-http", "RILLWALL_ADVERTISE_HTTP", kEndpointForm, "", false,
     &ParseAddress<&S::mAdvertiseHttp>,
     "Where others reach --http, if not under that address."},
    {"advertise-rpc", "RILLWALL_ADVERTISE_RPC", kEndpointForm, "", false,
     &ParseAddress<&S::mAdvertiseRpc>,
     "Where others reach --rpc, if not under that address."},
    {"advertise-gossip", "RILLWALL_ADVERTISE_GOSSIP", kEndpointForm, "", false,
     &ParseAddress<&S::mAdvertiseGossip>,
     "Where others reach --gossip, if not under that address."},
    {"seeds", "RILLWALL_SEEDS", kEndpointsForm, "", false,
     &ParseAddresses<&S::mSeeds>,
     "Gossip addresses of nodes to join the fleet through. The node's own may "
     "be among them. Without it the node is a fleet of one."},
    {"kv", "RILLWALL_KV", kEndpointsForm, "", true, &ParseAddresses<&S::mKv>,
     "The platform's key-value service."},
    {"host-list", "RILLWALL_HOST_LIST", kEndpointForm, "", true,
     &ParseAddress<&S::mHostList>, "The platform's list of hosts."},
    {"data-folder", "RILLWALL_DATA_FOLDER",
     "a folder that exists and can be written to", "", false, &ParseFolder,
     "Folder for bulk data. Without it the node keeps nothing on disk."},
    {"threads", "RILLWALL_THREADS", "a whole number from 1 to 64", "2", false,
     &ParseWholeNumber<&S::mThreads, 1, kMaxThreads>,
     "Threads that serve requests."},
    {"log-level", "RILLWALL_LOG_LEVEL", "debug, info, warn or error", "info",
     false, &ParseLogLevel, "Least severe message that is logged."},
    {"log-json", "RILLWALL_LOG_JSON", "true or false", "false", false,
     &ParseLogJson, "Logs one JSON object a line."},
    {"fleet-key-file", "RILLWALL_FLEET_KEY_FILE",
     "a file that can be read and has at least 16 bytes", "", false,
     &ParseKeyFile,
     "File with the key that all nodes of the fleet share. Without it anyone "
     "who reaches --rpc or --gossip can pose as a node."},
    {"tls-cert", "RILLWALL_TLS_CERT", kFileForm, "", false,
     &ParseFile<&S::mTlsCertFile>, "PEM file with this node's certificate."},
    {"tls-key", "RILLWALL_TLS_KEY", kFileForm, "", false,
     &ParseFile<&S::mTlsKeyFile>,
     "PEM file with the certificate's private key."},
    {"tls-ca", "RILLWALL_TLS_CA", kFileForm, "", false,
     &ParseFile<&S::mTlsCaFile>,
     "PEM file with the authority that signs the fleet's certificates."},
    {"aperture", "RILLWALL_APERTURE", "a whole number from 1 to 1024", "16",
     false, &ParseWholeNumber<&S::mAperture, 1, kMaxAperture>,
     "Upstreams of each kind that this node polls and routes to."},
    {"drain-seconds", "RILLWALL_DRAIN_SECONDS",
     "a whole number of seconds from 0 to 3600", "120", false,
     &ParseWholeNumber<&S::mDrainSeconds, 0, kMaxDrainSeconds>,
     "Longest wait for requests in flight at a shutdown."},
    {"request-memory-mb", "RILLWALL_REQUEST_MEMORY_MB",
     "a whole number of MB from 0 to 1048576", "0", false,
     &ParseWholeNumber<&S::mRequestMemoryMb, 0, kMaxRequestMemoryMb>,
     "What callers' connections and requests may hold. Without room, requests "
     "wait or are answered 503. 0: half of the machine's memory."},
};

std::string Title(const Setting& aSetting) {
  return std::string("--") + aSetting.mFlag + " (" + aSetting.mVariable + ")";
}

bool IsAnyAddress(const Endpoint& aEndpoint) {
  return aEndpoint.mHost == "0.0.0.0" || aEndpoint.mHost == "::";
}

bool Overlap(const Endpoint& aLeft, const Endpoint& aRight) {
  return aLeft.mPort == aRight.mPort &&
         (aLeft.mHost == aRight.mHost || IsAnyAddress(aLeft) ||
          IsAnyAddress(aRight));
}

// Checks combinations of settings.
std::vector<std::string> CheckCombinations(const NodeSettings& aSettings) {
  std::vector<std::string> errors;
  const auto reachable = [&](const char* aFlag, const Endpoint& aEndpoint) {
    if (IsAnyAddress(aEndpoint)) {
      errors.push_back(std::string("--") + aFlag +
                       " listens on every address, and others cannot tell "
                       "which to use. Give --advertise-" +
                       aFlag + ", or one address to --" + aFlag + ".");
    }
  };
  reachable("http", aSettings.AdvertisedHttp());
  reachable("rpc", aSettings.AdvertisedRpc());
  reachable("gossip", aSettings.AdvertisedGossip());
  if (Overlap(aSettings.mHttp, aSettings.mRpc)) {
    errors.push_back(
        "--http and --rpc listen on one address. Give them two ports.");
  }
  if (aSettings.mTlsCertFile.empty() != aSettings.mTlsKeyFile.empty()) {
    errors.push_back(
        "--tls-cert and --tls-key belong together. Give both or none.");
  }
  if (!aSettings.mTlsCaFile.empty() && aSettings.mTlsCertFile.empty()) {
    errors.push_back("--tls-ca is of no use alone. Give --tls-cert too.");
  }
  return errors;
}

}  // namespace

struct SettingsReader::Impl {
  std::array<std::string, std::size(kSettings)> mTexts;

  std::vector<std::string> ParseAll(NodeSettings& aSettings) const;
};

SettingsReader::SettingsReader() : mImpl(std::make_unique<Impl>()) {}
SettingsReader::~SettingsReader() = default;

// Registers all options as plain texts. If CLI11 checked them, it would stop at
// the first error.
void SettingsReader::AddTo(CLI::App& aApp) {
  for (size_t i = 0; i < std::size(kSettings); ++i) {
    const Setting& setting = kSettings[i];
    const std::string name = std::string("--") + setting.mFlag;
    const std::string help = std::string(setting.mHelp) +
                             " Form: " + setting.mForm +
                             (setting.mRequired ? ". Required." : ".");
    std::string& text = mImpl->mTexts[i];
    CLI::Option* option = setting.mParse == &ParseLogJson
                              ? aApp.add_flag(name, text, help)
                              : aApp.add_option(name, text, help);
    option->envname(setting.mVariable);
    option->default_str(setting.mDefault);
    option->take_last();
  }
}

std::vector<std::string> SettingsReader::Impl::ParseAll(
    NodeSettings& aSettings) const {
  std::vector<std::string> errors;
  for (size_t i = 0; i < std::size(kSettings); ++i) {
    const Setting& setting = kSettings[i];
    const std::string& text = mTexts[i].empty() ? setting.mDefault : mTexts[i];
    const std::string remedy = std::string(" Give ") + setting.mForm + ".";
    if (!text.empty()) {
      if (!setting.mParse(text, aSettings)) {
        errors.push_back(Title(setting) + " is '" + text + "'." + remedy);
      }
    } else if (setting.mRequired) {
      errors.push_back(Title(setting) + " is missing." + remedy);
    }
  }
  return errors;
}

Result<NodeSettings> SettingsReader::Read() const {
  NodeSettings settings;
  std::vector<std::string> errors = mImpl->ParseAll(settings);
  const std::vector<std::string> more = CheckCombinations(settings);
  errors.insert(errors.end(), more.begin(), more.end());
  if (errors.empty()) {
    if (settings.mNodeId.empty()) {
      settings.mNodeId = settings.AdvertisedRpc().Text();
    }
    return settings;
  }
  std::string text;
  for (const std::string& error : errors) {
    text += (text.empty() ? "" : "\n") + error;
  }
  return Error(ErrorKind::BadRequest, std::move(text));
}

std::string SettingsPage() {
  std::string page =
      "# Settings of a node\n\n"
      "Made by `rillwall settings`; change the table in "
      "src/rillwall/settings.cpp\ninstead. A flag goes before its variable, "
      "an empty variable counts as none.\nAll settings are checked at the "
      "start, and all that is wrong is told at once;\n`rillwall serve "
      "--check` does only that.\n\n"
      "| Flag | Variable | Default | Form | Meaning |\n"
      "|---|---|---|---|---|\n";
  for (const Setting& setting : kSettings) {
    const std::string value =
        setting.mRequired
            ? "required"
            : (*setting.mDefault ? std::string("`") + setting.mDefault + "`"
                                 : std::string("none"));
    page += std::string("| `--") + setting.mFlag + "` | `" + setting.mVariable +
            "` | " + value + " | " + setting.mForm + " | " + setting.mHelp +
            " |\n";
  }
  return page;
}

}  // namespace rillwall
