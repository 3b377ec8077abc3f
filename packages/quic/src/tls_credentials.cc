#include "medlarwinch/quic/tls_credentials.h"

#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include <ctime>

namespace medlarwinch {
namespace {

constexpr std::time_t kValiditySeconds = 30L * 24 * 3600;
constexpr unsigned kX509Version3 = 3;

Error TlsError(const char* action, int status) {
  return Error{ErrorCode::kInvalidInput,
               std::string(action) + ": " + gnutls_strerror(status)};
}

gnutls_datum_t ToDatum(const std::string& text) {
  // GnuTLS takes a mutable pointer but does not write through it here.
  return gnutls_datum_t{
      reinterpret_cast<unsigned char*>(const_cast<char*>(text.data())),
      static_cast<unsigned>(text.size())};
}

std::string CopyAndFree(gnutls_datum_t& datum) {
  std::string text(reinterpret_cast<char*>(datum.data), datum.size);
  gnutls_free(datum.data);
  return text;
}

int FillAndSignCertificate(gnutls_x509_crt_t certificate,
                           gnutls_x509_privkey_t key,
                           const std::string& host_name) {
  const std::time_t now = std::time(nullptr);
  const unsigned char serial = 1;
  gnutls_x509_crt_set_version(certificate, kX509Version3);
  gnutls_x509_crt_set_serial(certificate, &serial, sizeof(serial));
  gnutls_x509_crt_set_activation_time(certificate, now - 60);
  gnutls_x509_crt_set_expiration_time(certificate, now + kValiditySeconds);
  gnutls_x509_crt_set_dn_by_oid(certificate, GNUTLS_OID_X520_COMMON_NAME, 0,
                                host_name.data(),
                                static_cast<unsigned>(host_name.size()));
  gnutls_x509_crt_set_subject_alt_name(
      certificate, GNUTLS_SAN_DNSNAME, host_name.data(),
      static_cast<unsigned>(host_name.size()), GNUTLS_FSAN_SET);
  gnutls_x509_crt_set_key(certificate, key);
  return gnutls_x509_crt_sign2(certificate, certificate, key, GNUTLS_DIG_SHA256,
                               0);
}

}  // namespace

Result<std::unique_ptr<TlsCredentials>> TlsCredentials::ForServer(
    const std::string& certificate_pem, const std::string& private_key_pem) {
  gnutls_certificate_credentials_t native = nullptr;
  int status = gnutls_certificate_allocate_credentials(&native);
  if (status < 0) return TlsError("cannot allocate TLS credentials", status);
  const gnutls_datum_t certificate = ToDatum(certificate_pem);
  const gnutls_datum_t key = ToDatum(private_key_pem);
  std::unique_ptr<TlsCredentials> credentials(
      new TlsCredentials(native, false));
  status = gnutls_certificate_set_x509_key_mem(native, &certificate, &key,
                                               GNUTLS_X509_FMT_PEM);
  if (status < 0)
    return TlsError("cannot load the certificate and private key", status);
  return credentials;
}

Result<std::unique_ptr<TlsCredentials>> TlsCredentials::ForClient(
    const std::string& trusted_pem) {
  gnutls_certificate_credentials_t native = nullptr;
  int status = gnutls_certificate_allocate_credentials(&native);
  if (status < 0) return TlsError("cannot allocate TLS credentials", status);
  std::unique_ptr<TlsCredentials> credentials(
      new TlsCredentials(native, !trusted_pem.empty()));
  if (trusted_pem.empty()) return credentials;
  const gnutls_datum_t trusted = ToDatum(trusted_pem);
  status = gnutls_certificate_set_x509_trust_mem(native, &trusted,
                                                 GNUTLS_X509_FMT_PEM);
  if (status < 1)
    return TlsError("cannot load the trusted certificates", status);
  return credentials;
}

TlsCredentials::~TlsCredentials() {
  gnutls_certificate_free_credentials(native_);
}

Result<CertificatePair> MakeSelfSignedCertificate(
    const std::string& host_name) {
  gnutls_x509_privkey_t key = nullptr;
  gnutls_x509_crt_t certificate = nullptr;
  gnutls_x509_privkey_init(&key);
  gnutls_x509_crt_init(&certificate);
  gnutls_datum_t certificate_text{};
  gnutls_datum_t key_text{};
  int status = gnutls_x509_privkey_generate(
      key, GNUTLS_PK_ECDSA, GNUTLS_CURVE_TO_BITS(GNUTLS_ECC_CURVE_SECP256R1),
      0);
  if (status == 0) status = FillAndSignCertificate(certificate, key, host_name);
  if (status == 0) {
    status = gnutls_x509_crt_export2(certificate, GNUTLS_X509_FMT_PEM,
                                     &certificate_text);
  }
  if (status == 0) {
    status = gnutls_x509_privkey_export2(key, GNUTLS_X509_FMT_PEM, &key_text);
  }
  gnutls_x509_crt_deinit(certificate);
  gnutls_x509_privkey_deinit(key);
  if (status < 0) return TlsError("cannot create a certificate", status);
  return CertificatePair{CopyAndFree(certificate_text), CopyAndFree(key_text)};
}

}  // namespace medlarwinch
