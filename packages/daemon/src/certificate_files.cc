#include "medlarwinch/daemon/certificate_files.h"

#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {
Result<CertificatePair> ReadCertificate(const std::string& certificate_file,
                                        const std::string& private_key_file) {
  const Result<std::string> certificate = ReadTextFile(certificate_file);
  if (!IsOk(certificate)) return ErrorOf(certificate);
  const Result<std::string> private_key = ReadTextFile(private_key_file);
  if (!IsOk(private_key)) return ErrorOf(private_key);
  CertificatePair pair{ValueOf(certificate), ValueOf(private_key)};
  const Result<std::unique_ptr<TlsCredentials>> credentials =
      TlsCredentials::ForServer(pair.certificate_pem, pair.private_key_pem);
  if (!IsOk(credentials)) {
    return Error{ErrorOf(credentials).code, certificate_file + " and " +
                                                private_key_file + ": " +
                                                ErrorOf(credentials).message};
  }
  return pair;
}

}  // namespace medlarwinch
