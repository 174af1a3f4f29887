/// \file
/// The TLS keys of a server or client, replaced while connections are open.

#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <mutex>
#include <optional>

#include "rillwall/error.h"
#include "rillwall/tls.h"

namespace rillwall {

enum class TlsRole { Server, Client };

class TlsKeys {
 public:
  TlsKeys(TlsSettings aSettings, TlsRole aRole);
  /// Reads the files. If one of them is wrong, the keys in force stay.
  std::optional<Error> Load();
  /// \return the keys for a new connection; nullptr before a good Load()
  std::shared_ptr<boost::asio::ssl::context> Current() const;
  const TlsSettings& Settings() const { return mSettings; }

 private:
  const TlsSettings mSettings;
  const TlsRole mRole;
  mutable std::mutex mMutex;  ///< of what follows
  std::shared_ptr<boost::asio::ssl::context> mCurrent;
};

}  // namespace rillwall
