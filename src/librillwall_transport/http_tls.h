/// \file
/// The TLS keys of a server or client, which can be replaced while connections
/// are open.

#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <mutex>
#include <optional>

#include "rillwall/error.h"
#include "rillwall/tls.h"

namespace rillwall {

enum class TlsRole { Server, Client };

/// Loads the files of TlsSettings and provides them to new connections.
/// Thread-safe.
class TlsKeys {
 public:
  TlsKeys(TlsSettings aSettings, TlsRole aRole);
  /// Loads the files.
  /// \return an error if a file cannot be loaded; the previous keys then stay
  /// in use
  std::optional<Error> Load();
  /// \return the keys for a new connection; nullptr until a Load() succeeded
  std::shared_ptr<boost::asio::ssl::context> Current() const;
  const TlsSettings& Settings() const { return mSettings; }

 private:
  const TlsSettings mSettings;
  const TlsRole mRole;
  mutable std::mutex mMutex;  ///< guards mCurrent
  std::shared_ptr<boost::asio::ssl::context> mCurrent;
};

}  // namespace rillwall
