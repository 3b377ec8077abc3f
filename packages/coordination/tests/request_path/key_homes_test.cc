#include "medlarwinch/coordination/request_path/key_homes.h"

#include <algorithm>

#include "property_check.h"

namespace medlarwinch {
namespace {

std::vector<Endpoint> Agents(int64_t count) {
  std::vector<Endpoint> agents;
  for (int64_t index = 0; index < count; ++index) {
    agents.push_back(
        Endpoint{0x7f000001 + static_cast<uint32_t>(index), 7'000});
  }
  return agents;
}

struct EmptyHome {
  ReserveStep Reserve(const KeyHash& key, const KeyHolder& holder,
                      std::optional<KeyHolder> superseded = std::nullopt) {
    ReserveStep step =
        ReserveKey(std::move(home), key, holder, superseded, limits, now);
    home = std::move(step.home);
    return step;
  }
  KeyHome home;
  KeyHomeLimits limits{Millis{1'000}, 2};
  TimePoint now{100};
  KeyHolder a{{1, 1}, 10};
  KeyHolder b{{2, 2}, 20};
};

BOOST_FIXTURE_TEST_SUITE(KeyHomeWithCapacityTwo, EmptyHome)

BOOST_AUTO_TEST_CASE(HeldKey_OtherHolder_IsRefusedAndNamed) {
  Reserve(KeyHash{1, 1}, a);
  const ReserveStep step = Reserve(KeyHash{1, 1}, b);
  BOOST_CHECK(step.state == ReserveState::kHeldElsewhere);
  BOOST_CHECK(step.holder == a);
  BOOST_CHECK(Reserve(KeyHash{1, 1}, a).state == ReserveState::kGranted);
}

// Guards against a late message of a superseded holder that replaces its
// successor.
BOOST_AUTO_TEST_CASE(SupersededHolder_ReservesLate_IsRefused) {
  Reserve(KeyHash{1, 1}, a);
  BOOST_CHECK(Reserve(KeyHash{1, 1}, b, a).state == ReserveState::kGranted);
  BOOST_CHECK(Reserve(KeyHash{1, 1}, a).state == ReserveState::kHeldElsewhere);
}

BOOST_AUTO_TEST_CASE(OtherBootOfHolder_Reserves_IsRefused) {
  Reserve(KeyHash{1, 1}, a);
  BOOST_CHECK(Reserve(KeyHash{1, 1}, KeyHolder{a.agent, 11}).state ==
              ReserveState::kHeldElsewhere);
}

BOOST_AUTO_TEST_CASE(FullHome_NewKey_IsRefusedUntilRecordsExpire) {
  Reserve(KeyHash{1, 1}, a);
  Reserve(KeyHash{2, 2}, a);
  BOOST_CHECK(Reserve(KeyHash{3, 3}, a).state == ReserveState::kFull);
  now = now + Millis{10'000};
  BOOST_CHECK(Reserve(KeyHash{3, 3}, a).state == ReserveState::kGranted);
}

BOOST_AUTO_TEST_CASE(ExistingRecord_KeyImported_KeepsItsHolder) {
  Reserve(KeyHash{1, 1}, a);
  home = ImportKeys(std::move(home),
                    {TransferredKey{KeyHash{1, 1}, b, Millis{500}},
                     TransferredKey{KeyHash{2, 2}, b, Millis{500}}},
                    limits, now);
  BOOST_CHECK(home.records.at(KeyHash{1, 1}).holder == a);
  BOOST_CHECK(home.records.at(KeyHash{2, 2}).holder == b);
}

// Guards against two rosters that choose disjoint homes for one key.
BOOST_AUTO_TEST_CASE(AnyRosters_OneAgentApart_ShareTwoHomes) {
  CheckProperty("homes of neighbouring rosters overlap", [] {
    const std::vector<Endpoint> all = Agents(AnyNumber(4, 30));
    std::vector<Endpoint> fewer = all;
    fewer.erase(fewer.begin() +
                AnyNumber(0, static_cast<int64_t>(all.size()) - 1));
    const KeyHash key{static_cast<uint64_t>(AnyNumber(0, 1'000'000'000)), 0};
    const std::vector<Endpoint> before = ChooseKeyHomes(key, all);
    const std::vector<Endpoint> after = ChooseKeyHomes(key, fewer);
    const auto shared =
        std::count_if(before.begin(), before.end(), [&](const Endpoint& agent) {
          return std::find(after.begin(), after.end(), agent) != after.end();
        });
    RC_ASSERT(before.size() == kKeyHomes);
    RC_ASSERT(shared >= 2);
  });
}

// Guards against a record that is not transferred to a new home when its home
// drains.
BOOST_AUTO_TEST_CASE(HomeDrains_TransfersPlanned_ReachEachNewHome) {
  limits.max_keys = 100;
  const std::vector<Endpoint> before = Agents(6);
  const std::vector<Endpoint> after(before.begin(), before.end() - 1);
  for (uint64_t number = 0; number < 50; ++number) {
    Reserve(KeyHash{number, number}, a);
  }
  const std::map<Endpoint, std::vector<TransferredKey>> plan =
      PlanKeyTransfers(home, before, after, now);
  for (uint64_t number = 0; number < 50; ++number) {
    const KeyHash key{number, number};
    const std::vector<Endpoint> old_homes = ChooseKeyHomes(key, before);
    for (const Endpoint& agent : ChooseKeyHomes(key, after)) {
      const bool is_old = std::find(old_homes.begin(), old_homes.end(),
                                    agent) != old_homes.end();
      const auto transfers = plan.find(agent);
      const bool is_sent =
          transfers != plan.end() &&
          std::any_of(
              transfers->second.begin(), transfers->second.end(),
              [&](const TransferredKey& item) { return item.key == key; });
      BOOST_REQUIRE(is_sent == !is_old);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
