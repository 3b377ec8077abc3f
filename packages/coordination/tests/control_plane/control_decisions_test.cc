#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/control_plane/bootstrap_list.h"
#include "medlarwinch/coordination/control_plane/monitor_selection.h"
#include "medlarwinch/coordination/control_plane/platform_schedule.h"
#include "medlarwinch/coordination/control_plane/service_means.h"
#include "property_check.h"

namespace medlarwinch {
namespace {

MemberEntry MakeBalancer(uint32_t number) {
  MemberEntry entry;
  entry.id = Endpoint{number, 7'000};
  entry.version = MemberVersion{1, 0, MemberPhase::kReady};
  entry.kind = MemberKind::kBalancer;
  entry.failure_domain = "catania";
  return entry;
}

MemberEntry MakeAgent(uint32_t number, const std::string& service) {
  MemberEntry entry = MakeBalancer(number);
  entry.kind = MemberKind::kAgent;
  entry.service = service;
  entry.slots = 4;
  return entry;
}

MemberTable MakeBalancers(uint32_t count) {
  MemberTable table;
  for (uint32_t number = 1; number <= count; ++number) {
    table = MergeEntries(std::move(table), {MakeBalancer(number)}, TimePoint{1})
                .table;
  }
  return table;
}

BOOST_AUTO_TEST_SUITE(MonitorAndWatcherSelection)

// Guards against daemons that disagree about which balancers monitor a member.
BOOST_AUTO_TEST_CASE(AnyBalancers_Selected_GroupAndPredicateAgree) {
  CheckProperty("IsMonitorOf and MonitorsOf agree", [] {
    const uint32_t count = static_cast<uint32_t>(AnyNumber(1, 12));
    const std::vector<Endpoint> ready = ReadyBalancers(MakeBalancers(count));
    const uint32_t number = static_cast<uint32_t>(AnyNumber(1, 14));
    const MemberEntry member =
        AnyNumber(0, 1) == 0 ? MakeBalancer(number)
                             : MakeAgent(50, "s" + std::to_string(number));
    const std::vector<Endpoint> monitors = MonitorsOf(member, ready);
    RC_ASSERT(std::count(monitors.begin(), monitors.end(), member.id) == 0);
    const size_t others =
        ready.size() -
        static_cast<size_t>(std::count(ready.begin(), ready.end(), member.id));
    RC_ASSERT(monitors.size() == std::min(kMonitorsPerGroup, others));
    for (const Endpoint& balancer : ready) {
      const bool is_chosen =
          std::count(monitors.begin(), monitors.end(), balancer) > 0;
      RC_ASSERT(IsMonitorOf(balancer, member, ready) == is_chosen);
    }
    RC_ASSERT(!IsMonitorOf(Endpoint{99, 7'000}, member, ready));
  });
}

// Guards against a rolling deploy that reassigns the platform watch of a domain
// at every step.
BOOST_AUTO_TEST_CASE(OtherBalancerLeaves_WatchersChosen_Stay) {
  const std::vector<Endpoint> all = ReadyBalancers(MakeBalancers(8));
  const std::vector<Endpoint> watchers = WatchersOf("catania", all);
  BOOST_REQUIRE(watchers.size() == kWatchersPerDomain);
  for (const Endpoint& leaving : all) {
    if (std::count(watchers.begin(), watchers.end(), leaving) > 0) continue;
    std::vector<Endpoint> rest = all;
    rest.erase(std::find(rest.begin(), rest.end(), leaving));
    BOOST_CHECK(WatchersOf("catania", rest) == watchers);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BootstrapList)

// Guards against a list that is rewritten at every restart of a balancer, and
// against one that names only dead balancers.
BOOST_AUTO_TEST_CASE(AnyList_Decided_WrittenOnlyWhenNeededAndThenSufficient) {
  CheckProperty("a written list needs no further write", [] {
    const MemberTable table =
        MakeBalancers(static_cast<uint32_t>(AnyNumber(0, 12)));
    std::vector<Endpoint> present;
    const int64_t listed = AnyNumber(0, 8);
    for (int64_t index = 0; index < listed; ++index) {
      const Endpoint id{static_cast<uint32_t>(AnyNumber(1, 20)), 7'000};
      if (std::count(present.begin(), present.end(), id) == 0) {
        present.push_back(id);
      }
    }
    const std::optional<std::vector<Endpoint>> list =
        DecideBootstrapList(present, "catania", table);
    RC_ASSERT(!DecideBootstrapList(list.value_or(present), "catania", table)
                   .has_value());
    if (!list.has_value()) return;
    RC_ASSERT(list->size() <= kMaxBootstrapEntries);
    RC_ASSERT(ParseBootstrapList(FormatBootstrapList(*list)) == *list);
    for (const Endpoint& id : *list) RC_ASSERT(table.members.count(id) == 1U);
  });
  BOOST_TEST(!DecideBootstrapList({}, "palermo", MakeBalancers(3)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlatformCallSchedule)

// Guards against a fleet that calls a failing platform ever more often.
BOOST_AUTO_TEST_CASE(PlatformDown_HourPasses_CallsAreFew) {
  Random random(1);
  PlatformSchedule schedule;
  size_t reads = 0;
  size_t watches = 0;
  for (TimePoint now{0}; now < TimePoint{3'600'000}; now = now + Millis{250}) {
    const DueCalls due = DecideCalls(schedule, true, now);
    schedule = due.schedule;
    BOOST_TEST(!due.read_periodic);
    if (due.read_all) {
      ++reads;
      schedule = RecordReadResult(schedule, true, false, now, random);
    }
    if (due.watch) {
      ++watches;
      schedule = RecordWatchResult(schedule, 0, false, now, random);
    }
  }
  // At the maximum delays, halved by the jitter, plus the first few attempts.
  BOOST_TEST(reads <= 3'600 / 15 + 8U);
  BOOST_TEST(watches <= 3'600 * 2 / 5 + 8U);
}

// Guards against every balancer keeping a watch on the platform.
BOOST_AUTO_TEST_CASE(NotAWatcher_TimePasses_ReadsOnce) {
  Random random(1);
  PlatformSchedule schedule;
  size_t calls = 0;
  for (TimePoint now{0}; now < TimePoint{600'000}; now = now + Millis{250}) {
    const DueCalls due = DecideCalls(schedule, false, now);
    schedule = due.schedule;
    BOOST_TEST(!due.watch);
    if (!due.read_all && !due.read_periodic) continue;
    ++calls;
    schedule = RecordReadResult(schedule, due.read_all, true, now, random);
  }
  BOOST_TEST(calls == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

struct TwoMonitoredAgents {
  TwoMonitoredAgents() {
    for (uint32_t number = 1; number <= 2; ++number) {
      const MemberEntry agent = MakeAgent(number, "probe-hub");
      table = MergeEntries(std::move(table), {agent}, now).table;
      monitored[agent.id] =
          MonitoredMember{now, true, UpstreamLoad{100 * number, 0, 0, 0}, 0, 0};
    }
  }
  TimePoint now{10'000};
  MemberTable table;
  MonitoredMembers monitored;
};

BOOST_FIXTURE_TEST_SUITE(ServiceMeans, TwoMonitoredAgents)

BOOST_AUTO_TEST_CASE(LoadsKnown_Computed_FlowsPerSlot) {
  BOOST_TEST(ComputeMeans(monitored, table, now).at("probe-hub") == 300.0 / 8);
}

// Guards against a new monitor that announces the load of the first agent as
// the mean of the service.
BOOST_AUTO_TEST_CASE(OneWithoutHeartbeat_Computed_WaitsForIt) {
  monitored[Endpoint{2, 7'000}] = MonitoredMember{now};
  BOOST_TEST(ComputeMeans(monitored, table, now).empty());
  monitored[Endpoint{1, 7'000}].last_heartbeat = now + kFirstHeartbeatTimeout;
  BOOST_TEST(ComputeMeans(monitored, table, now + kFirstHeartbeatTimeout)
                 .at("probe-hub") == 25);
}

// Guards against means that use up the control bandwidth of the fleet.
BOOST_AUTO_TEST_CASE(SmallOrFrequentChanges_Published_AreSuppressed) {
  MeanOutcome outcome = PublishMeans({}, {{"a", 100}}, 1, Endpoint{1, 1}, now);
  BOOST_TEST(outcome.accepted.size() == 1U);
  outcome = PublishMeans(std::move(outcome.known), {{"a", 102}}, 1,
                         Endpoint{1, 1}, now + Millis{5'000});
  BOOST_TEST(outcome.accepted.empty());
  outcome = PublishMeans(std::move(outcome.known), {{"a", 103}}, 1,
                         Endpoint{2, 1}, now + Millis{5'000});
  BOOST_REQUIRE(outcome.accepted.size() == 1U);
  BOOST_TEST(outcome.accepted[0].sequence == 2U);
  outcome = PublishMeans(std::move(outcome.known), {{"a", 200}}, 80,
                         Endpoint{1, 1}, now + Millis{14'000});
  BOOST_TEST(outcome.accepted.empty());
}

BOOST_AUTO_TEST_CASE(AnyMeans_Merged_HighestSequenceWinsInAnyOrder) {
  CheckProperty("merge of means does not depend on the order", [] {
    std::vector<ServiceMean> means;
    const int64_t count = AnyNumber(1, 6);
    for (int64_t index = 0; index < count; ++index) {
      const uint32_t monitor = static_cast<uint32_t>(AnyNumber(1, 3));
      const uint64_t sequence = static_cast<uint64_t>(AnyNumber(1, 3));
      means.push_back(ServiceMean{"a", static_cast<double>(monitor + sequence),
                                  Endpoint{monitor, 1}, sequence});
    }
    const KnownMeans forward = MergeMeans({}, means, TimePoint{1}).known;
    std::reverse(means.begin(), means.end());
    const KnownMeans backward = MergeMeans({}, means, TimePoint{1}).known;
    RC_ASSERT(forward.at("a").mean == backward.at("a").mean);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
