/// \file
/// Mutual TLS for calls between nodes.

#include "peer_tls.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

#include "http_tls.h"

namespace rillwall {

namespace {

namespace tls = grpc::experimental;

constexpr unsigned kRefreshSeconds = 1;

std::shared_ptr<tls::FileWatcherCertificateProvider> MakeCertificateProvider(
    const TlsSettings& aSettings) {
  return std::make_shared<tls::FileWatcherCertificateProvider>(
      aSettings.mKeyFile, aSettings.mCertificateFile, aSettings.mAuthorityFile,
      kRefreshSeconds);
}

}  // namespace

std::optional<Error> CheckPeerTls(const TlsSettings& aSettings) {
  if (aSettings.mCertificateFile.empty() || aSettings.mKeyFile.empty() ||
      aSettings.mAuthorityFile.empty()) {
    return Error(ErrorKind::BadRequest,
                 "TLS between nodes needs a certificate, its key and the "
                 "fleet's authority.");
  }
  return TlsKeys(aSettings, TlsRole::Server).Load();
}

std::shared_ptr<grpc::ServerCredentials> PeerServerCredentials(
    const std::optional<TlsSettings>& aSettings) {
  if (!aSettings) {
    return grpc::InsecureServerCredentials();
  }
  tls::TlsServerCredentialsOptions options(MakeCertificateProvider(*aSettings));
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_cert_request_type(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  return tls::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> PeerChannelCredentials(
    const std::optional<TlsSettings>& aSettings) {
  if (!aSettings) {
    return grpc::InsecureChannelCredentials();
  }
  tls::TlsChannelCredentialsOptions options;
  options.set_certificate_provider(MakeCertificateProvider(*aSettings));
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_certificate_verifier(
      std::make_shared<tls::HostNameCertificateVerifier>());
  return tls::TlsCredentials(options);
}

}  // namespace rillwall
