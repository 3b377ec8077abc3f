#include "medlarwinch/daemon/certificate_files.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

namespace medlarwinch {
namespace {

struct CertificateFiles {
  CertificateFiles()
      : folder(std::filesystem::temp_directory_path() /
               ("medlarwinch_certificate_" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder);
    const Result<CertificatePair> made = MakeSelfSignedCertificate("probe-hub");
    BOOST_REQUIRE(IsOk(made));
    pair = ValueOf(made);
  }
  ~CertificateFiles() { std::filesystem::remove_all(folder); }
  CertificateFiles(const CertificateFiles&) = delete;
  CertificateFiles& operator=(const CertificateFiles&) = delete;

  std::string Write(const std::string& name, const std::string& text) const {
    const std::string file = (folder / name).string();
    std::ofstream(file) << text;
    return file;
  }

  std::filesystem::path folder;
  CertificatePair pair;
};

BOOST_FIXTURE_TEST_SUITE(CertificateFileReader, CertificateFiles)

BOOST_AUTO_TEST_CASE(CertificateAndKey_Read_AreReturned) {
  const Result<CertificatePair> read =
      ReadCertificate(Write("cert.pem", pair.certificate_pem),
                      Write("key.pem", pair.private_key_pem));
  BOOST_REQUIRE(IsOk(read));
  BOOST_TEST(ValueOf(read).certificate_pem == pair.certificate_pem);
}

// Guards against an agent that runs without HTTP/3 and reports no error.
BOOST_AUTO_TEST_CASE(MissingOrEmptyFile_Read_FailsAndNamesIt) {
  const std::string certificate = Write("cert.pem", pair.certificate_pem);
  const std::string missing = (folder / "none.pem").string();
  const Result<CertificatePair> without = ReadCertificate(certificate, missing);
  BOOST_REQUIRE(!IsOk(without));
  BOOST_CHECK(ErrorOf(without).code == ErrorCode::kNotFound);
  BOOST_TEST(ErrorOf(without).message.find(missing) != std::string::npos);
  BOOST_TEST(!IsOk(ReadCertificate(Write("empty.pem", ""), certificate)));
}

BOOST_AUTO_TEST_CASE(KeyOfAnotherCertificate_Read_Fails) {
  const Result<CertificatePair> other = MakeSelfSignedCertificate("probe-hub");
  BOOST_REQUIRE(IsOk(other));
  const Result<CertificatePair> read =
      ReadCertificate(Write("cert.pem", pair.certificate_pem),
                      Write("key.pem", ValueOf(other).private_key_pem));
  BOOST_REQUIRE(!IsOk(read));
  BOOST_CHECK(ErrorOf(read).code == ErrorCode::kInvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
