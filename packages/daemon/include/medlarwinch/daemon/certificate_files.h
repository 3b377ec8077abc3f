#pragma once

#include <string>

#include "medlarwinch/quic/tls_credentials.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Reads a certificate and its private key, both in PEM form. Fails with
/// kNotFound when a file can't be read, and with kInvalidInput when the
/// contents are not a certificate and a key or do not match each other; the
/// message names the files.
Result<CertificatePair> ReadCertificate(const std::string& certificate_file,
                                        const std::string& private_key_file);

}  // namespace medlarwinch
