#include "medlarwinch/coordination/packet_path/domain_spill.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

// Three domains with 40 slots each, one service time of 100 ms and one balancer
// for each domain. The load of a domain follows what the balancers send there
// with a delay of about a second, as the averages in the reports do.
struct SpillModel {
  static constexpr double kSlots = 40;
  static constexpr double kWorkMs = 100;

  explicit SpillModel(std::map<std::string, double> demand, RequestKind kind)
      : demand_(std::move(demand)), kind_(kind), reported_(demand_) {}

  double ShareOf(const std::string& domain) const {
    const auto spill = spills_.find(domain);
    if (spill == spills_.end() || spill->second.receivers.empty()) return 0;
    return spill->second.shares[static_cast<size_t>(kind_)];
  }

  void Step() {
    std::map<std::string, DomainFigures> figures;
    std::map<std::string, double> loads;
    for (const auto& [domain, load] : reported_) {
      figures[domain] = DomainFigures{kSlots, load * kSlots, false};
    }
    for (const auto& [domain, demand] : demand_) {
      DomainSpill& spill = spills_[domain];
      UpdateDomainSpill(spill, domain, figures, kWorkMs, now_);
      const double share = ShareOf(domain);
      loads[domain] += demand * (1 - share);
      for (const auto& [receiver, part] : spill.receivers) {
        loads[receiver] += demand * share * part;
        sends_to_[domain][receiver] = share > 0;
      }
    }
    for (auto& [domain, load] : reported_) {
      load += (loads[domain] - load) * 0.25;
    }
    now_ = now_ + kDomainSpillInterval;
  }

  void Run(Millis duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) Step();
  }

  std::map<std::string, double> demand_;
  RequestKind kind_;
  std::map<std::string, double> reported_;
  std::map<std::string, DomainSpill> spills_;
  /// Whether the first domain ever sent flows to the second one.
  std::map<std::string, std::map<std::string, bool>> sends_to_;
  TimePoint now_{10'000};
};

BOOST_AUTO_TEST_SUITE(DomainSpillTest)

