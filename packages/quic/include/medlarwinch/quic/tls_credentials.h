#pragma once

#include <memory>
#include <string>

#include "medlarwinch/state/result.h"

struct gnutls_certificate_credentials_st;

namespace medlarwinch {

/// Certificates of one side of a QUIC connection.
class TlsCredentials {
 public:
  /// Credentials of a server from PEM texts. Fails with kInvalidInput when
  /// they can't be read or do not belong together.
  static Result<std::unique_ptr<TlsCredentials>> ForServer(
      const std::string& certificate_pem, const std::string& private_key_pem);

  /// Credentials of a client that trusts the certificates in `trusted_pem`;
  /// with an empty text it verifies nothing, which only tests do.
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

/// Makes a self-signed certificate for `host_name` that is valid for 30 days;
/// for tests and for a first start without certificates.
Result<CertificatePair> MakeSelfSignedCertificate(const std::string& host_name);

}  // namespace medlarwinch
