#include <boost/test/unit_test.hpp>
#include <fstream>

#include "fake_platform.h"
#include "medlarwinch/cli/apply_command.h"
#include "medlarwinch/cli/drain_command.h"
#include "medlarwinch/cli/get_command.h"
#include "medlarwinch/cli/history_command.h"
#include "medlarwinch/cli/rotate_keys_command.h"
#include "medlarwinch/protocol/document_parser.h"
#include "medlarwinch/protocol/key_ring.h"

namespace medlarwinch {
namespace {

using Fault = FakePlatform::Fault;

const std::string kDocument =
    "# Feeds of the moisture probes.\n"
    "service: probe-hub\n"
    "owner: trinacria-feeds\n"
    "addresses: [\"10.1.0.1:443\"]\n"
    "balance:\n"
    "  margin_percent: 2  # agreed on 3 May\n";

struct DocumentCommandsFixture {
  DocumentCommandsFixture() {
    context.platform = platform.Options().server;
    context.operator_name = "alice";
    context.timeout = Millis{1'500};
    context.now = TimePoint{1'700'000'000'000};
  }

  ApplyReport Apply(const std::string& text,
                    std::optional<uint64_t> if_version = {}) {
    const Result<ApplyReport> result =
        ApplyText(context, "d.yaml", text, if_version);
    BOOST_REQUIRE_MESSAGE(IsOk(result),
                          (IsOk(result) ? "" : ErrorOf(result).message));
    return ValueOf(result);
  }

  // Starts a server whose /status lists two ready upstreams of probe-hub.
  void ServeStatus() {
    Result<std::unique_ptr<HttpServer>> server =
        HttpServer::Listen(TestAddress(1), [](const HttpRequest&) {
          return HttpResponse{200, "application/json",
                              R"({"control":{"members":[
                {"id":"10.2.0.1:7100","kind":"agent","phase":"ready",
                 "service":"probe-hub","slots":4,"upstream":"10.2.0.1:9000"},
                {"id":"10.2.0.2:7100","kind":"agent","phase":"ready",
                 "service":"probe-hub","slots":4,"upstream":"10.2.0.2:9000"}
              ]}})"};
        });
    BOOST_REQUIRE(IsOk(server));
    status_server = TakeValue(std::move(server));
    context.admin = {TestAddress(1)};
  }

  FakePlatform platform;
  CommandContext context;
  std::unique_ptr<HttpServer> status_server;
};

BOOST_FIXTURE_TEST_SUITE(DocumentCommands, DocumentCommandsFixture)

BOOST_AUTO_TEST_CASE(NewDocument_AppliedAndRead_IsUnchanged) {
  const ApplyReport report = Apply(kDocument);
  BOOST_CHECK(report.outcome == ApplyOutcome::kApplied);
  BOOST_TEST(report.version == 1U);
  const Result<GetReport> got = RunGet(context, "probe-hub");
  BOOST_REQUIRE(IsOk(got));
  BOOST_TEST(ValueOf(got).text == kDocument);
  BOOST_CHECK(Apply(kDocument).outcome == ApplyOutcome::kUnchanged);
}

// Applying an edit of an old version must not undo a newer change.
BOOST_AUTO_TEST_CASE(DocumentEditedAfterGet_ChangedMeanwhile_IsConflict) {
  Apply(kDocument);
  const Result<GetReport> got = RunGet(context, "probe-hub");
  const std::string downloaded = FormatText(ValueOf(got));
  Apply(kDocument + "domains: [catania]\n");
  const ApplyReport report = Apply(downloaded + "domains: [ragusa]\n");
  BOOST_CHECK(report.outcome == ApplyOutcome::kConflict);
  BOOST_TEST(ExitCodeOf(report) == 3);
  BOOST_TEST(FormatText(report) ==
             "config/probe-hub: another writer was first: the change was made "
             "for version 1, the platform has version 2; your document against "
             "it:\n"
             "  domains: [\"catania\"] -> [\"ragusa\"]\n");
  BOOST_TEST(platform.Find("config/probe-hub").version == 2U);
}

