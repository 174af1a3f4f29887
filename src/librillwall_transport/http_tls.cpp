#include "http_tls.h"

#include <openssl/ssl.h>

namespace rillwall {

namespace {

namespace ssl = boost::asio::ssl;
using boost::system::error_code;

Error FileError(const std::string& aFile, const error_code& aCode) {
  return {ErrorKind::BadRequest,
          "Can't load the TLS file '" + aFile + "': " + aCode.message() + "."};
}

std::optional<Error> LoadCertificate(const TlsSettings& aSettings,
                                     ssl::context& aContext) {
  error_code code;
  aContext.use_certificate_chain_file(aSettings.mCertificateFile, code);
  if (code) {
    return FileError(aSettings.mCertificateFile, code);
  }
  aContext.use_private_key_file(aSettings.mKeyFile, ssl::context::pem, code);
  if (code) {
    return FileError(aSettings.mKeyFile, code);
  }
  return std::nullopt;
}

std::optional<Error> LoadAuthorities(const TlsSettings& aSettings,
                                     ssl::context& aContext) {
  error_code code;
  aContext.load_verify_file(aSettings.mAuthorityFile, code);
  if (!code) {
    aContext.set_verify_mode(
        ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, code);
  }
  return code ? std::optional(FileError(aSettings.mAuthorityFile, code))
              : std::nullopt;
}

}  // namespace

TlsKeys::TlsKeys(TlsSettings aSettings, TlsRole aRole)
    : mSettings(std::move(aSettings)), mRole(aRole) {}

std::optional<Error> TlsKeys::Load() {
  const bool server = mRole == TlsRole::Server;
  if (!server && mSettings.mAuthorityFile.empty()) {
    return Error(ErrorKind::BadRequest,
                 "A TLS client needs a file with trusted authorities.");
  }
  auto context = std::make_shared<ssl::context>(
      server ? ssl::context::tls_server : ssl::context::tls_client);
  SSL_CTX* const native = context->native_handle();
  SSL_CTX_set_min_proto_version(native, TLS1_2_VERSION);
  // Session tickets would arrive on idle connections, where they are of little
  // use.
  SSL_CTX_set_num_tickets(native, 0);
  std::optional<Error> error;
  if (server || !mSettings.mCertificateFile.empty()) {
    error = LoadCertificate(mSettings, *context);
  }
  if (!error && !mSettings.mAuthorityFile.empty()) {
    error = LoadAuthorities(mSettings, *context);
  }
  if (!error) {
    const std::lock_guard lock(mMutex);
    mCurrent = std::move(context);
  }
  return error;
}

std::shared_ptr<boost::asio::ssl::context> TlsKeys::Current() const {
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

}  // namespace rillwall
