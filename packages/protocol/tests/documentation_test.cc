#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "medlarwinch/coordination/control_plane/document_fields.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

std::string ReadSourceFile(const std::string& path) {
  std::ifstream stream(std::string(MEDLARWINCH_SOURCE_DIR) + "/" + path);
  BOOST_REQUIRE_MESSAGE(stream.good(), path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string FormatTableRow(const std::vector<std::string>& cells) {
  std::string row = "|";
  for (const std::string& cell : cells) row += " " + cell + " |";
  return row;
}

BOOST_AUTO_TEST_SUITE(Documentation)

// Guards against a configuration page whose fields, defaults or bounds differ
// from those of the parser.
BOOST_AUTO_TEST_CASE(ConfigurationPage_Compared_MatchesFieldTable) {
  const std::string page = ReadSourceFile("docs/configuration.md");
  std::vector<std::string> expected = {
      "| path | unit | default | allowed | description |",
      "| --- | --- | --- | --- | --- |"};
  for (const DocumentField& field : DocumentFields()) {
    expected.push_back(FormatTableRow(DocumentationRow(field)));
    if (field.path != "limits.tenants") continue;
    for (const TenantField& tenant : TenantFields()) {
      expected.push_back(FormatTableRow(DocumentationRow(tenant)));
    }
  }
  std::vector<std::string> rows;
  std::istringstream lines(page);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind('|', 0) == 0) rows.push_back(line);
  }
  BOOST_CHECK_EQUAL_COLLECTIONS(rows.begin(), rows.end(), expected.begin(),
                                expected.end());
}

// Guards against example documents that are invalid, or that differ from the
// configuration page.
BOOST_AUTO_TEST_CASE(Examples_Parsed_AreValidAndOnConfigurationPage) {
  const std::string page = ReadSourceFile("docs/configuration.md");
  for (const std::string service :
       {"probe-hub", "report-desk", "kiosk-desk", "depot-manifest"}) {
    const std::string file = "docs/examples/" + service + ".yaml";
    const std::string text = ReadSourceFile(file);
    const Result<ServiceDocument> document = ParseServiceDocument(file, text);
    BOOST_REQUIRE_MESSAGE(IsOk(document), file);
    BOOST_TEST(ValueOf(document).service == service);
    BOOST_TEST(page.find("```yaml\n" + text + "```\n") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