// A write by another operator between the checks and the write must be detected
// as a conflict.
BOOST_AUTO_TEST_CASE(ConcurrentWrite_Applied_ConflictReportsBothVersions) {
  Apply(kDocument);
  Result<std::unique_ptr<HttpServer>> concurrent_writer =
      HttpServer::Listen(TestAddress(2), [this](const HttpRequest&) {
        // The command requests the status after it has read the document and
        // before it writes it.
        platform.Set("config/probe-hub", kDocument + "domains: [catania]\n");
        return HttpResponse{200, "application/json", "{}"};
      });
  context.admin = {TestAddress(2)};
  const ApplyReport report = Apply(kDocument + "domains: [ragusa]\n");
  BOOST_CHECK(report.outcome == ApplyOutcome::kConflict);
  BOOST_TEST(report.expected_version == 1U);
  BOOST_TEST(report.version == 2U);
  BOOST_REQUIRE(report.changes.size() == 1U);
  BOOST_TEST(report.changes[0].before == "[\"catania\"]");
}

// A write that took effect but whose response was lost must not be reported as
// a failure.
BOOST_AUTO_TEST_CASE(ResponseLost_Applied_IsResolvedByReadBack) {
  Apply(kDocument);
  platform.Inject(Fault::kBroken, 3);
  const ApplyReport report = Apply(kDocument + "domains: [catania]\n");
  BOOST_CHECK(report.outcome == ApplyOutcome::kApplied);
  BOOST_TEST(report.version == 2U);
}

BOOST_AUTO_TEST_CASE(VersionsApplied_HistoryRead_NamesOperatorAndChanges) {
  Apply(kDocument);
  Apply(kDocument + "domains: [catania]\n");
  const Result<HistoryReport> history = RunHistory(context, "probe-hub", 1);
  BOOST_REQUIRE(IsOk(history));
  BOOST_TEST(FormatText(ValueOf(history)) ==
             "version 2 after 1 at 2023-11-14T22:13:20.000Z by alice\n"
             "  domains: [] -> [\"catania\"]\n");
}

// A drain must preserve the comments of the document, and must be refused when
// it would leave the service without upstreams.
BOOST_AUTO_TEST_CASE(TwoUpstreams_Drained_KeepsCommentsAndOneUpstream) {
  ServeStatus();
  Apply(kDocument);
  const Endpoint first{0x0a020001, 9'000};
  const Endpoint second{0x0a020002, 9'000};
  const Result<ApplyReport> drained =
      RunDrain(context, "probe-hub", first, false);
  BOOST_REQUIRE(IsOk(drained));
  BOOST_CHECK(ValueOf(drained).outcome == ApplyOutcome::kApplied);
  BOOST_TEST(ValueOf(drained).moved_percent == 50U);
  const std::string text = platform.Find("config/probe-hub").value;
  BOOST_TEST(text == kDocument + "drain:\n  upstreams: [\"10.2.0.1:9000\"]\n");
  const Result<ApplyReport> refused =
      RunDrain(context, "probe-hub", second, false);
  BOOST_REQUIRE(IsOk(refused));
  BOOST_CHECK(ValueOf(refused).outcome == ApplyOutcome::kRefused);
  BOOST_TEST(ExitCodeOf(ValueOf(refused)) == 1);
  BOOST_TEST(platform.Find("config/probe-hub").value == text);
  const Result<ApplyReport> returned =
      RunDrain(context, "probe-hub", first, true);
  BOOST_REQUIRE(IsOk(returned));
  BOOST_TEST(platform.Find("config/probe-hub").value ==
             kDocument + "drain:\n  upstreams: []\n");
}

BOOST_AUTO_TEST_CASE(NoDocument_DrainedOrRead_IsNotFound) {
  const Result<ApplyReport> drained =
      RunDrain(context, "probe-hub", Endpoint{1, 1}, false);
  BOOST_REQUIRE(!IsOk(drained));
  BOOST_CHECK(ErrorOf(drained).code == ErrorCode::kNotFound);
  BOOST_CHECK(!IsOk(RunHistory(context, "probe-hub", 1)));
}

BOOST_AUTO_TEST_CASE(KeysRotatedTwice_RingRead_KeepsBothEpochs) {
  const Result<RotateKeysReport> first = RunRotateKeys(context);
  BOOST_REQUIRE(IsOk(first));
  BOOST_TEST(ValueOf(first).current_epoch == 1);
  BOOST_REQUIRE(IsOk(RunRotateKeys(context)));
  const Result<KeyRing> ring = ParseKeyRing(platform.Find("keys/ring").value);
  BOOST_REQUIRE(IsOk(ring));
  BOOST_TEST(ValueOf(ring).current_epoch == 2);
  BOOST_TEST(ValueOf(ring).epochs.size() == 2U);
  BOOST_CHECK(ValueOf(ring).epochs[0].seed != ValueOf(ring).epochs[1].seed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
