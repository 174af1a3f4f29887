/// \file
/// Support for the TLS tests: generates authorities, certificates and keys.

#pragma once

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <atomic>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <string>

namespace rillwall {

/// A certificate with its key.
struct TestIdentity {
  std::shared_ptr<EVP_PKEY> mKey;
  std::shared_ptr<X509> mCertificate;
};

inline void AddTestExtension(X509* aCertificate, int aKind,
                             const char* aValue) {
  X509V3_CTX context;
  X509V3_set_ctx_nodb(&context);
  X509V3_set_ctx(&context, aCertificate, aCertificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, &context, aKind, aValue);
  X509_add_ext(aCertificate, extension, -1);
  X509_EXTENSION_free(extension);
}

/// Generates a key and a certificate that is valid for an hour.
/// \param aName common name of the subject
/// \param aAddress subject alternative name, such as "IP:127.0.0.1"
/// \param aIssuer signs the certificate; nullptr: the certificate is a
/// self-signed authority
inline TestIdentity MakeTestIdentity(const char* aName, const char* aAddress,
                                     const TestIdentity* aIssuer) {
  constexpr long kHour = 3600;
  static std::atomic<long> sSerial{1};
  TestIdentity made;
  made.mKey = {EVP_EC_gen("P-256"), EVP_PKEY_free};
  made.mCertificate = {X509_new(), X509_free};
  X509* const certificate = made.mCertificate.get();
  X509_set_version(certificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), sSerial++);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -kHour);
  X509_gmtime_adj(X509_getm_notAfter(certificate), kHour);
  X509_set_pubkey(certificate, made.mKey.get());
  X509_NAME_add_entry_by_txt(
      X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(aName), -1, -1, 0);
  const TestIdentity& issuer = aIssuer != nullptr ? *aIssuer : made;
  X509_set_issuer_name(certificate,
                       X509_get_subject_name(issuer.mCertificate.get()));
  if (aIssuer == nullptr) {
    AddTestExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
  } else {
    AddTestExtension(certificate, NID_subject_alt_name, aAddress);
  }
  X509_sign(certificate, issuer.mKey.get(), EVP_sha256());
  return made;
}

/// A temporary folder of PEM files, removed on destruction.
class TestKeyFolder {
 public:
  TestKeyFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "rillwall-tls-XXXXXX");
    mPath = ::mkdtemp(name.data());
  }
  ~TestKeyFolder() { std::filesystem::remove_all(mPath); }
  TestKeyFolder(const TestKeyFolder&) = delete;
  TestKeyFolder& operator=(const TestKeyFolder&) = delete;

  /// Writes NAME.pem and NAME.key.
  void Write(const std::string& aName, const TestIdentity& aIdentity) const {
    FILE* file = std::fopen(File(aName + ".pem").c_str(), "w");
    PEM_write_X509(file, aIdentity.mCertificate.get());
    std::fclose(file);
    file = std::fopen(File(aName + ".key").c_str(), "w");
    PEM_write_PrivateKey(file, aIdentity.mKey.get(), nullptr, nullptr, 0,
                         nullptr, nullptr);
    std::fclose(file);
  }
  std::string File(const std::string& aName) const {
    return (mPath / aName).string();
  }

 private:
  std::filesystem::path mPath;
};

}  // namespace rillwall
