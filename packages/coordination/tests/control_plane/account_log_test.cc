#include "medlarwinch/coordination/control_plane/account_log.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

struct SmallAccount {
  AccountLimits limits{4, 40, 20, 8};
  AccountLog log;

  void Append(const std::string& service, int64_t minute,
              const std::string& text) {
    log = AppendAccountLine(std::move(log), {service, minute, text}, limits);
  }
  std::optional<AccountWrite> Next(int64_t now, bool is_stopping = false) {
    auto [next, write] =
        NextAccountWrite(std::move(log), TimePoint{now}, is_stopping, limits);
    log = std::move(next);
    return write;
  }
  void End(const AccountWrite& write, AccountWriteResult result,
           uint64_t version) {
    log = CompleteAccountWrite(std::move(log), write, result, version,
                               TimePoint{2'000}, limits);
  }
};

BOOST_FIXTURE_TEST_SUITE(AccountOfOneProcess, SmallAccount)

BOOST_AUTO_TEST_CASE(
    EntriesOfTwoServices_Written_AreCoalescedByServiceAndMinute) {
  Append("a", 7, "1");
  Append("b", 7, "2");
  Append("a", 7, "3");
  Append("a", 8, "4");
  const std::optional<AccountWrite> write = Next(0);
  BOOST_REQUIRE(write.has_value());
  BOOST_TEST(write->part.text == "1\n3\n");
  BOOST_TEST(AccountKey("agent/x", write->object, write->part.number) ==
             "account/a/agent/x-7");
  BOOST_TEST(log.ring.size() == 2U);
}

// Guards against an object that is created anew for each entry, and against a
// conditional write that names an outdated version.
BOOST_AUTO_TEST_CASE(PartWritten_MoreEntriesOfItsMinute_ExtendIt) {
  Append("a", 7, "1");
  End(*Next(0), AccountWriteResult::kWritten, 5);
  Append("a", 7, "2");
  BOOST_CHECK(!Next(1'999).has_value());
  const std::optional<AccountWrite> write = Next(2'000);
  BOOST_REQUIRE(write.has_value());
  BOOST_TEST(write->part.text == "1\n2\n");
  BOOST_TEST(write->part.version == 5U);
}

// Guards against objects above the platform's size limit for values.
BOOST_AUTO_TEST_CASE(PartIsFull_MoreEntries_GoToTheNextPartInOrder) {
  Append("a", 7, std::string(30, 'x'));
  Append("a", 7, std::string(30, 'y'));
  Append("a", 7, "z");
  const std::optional<AccountWrite> first = Next(0);
  BOOST_TEST(first->part.text.size() == 31U);
  End(*first, AccountWriteResult::kWritten, 1);
  const std::optional<AccountWrite> second = Next(2'000);
  BOOST_TEST(second->part.text == std::string(30, 'y') + "\nz\n");
  BOOST_TEST(AccountKey("p", second->object, second->part.number) ==
             "account/a/p-7.2");
  BOOST_TEST(second->part.version == 0U);
}

// Guards against entries that are dropped without being counted.
BOOST_AUTO_TEST_CASE(RingIsFull_OldestDropped_IsCountedByService) {
  for (int entry = 0; entry < 6; ++entry) Append("a", 7, std::to_string(entry));
  BOOST_TEST(log.ring.front().text == "2");
  auto [unchanged, none] = TakeDroppedCounts(log, limits);
  BOOST_TEST(none.empty());
  const std::optional<AccountWrite> write = Next(0);
  auto [taken, counts] = TakeDroppedCounts(log, limits);
  BOOST_TEST(counts.at("a") == 2U);
  BOOST_TEST(taken.dropped.empty());
}

// Guards against entries that are lost or reordered when a write fails.
BOOST_AUTO_TEST_CASE(WriteFailed_EntriesReturn_InOrder) {
  Append("a", 7, "1");
  Append("b", 7, "2");
  Append("a", 7, "3");
  End(*Next(0), AccountWriteResult::kFailed, 0);
  Append("a", 7, "4");
  BOOST_TEST(Next(2'000)->part.text == "1\n3\n4\n");
}

// Guards against a restarted process that overwrites, or is blocked by, the
// object of its earlier run.
BOOST_AUTO_TEST_CASE(PartExists_EntriesWritten_GoToTheNextPart) {
  Append("a", 7, "1");
  End(*Next(0), AccountWriteResult::kConflict, 0);
  const std::optional<AccountWrite> write = Next(2'000);
  BOOST_TEST(write->part.number == 2U);
  BOOST_TEST(write->part.text == "1\n");
  BOOST_TEST(write->part.version == 0U);
}

BOOST_AUTO_TEST_CASE(Stopping_EntriesWait_AreWrittenAtOnce) {
  Append("a", 7, "1");
  log.next_write = TimePoint{9'000};
  BOOST_CHECK(!Next(0).has_value());
  BOOST_CHECK(Next(0, true).has_value());
}

BOOST_AUTO_TEST_CASE(ManyDaemons_Interval_GrowsWithTheirNumber) {
  BOOST_TEST(AccountWriteInterval(10).value == 2'000);
  BOOST_TEST(AccountWriteInterval(15'000).value == 150'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
