/// \file
/// Settings of TLS for the HTTP server and client.

#pragma once

#include <string>

namespace rillwall {

/// PEM files with a process's own keys and those it trusts. The files are read
/// when the server or client is made and again on ReloadTls(); connections
/// that are open keep the keys they began with.
struct TlsSettings {
  /// The own certificate with its chain, and its key. A server needs both; a
  /// client has them if the upstream asks for a certificate.
  std::string mCertificateFile;
  std::string mKeyFile;
  /// Authorities that the peer's certificate has to come from. A client needs
  /// it; a server that has it refuses callers without such a certificate.
  std::string mAuthorityFile;
  /// The name that a client demands in the peer's certificate; empty: the IP
  /// number that it connects to.
  std::string mPeerName;

  bool operator==(const TlsSettings&) const = default;
};

}  // namespace rillwall
