#include "medlarwinch/coordination/request_path/request_ledger.h"

#include <map>
#include <set>

#include "medlarwinch/coordination/request_path/request_window.h"
#include "property_check.h"

namespace medlarwinch {
namespace {

constexpr KeyHash kKey{1, 1};

struct SmallLedger {
  BeginResult Begin(const KeyHash& key, uint32_t attempt = 1) {
    BeginStep step = BeginRequest(std::move(ledger), key, attempt, limits, now);
    ledger = std::move(step.ledger);
    return step.result;
  }
  bool Dispatch(const KeyHash& key) {
    DispatchStep step = MarkDispatched(std::move(ledger), key);
    ledger = std::move(step.ledger);
    return step.may_run;
  }
  QueryStep Query(const KeyHash& key) {
    QueryStep step = QueryRequest(std::move(ledger), key, limits, now);
    ledger = std::move(step.ledger);
    return step;
  }
  bool Withdraw(const KeyHash& key, uint32_t attempt) {
    WithdrawStep step =
        WithdrawRequest(std::move(ledger), key, attempt, limits, now);
    ledger = std::move(step.ledger);
    return step.is_proven;
  }
  void End(const KeyHash& key, LedgerState state) {
    ledger =
        EndRequest(std::move(ledger), key, state, 200, nullptr, limits, now);
  }
  RequestLedger ledger;
  LedgerLimits limits{Millis{1'000}, 3, 10};
  TimePoint now{5'000};
};

BOOST_FIXTURE_TEST_SUITE(RequestLedgerWithThreeKeys, SmallLedger)

// Guards against a key that runs after a reply to another agent has guaranteed
// that it does not.
BOOST_AUTO_TEST_CASE(ReservingKey_Queried_IsNeverDispatched) {
  Begin(kKey);
  const QueryStep step = Query(kKey);
  BOOST_CHECK(step.state == KeyState::kCancelled);
  BOOST_TEST(step.aborted);
  BOOST_TEST(!Dispatch(kKey));
  BOOST_CHECK(Begin(kKey, 5) == BeginResult::kKnown);
}

BOOST_AUTO_TEST_CASE(WithdrawnAttempt_LaterAttempt_MayBegin) {
  Begin(kKey, 2);
  BOOST_TEST(Withdraw(kKey, 2));
  BOOST_CHECK(Begin(kKey, 1) == BeginResult::kKnown);
  BOOST_CHECK(Begin(kKey, 3) == BeginResult::kBegun);
}

BOOST_AUTO_TEST_CASE(EndedRequest_Withdrawn_IsNotProven) {
  Begin(kKey);
  Dispatch(kKey);
  End(kKey, LedgerState::kMayHaveRun);
  BOOST_TEST(!Withdraw(kKey, 1));
}

// Guards against eviction of an entry from a full ledger.
BOOST_AUTO_TEST_CASE(FullLedger_NewKey_IsShedUntilRetentionEnds) {
  for (uint64_t key = 1; key <= 3; ++key) {
    BOOST_CHECK(Begin(KeyHash{key, key}) == BeginResult::kBegun);
    Dispatch(KeyHash{key, key});
    End(KeyHash{key, key}, LedgerState::kRan);
  }
  now = TimePoint{5'999};
  BOOST_CHECK(Begin(KeyHash{4, 4}) == BeginResult::kFull);
  BOOST_CHECK(Query(KeyHash{4, 4}).state == KeyState::kMayHaveRun);
  now = TimePoint{6'000};
  BOOST_CHECK(Begin(KeyHash{4, 4}) == BeginResult::kBegun);
}

BOOST_AUTO_TEST_CASE(LargeResponse_RequestRan_IsNotStored) {
  Begin(kKey);
  Dispatch(kKey);
  ledger =
      EndRequest(std::move(ledger), kKey, LedgerState::kRan, 200,
                 std::make_shared<const std::vector<uint8_t>>(11), limits, now);
  const QueryStep step = Query(kKey);
  BOOST_CHECK(step.state == KeyState::kRan);
  BOOST_TEST(!step.response);
}

// Guards against a ledger that drops an ended request within its retention.
BOOST_AUTO_TEST_CASE(AnyOperations_WithinRetention_RetainWhatRan) {
  CheckProperty("the ledger retains ended requests within retention", [this] {
    ledger = RequestLedger{};
    limits.max_keys = 8;
    std::map<KeyHash, TimePoint> ran;
    for (int step = 0; step < 200; ++step) {
      now = now + Millis{AnyNumber(0, 60)};
      const uint64_t number = static_cast<uint64_t>(AnyNumber(0, 11));
      const KeyHash key{number, number};
      const bool is_new = Begin(key, 1) == BeginResult::kBegun;
      const auto known = ran.find(key);
      if (known != ran.end() && now < known->second + limits.retention) {
        RC_ASSERT(!is_new);
      }
      if (!is_new || AnyNumber(0, 3) == 0) continue;
      RC_ASSERT(Dispatch(key));
      End(key, LedgerState::kRan);
      ran[key] = now;
      RC_ASSERT(ledger.entries.size() <= limits.max_keys);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestWindowOfOneFlow)

// Guards against a repeated request number that counts as new, in any order.
BOOST_AUTO_TEST_CASE(AnyOrder_NumbersTaken_EachIsNewAtMostOnce) {
  CheckProperty("a number is new at most once", [] {
    RequestWindow window;
    std::set<uint32_t> taken;
    uint32_t highest = 0;
    for (int step = 0; step < 300; ++step) {
      const uint32_t number = static_cast<uint32_t>(
          std::max<int64_t>(0, highest + AnyNumber(-90, 40)));
      const WindowStep next = AcceptRequestNumber(window, number);
      window = next.window;
      if (next.is_new) RC_ASSERT(taken.insert(number).second);
      const bool is_recent = number + kRequestWindowBits > highest;
      if (is_recent) RC_ASSERT(taken.contains(number));
      highest = std::max(highest, number);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