// Guards against bytes between domains that save no wait.
BOOST_AUTO_TEST_CASE(BalancedDomains_AnyLoad_SendNothing) {
  for (const double load : {0.1, 0.6, 0.95, 2.0}) {
    SpillModel model({{"a", load}, {"b", load * 1.02}, {"c", load * 0.98}},
                     RequestKind::kUnsafe);
    model.Run(Millis{5'000});
    BOOST_TEST(model.ShareOf("a") + model.ShareOf("b") + model.ShareOf("c") ==
               0);
  }
}

// Guards against a share that misses the excess or that oscillates.
BOOST_AUTO_TEST_CASE(OneOverloadedDomain_TwentySeconds_SendsItsExcess) {
  SpillModel model({{"a", 1.5}, {"b", 0.6}, {"c", 0.6}}, RequestKind::kUnsafe);
  double highest = 0;
  double before = 0;
  for (int step = 0; step < 40; ++step) {
    model.Step();
    const double share = model.ShareOf("a");
    BOOST_TEST(std::abs(share - before) <= 0.05 + 1e-9);
    highest = std::max(highest, share);
    before = share;
  }
  model.Run(Millis{5'000});
  const double settled = model.ShareOf("a");
  // The mean is 0.9, so 0.4 of the flows are in excess of it.
  BOOST_TEST(settled > 0.33);
  BOOST_TEST(settled < 0.4);
  BOOST_TEST(highest < settled + 0.1);
  for (int step = 0; step < 20; ++step) {
    model.Step();
    BOOST_TEST(std::abs(model.ShareOf("a") - settled) < 0.01);
  }
  BOOST_TEST(std::abs(model.reported_.at("b") - model.reported_.at("c")) <
             0.05);
}

// Guards against two overloaded domains that exchange their flows.
BOOST_AUTO_TEST_CASE(TwoOverloadedDomains_SendToTheThird_DoNotSwap) {
  SpillModel model({{"a", 1.6}, {"b", 1.3}, {"c", 0.3}}, RequestKind::kUnsafe);
  model.Run(Millis{20'000});
  BOOST_TEST(model.ShareOf("a") > 0.2);
  BOOST_TEST(model.ShareOf("b") > 0.05);
  BOOST_TEST(!model.sends_to_["a"]["b"]);
  BOOST_TEST(!model.sends_to_["b"]["a"]);
  BOOST_TEST(!model.sends_to_["c"]["a"]);
}

// Guards against a domain that counts as free next to a longer queue.
BOOST_AUTO_TEST_CASE(OverloadedDomain_NextToLongerQueue_GetsNothing) {
  const std::map<std::string, DomainFigures> domains = {
      {"a", {40, 320, false}}, {"b", {40, 100, false}}, {"c", {40, 12, false}}};
  for (const std::string own : {"a", "b"}) {
    DomainSpill spill;
    UpdateDomainSpill(spill, own, domains, 100, TimePoint{10'000});
    BOOST_TEST(spill.receivers.size() == 1);
    BOOST_TEST(spill.receivers.count("c") == 1);
  }
}

// Guards against paying for long answers while short ones can leave.
BOOST_AUTO_TEST_CASE(Downloads_ModerateExcess_StayLongerThanUnsafe) {
  const std::map<std::string, double> demand = {
      {"a", 1.0}, {"b", 0.6}, {"c", 0.6}};
  SpillModel downloads(demand, RequestKind::kDownload);
  SpillModel unsafe(demand, RequestKind::kUnsafe);
  downloads.Run(Millis{10'000});
  unsafe.Run(Millis{10'000});
  BOOST_TEST(downloads.ShareOf("a") == 0);
  BOOST_TEST(unsafe.ShareOf("a") > 0.1);
}

// Guards against decisions from figures that have not arrived.
BOOST_AUTO_TEST_CASE(SilentDomain_ShareFreezesTwoSeconds_ThenDecays) {
  DomainSpill spill;
  std::map<std::string, DomainFigures> domains = {{"a", {40, 60, false}},
                                                  {"b", {40, 20, false}}};
  TimePoint now{10'000};
  const auto run = [&](Millis duration) {
    for (const TimePoint end = now + duration; now < end;
         now = now + kDomainSpillInterval) {
      UpdateDomainSpill(spill, "a", domains, 100, now);
    }
    return spill.shares[static_cast<size_t>(RequestKind::kSafe)];
  };
  const double before = run(Millis{3'000});
  BOOST_TEST(before > 0.2);
  domains["b"] = DomainFigures{0, 0, true};
  BOOST_TEST(run(Millis{2'000}) == before);
  const double after = run(Millis{500});
  BOOST_TEST(after < before);
  BOOST_TEST(after > 0);
  BOOST_TEST(run(Millis{3'000}) == 0);
}

struct TwoDomains : RelayWithAgents {
  TwoDomains() {
    std::vector<DirectoryEntry> entries;
    for (uint32_t index = 0; index < kAgents; ++index) {
      entries.push_back(DirectoryEntry{AgentAddress(index), service,
                                       index < 4 ? "catania" : "ragusa",
                                       StoreRevision{1, 2}});
    }
    ApplyListing(relay.directory, entries, StoreRevision{1, 2}, now);
    relay.directory.spills_by_domain = true;
  }

  void Round(UpstreamPhase local_phase, double local_requests) {
    now = now + kDomainSpillInterval;
    for (uint32_t index = 0; index < kAgents; ++index) {
      const bool is_local = index < 4;
      Report(AgentAddress(index),
             is_local ? local_phase : UpstreamPhase::kReady, 4,
             is_local ? local_requests : 2);
    }
    UpdateDomainSpills(relay.directory, now);
  }

  std::vector<PlacementCandidate> Rank(uint16_t port) const {
    return RankUpstreams(relay.directory,
                         *FindRoute(relay.routes, kServiceAddress),
                         FlowFromCaller(CallerPacket(port, 0)), 0, 5, now);
  }

  bool IsLocal(const PlacementCandidate& candidate) const {
    return relay.directory.upstreams.at(candidate.agent).is_local;
  }
};

// Guards against upstreams of the own domain that come after others, and
// against shares that the placement does not follow.
BOOST_FIXTURE_TEST_CASE(Placement_ByDrawnDomain_LeavesByShare, TwoDomains) {
  const auto outside_when_both_known = [&] {
    int mixed = 0;
    int outside = 0;
    for (uint16_t port = 1; port <= 1'000; ++port) {
      const std::vector<PlacementCandidate> ranked = Rank(port);
      const auto is_local = [&](const auto& c) { return IsLocal(c); };
      if (std::all_of(ranked.begin(), ranked.end(), is_local)) continue;
      ++mixed;
      if (!IsLocal(ranked.front())) ++outside;
    }
    return static_cast<double>(outside) / mixed;
  };
  Round(UpstreamPhase::kReady, 2.5);
  BOOST_TEST(outside_when_both_known() == 0);
  for (int round = 0; round < 8; ++round) Round(UpstreamPhase::kReady, 12);
  const double share = relay.directory.spills.at(service).shares[0];
  BOOST_TEST(share > 0.15);
  BOOST_TEST(std::abs(outside_when_both_known() - share) < 0.05);
}

// Guards against shares that rise slowly while there is nobody to take flows.
BOOST_FIXTURE_TEST_CASE(DrainingDomain_FirstRound_GivesEverything, TwoDomains) {
  Round(UpstreamPhase::kReady, 2);
  Round(UpstreamPhase::kDraining, 2);
  BOOST_TEST(relay.directory.spills.at(service).shares[0] == 1);
  BOOST_TEST(!IsLocal(Rank(1).front()));
}

// Guards against another ranking on deployments without the feature.
BOOST_FIXTURE_TEST_CASE(FeatureOff_OverloadedDomain_RanksByLoad, TwoDomains) {
  for (int round = 0; round < 8; ++round) Round(UpstreamPhase::kReady, 12);
  relay.directory.spills_by_domain = false;
  BOOST_TEST(UpdateDomainSpills(relay.directory, now).empty());
  for (uint16_t port = 1; port <= 200; ++port) {
    const std::vector<PlacementCandidate> ranked = Rank(port);
    // With this difference of loads the penalty for other domains is nothing.
    BOOST_TEST(std::is_sorted(
        ranked.begin(), ranked.end(),
        [](const auto& a, const auto& b) { return a.load < b.load; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
