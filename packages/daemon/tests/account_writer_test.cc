#include "medlarwinch/daemon/account_writer.h"

#include <boost/test/unit_test.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <sstream>
#include <thread>

#include "fake_platform.h"
#include "medlarwinch/transport/account_json.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

struct PlatformAndWriter {
  PlatformAndWriter() {
    settings.control = Endpoint{0x7f000101, 7'100};
    settings.platform = platform.Options().server;
    settings.platform_calls_per_second = 100;
    writer = std::make_unique<AccountWriter>(system, settings, metrics);
  }

  void Record(const std::string& service, const std::string& subject) {
    AccountEntry entry;
    entry.action = "withdraw_upstream";
    entry.service = service;
    entry.subject = subject;
    writer->Record(entry);
  }

  // Returns the entries of all objects by the key of their object.
  std::multimap<std::string, AccountEntry> ReadWrittenEntries() const {
    std::multimap<std::string, AccountEntry> entries;
    for (const auto& [key, object] : platform.objects()) {
      std::istringstream lines(object.value);
      for (std::string line; std::getline(lines, line);) {
        const Result<AccountEntry> entry = ParseAccountLine(line);
        BOOST_REQUIRE(IsOk(entry));
        entries.emplace(key, ValueOf(entry));
      }
    }
    return entries;
  }

  caf::actor_system_config config;
  caf::actor_system system{config};
  FakePlatform platform;
  Metrics metrics;
  Settings settings;
  std::unique_ptr<AccountWriter> writer;
};

BOOST_FIXTURE_TEST_SUITE(AccountWriterWithPlatform, PlatformAndWriter)

BOOST_AUTO_TEST_CASE(EntriesRecorded_WriterStopped_AreStoredUnderTheirService) {
  Record("probe-hub", "10.2.0.1:9000");
  Record("report-desk", "10.2.0.2:9000");
  Record("probe-hub", "10.2.0.3:9000");
  writer.reset();
  const std::multimap<std::string, AccountEntry> entries = ReadWrittenEntries();
  BOOST_TEST(entries.size() == 3U);
  for (const auto& [key, entry] : entries) {
    const std::string prefix =
        "account/" + entry.service + "/balancer/127.0.1.1:7100-";
    BOOST_TEST(key.rfind(prefix, 0) == 0U);
    BOOST_TEST(entry.process == "balancer/127.0.1.1:7100");
    BOOST_TEST(entry.time.value > 0);
  }
}

// Guards against entries that are lost while the platform is down, and against
// callers that block until it is back.
BOOST_AUTO_TEST_CASE(PlatformDownAndBack_EntriesRecorded_AreWrittenOnce) {
  platform.SetDown(true);
  const TimePoint begin = MonotonicNow();
  for (int entry = 0; entry < 1'000; ++entry) {
    Record("probe-hub", std::to_string(entry));
  }
  BOOST_TEST((MonotonicNow() - begin).value < 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  platform.SetDown(false);
  writer.reset();
  std::set<std::string> subjects;
  for (const auto& [key, entry] : ReadWrittenEntries())
    subjects.insert(entry.subject);
  BOOST_TEST(subjects.size() == 1'000U);
  BOOST_TEST(ReadWrittenEntries().size() == 1'000U);
}

// Guards against a stop that hangs during an outage.
BOOST_AUTO_TEST_CASE(PlatformDown_WriterStopped_EndsWithinFlushTimeout) {
  platform.SetDown(true);
  Record("probe-hub", "x");
  const TimePoint begin = MonotonicNow();
  writer.reset();
  BOOST_TEST((MonotonicNow() - begin).value < 3'000);
}

// Guards against dropped entries that the account does not report.
BOOST_AUTO_TEST_CASE(MoreEntriesThanTheRing_WriterStopped_LossIsRecorded) {
  for (int entry = 0; entry < 6'000; ++entry) Record("probe-hub", "x");
  writer.reset();
  uint64_t recorded = 0;
  uint64_t dropped = 0;
  for (const auto& [key, entry] : ReadWrittenEntries()) {
    BOOST_TEST(platform.Find(key).value.size() <= 65'536U);
    if (entry.action == "account_entries_dropped") {
      dropped += std::stoull(entry.reason.facts.at("dropped"));
      continue;
    }
    ++recorded;
  }
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(recorded + dropped == 6'000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
