/// \file
/// TLS settings of the HTTP server and client and of the calls between nodes.

#pragma once

#include <string>

namespace rillwall {

/// PEM files with the certificate and key of this process and the authorities
/// that it trusts. The HTTP client reads the files when it is constructed, the
/// HTTP server in Listen(); both read them again in ReloadTls(). Open
/// connections keep the keys with which they were established.
struct TlsSettings {
  /// Certificate of this process, followed by its chain. A server needs
  /// certificate and key; a client needs them only if the server asks for a
  /// certificate.
  std::string mCertificateFile;
  std::string mKeyFile;  ///< private key of the certificate
  /// Authorities that may have signed the peer's certificate. A client needs
  /// this file. A server for which it is set refuses callers without such a
  /// certificate.
  std::string mAuthorityFile;
  /// Name that a client requires in the peer's certificate; empty: the IP
  /// number that it connects to.
  std::string mPeerName;

  bool operator==(const TlsSettings&) const = default;
};

}  // namespace rillwall
