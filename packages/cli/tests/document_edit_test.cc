#include "medlarwinch/cli/document_edit.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/cli/document_path.h"
#include "medlarwinch/cli/history_object.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

const std::string kRequiredFields =
    "service: probe-hub\n"
    "owner: trinacria\n"
    "addresses: [\"10.1.0.1:443\"]\n";
const std::vector<Endpoint> kOneUpstream = {Endpoint{0x0a020001, 9'000}};

std::string EditDrainedUpstreams(const std::string& tail) {
  const Result<std::string> edited =
      SetDrainedUpstreams(kRequiredFields + tail, kOneUpstream);
  BOOST_REQUIRE(IsOk(edited));
  const Result<ServiceDocument> document =
      ParseServiceDocument("d", ValueOf(edited));
  BOOST_REQUIRE(IsOk(document));
  BOOST_CHECK(ValueOf(document).drain.upstreams == kOneUpstream);
  return ValueOf(edited);
}

BOOST_AUTO_TEST_SUITE(DocumentEdit)

// The edit must not change other lines of the document.
BOOST_AUTO_TEST_CASE(DrainSectionInBlockStyle_Edited_OtherLinesStay) {
  const std::string list = "upstreams: [\"10.2.0.1:9000\"]\n";
  BOOST_TEST(EditDrainedUpstreams("") == kRequiredFields + "drain:\n  " + list);
  BOOST_TEST(
      EditDrainedUpstreams("drain:\n    deadline_ms: 5  # later\nretry:\n"
                           "  min_per_s: 2\n") ==
      kRequiredFields + "drain:\n    " + list +
          "    deadline_ms: 5  # later\nretry:\n  min_per_s: 2\n");
  BOOST_TEST(EditDrainedUpstreams(
                 "drain:\n  deadline_ms: 5\n  upstreams:\n"
                 "  - \"10.2.0.7:9000\"\n  - \"10.2.0.8:9000\"\n# end\n") ==
             kRequiredFields + "drain:\n  " + list +
                 "  deadline_ms: 5\n# end\n");
}

// The edit does not support flow style; the document must then be reformatted
// without losing the other fields.
BOOST_AUTO_TEST_CASE(DrainSectionInFlowStyle_Edited_IsReformatted) {
  const std::string edited = EditDrainedUpstreams("drain: {deadline_ms: 5}\n");
  BOOST_TEST(edited.find("deadline_ms: 5\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Path_Found_HasValueAndLine) {
  const std::string text =
      kRequiredFields + "health:\n  outlier:\n    window_ms: 2000\n";
  BOOST_CHECK((FindDocumentPath(text, "health.outlier.window_ms") ==
               DocumentPathValue{"2000", 6}));
  BOOST_CHECK((FindDocumentPath(text, "health.fail_after_ms") ==
               DocumentPathValue{"3000", 0}));
  BOOST_CHECK((FindDocumentPath(text, "limits.tenants[dawn]") ==
               DocumentPathValue{"[]", 0}));
  BOOST_CHECK(!FindDocumentPath(text, "nothing").has_value());
  BOOST_CHECK(!FindDocumentPath("[", "owner").has_value());
}

// The history must not grow without limit.
BOOST_AUTO_TEST_CASE(ManyVersions_Appended_StayWithinLimits) {
  std::vector<HistoryEntry> entries;
  for (uint64_t version = 1; version <= 150; ++version) {
    HistoryEntry entry{version, version - 1, TimePoint{1}, "alice", {}};
    entry.changes = {FieldChange{"owner", std::string(2'000, 'x'), "b"}};
    entries = AppendHistory(std::move(entries), entry);
  }
  BOOST_TEST(entries.back().version == 150U);
  BOOST_TEST(FormatHistory(entries).size() <= kMaxHistoryBytes);
  const Result<std::vector<HistoryEntry>> parsed =
      ParseHistory(FormatHistory(entries));
  BOOST_REQUIRE(IsOk(parsed));
  BOOST_CHECK(ValueOf(parsed) == entries);
  BOOST_CHECK(!IsOk(ParseHistory("{}")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
