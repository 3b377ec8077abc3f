#include "medlarwinch/protocol/document_parser.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/control_plane/document_fields.h"

namespace medlarwinch {
namespace {

const std::string kMinimalDocument =
    "service: probe-hub\n"
    "owner: trinacria-feeds\n"
    "addresses: [\"10.1.0.1:443\"]\n";

std::string ParseErrorsOf(const std::string& text) {
  const Result<ServiceDocument> result = ParseServiceDocument("d.yaml", text);
  return IsOk(result) ? "" : ErrorOf(result).message;
}

// Returns a document with non-default values in most fields.
ServiceDocument FullDocument() {
  ServiceDocument document;
  document.service = "report-desk";
  document.owner = "Umidit\xc3\xa0 \"feeds\": \\ team";
  document.addresses = {Endpoint{0x0a010001, 443}, Endpoint{0x0a010002, 443}};
  document.failure_domains = {"catania", "palermo"};
  document.balance = BalancePolicy{2.25, 3, 40};
  document.health = HealthPolicy{Millis{4'000}, 30, OutlierPolicy{}};
  document.limits.tenants = {TenantLimit{"dawn", 0.1, 12},
                             TenantLimit{"dusk", 900, 1'800}};
  document.drain.upstreams = {Endpoint{0x0a020001, 9'000}};
  document.confirm = ChangeConfirmation{true, 60};
  return document;
}

BOOST_AUTO_TEST_SUITE(ServiceDocumentParser)

BOOST_AUTO_TEST_CASE(RequiredFieldsOnly_Parsed_HasDefaults) {
  const Result<ServiceDocument> result =
      ParseServiceDocument("d.yaml", kMinimalDocument);
  BOOST_REQUIRE_MESSAGE(IsOk(result), ParseErrorsOf(kMinimalDocument));
  ServiceDocument expected;
  expected.service = "probe-hub";
  expected.owner = "trinacria-feeds";
  expected.addresses = {Endpoint{0x0a010001, 443}};
  BOOST_CHECK(ValueOf(result) == expected);
}

// Guards against a field that is parsed but not formatted, or the reverse.
BOOST_AUTO_TEST_CASE(FullDocument_FormattedAndParsed_IsUnchanged) {
  const std::string text = FormatServiceDocument(FullDocument());
  const Result<ServiceDocument> result = ParseServiceDocument("d.yaml", text);
  BOOST_REQUIRE_MESSAGE(IsOk(result), ParseErrorsOf(text));
  BOOST_CHECK(ValueOf(result) == FullDocument());
}

// Guards against a parser that stops at the first error.
BOOST_AUTO_TEST_CASE(SeveralErrors_Parsed_AllAreReportedWithLineAndPath) {
  const std::string message = ParseErrorsOf(
      "service: Probe_Hub\n"
      "addresses: [\"10.1.0.1\"]\n"
      "balance:\n"
      "  candidates: 9\n"
      "  margin: 1\n"
      "helth:\n"
      "  fail_after_ms: 3000\n");
  const std::string expected =
      "d.yaml:1: owner: is required\n"
      "d.yaml:2: addresses: '10.1.0.1' is not an address of the form "
      "a.b.c.d:port\n"
      "d.yaml:2: addresses: expected a list of 1 to 64 different addresses\n"
      "d.yaml:4: balance.candidates: expected a whole number from 1 to 4\n"
      "d.yaml:1: service: expected lower-case letters, digits and hyphens, "
      "beginning with a letter\n"
      "d.yaml:6: helth: unknown field; the nearest known name is 'health'\n"
      "d.yaml:5: balance.margin: unknown field; the nearest known name is "
      "'margin_percent'";
  BOOST_TEST(message == expected);
}

// Guards against values that YAML converts to something else, and against
// silently using one of two duplicate values.
BOOST_AUTO_TEST_CASE(AmbiguousValues_Parsed_AreRejected) {
  for (const char* field :
       {"drain: {deadline_ms: 010}", "drain: {deadline_ms: 1e3}",
        "drain: {deadline_ms: 5000000000000000000000}", "balance: 3",
        "balance: {margin_percent: .nan}", "owner: again",
        "domains: [catania, catania]", "confirm: {empty_service: 1}",
        "limits: {tenants: [&t {name: a, requests_per_s: 1, burst: 1}, *t]}",
        "limits: {tenants: [{name: a, burst: 1}]}"}) {
    BOOST_CHECK_MESSAGE(!ParseErrorsOf(kMinimalDocument + field + "\n").empty(),
                        field);
  }
}

BOOST_AUTO_TEST_CASE(OversizedText_Parsed_IsRejectedBeforeParsing) {
  const std::string text = kMinimalDocument + "#" + std::string(300'000, 'x');
  BOOST_TEST(ParseErrorsOf(text).find("at most 262144 are allowed") !=
             std::string::npos);
}

// Guards against a bound in the field table that the parser does not enforce.
BOOST_AUTO_TEST_CASE(NumbersOutsideBounds_Parsed_AreRejectedWithTheBounds) {
  for (const DocumentField& field : DocumentFields()) {
    ServiceDocument document = FullDocument();
    const FieldRef value = field.locate(document);
    const double above = field.max + 1;
    if (uint32_t* const* number = std::get_if<uint32_t*>(&value)) {
      **number = static_cast<uint32_t>(above);
    } else if (Millis* const* duration = std::get_if<Millis*>(&value)) {
      (*duration)->value = static_cast<int64_t>(above);
    } else if (double* const* real = std::get_if<double*>(&value)) {
      **real = above;
    } else {
      continue;
    }
    const std::string message = ParseErrorsOf(FormatServiceDocument(document));
    const std::string expected =
        field.path + ": expected " +
        DescribeAllowedValues(value, field.min, field.max);
    BOOST_CHECK_MESSAGE(message.find(expected) != std::string::npos,
                        "missing: " << expected << "\nin: " << message);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
