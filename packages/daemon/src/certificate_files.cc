#include "medlarwinch/daemon/certificate_files.h"

#include <fstream>
#include <sstream>

namespace medlarwinch {
namespace {

Result<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (stream.peek() != std::ifstream::traits_type::eof()) {
    text << stream.rdbuf();
  }
  if (!stream || text.str().empty()) {
    return Error{ErrorCode::kNotFound, file + ": can't be read, or is empty"};
  }
  return text.str();
}

}  // namespace

Result<CertificatePair> ReadCertificate(const std::string& certificate_file,
                                        const std::string& private_key_file) {
  const Result<std::string> certificate = ReadText(certificate_file);
  if (!IsOk(certificate)) return ErrorOf(certificate);
  const Result<std::string> private_key = ReadText(private_key_file);
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
