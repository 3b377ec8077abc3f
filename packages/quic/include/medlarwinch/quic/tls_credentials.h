#pragma once

#include <memory>
#include <string>

#include "medlarwinch/state/result.h"

struct gnutls_certificate_credentials_st;

namespace medlarwinch {

/// TLS credentials of one endpoint of a QUIC connection.
class TlsCredentials {
 public:
  /// Creates server credentials from PEM text. Fails with kInvalidInput if the
  /// text can't be parsed, or the private key does not match the certificate.
  static Result<std::unique_ptr<TlsCredentials>> ForServer(
      const std::string& certificate_pem, const std::string& private_key_pem);

  /// Creates client credentials that trust the certificates in `trusted_pem`.
  /// An empty text disables verification, which is meant for tests only.
  static Result<std::unique_ptr<TlsCredentials>> ForClient(
      const std::string& trusted_pem);

  ~TlsCredentials();
  TlsCredentials(const TlsCredentials&) = delete;
  TlsCredentials& operator=(const TlsCredentials&) = delete;

  gnutls_certificate_credentials_st* native() const { return native_; }
  bool verifies_peer() const { return verifies_peer_; }

 private:
  TlsCredentials(gnutls_certificate_credentials_st* native, bool verifies_peer)
      : native_(native), verifies_peer_(verifies_peer) {}

  gnutls_certificate_credentials_st* native_;
  bool verifies_peer_;
};

/// A certificate and its private key in PEM form.
struct CertificatePair {
  std::string certificate_pem;
  std::string private_key_pem;
};

/// Creates a self-signed certificate for `host_name` that is valid for 30 days.
/// Used in tests, and at a first start without configured certificates.
Result<CertificatePair> MakeSelfSignedCertificate(const std::string& host_name);

}  // namespace medlarwinch
