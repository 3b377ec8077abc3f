#include <array>
#include <cstdio>

#include "medlarwinch/bench/imbalance_model.h"

namespace medlarwinch {
namespace {

constexpr Millis kEventAt{120'000};

ImbalanceCase MakeCase(const std::string& name, std::vector<uint32_t> slots) {
  ImbalanceCase model_case;
  model_case.name = name;
  model_case.slots = std::move(slots);
  return model_case;
}

// Creates a case for a service of the design's section 1, with about 2,000
// flows per upstream.
ImbalanceCase MakeService(const std::string& name, size_t upstreams,
                          uint32_t slots) {
  constexpr double kFlowsPerUpstream = 2'000;
  ImbalanceCase model_case =
      MakeCase(name, std::vector<uint32_t>(upstreams, slots));
  model_case.new_flows_per_second = kFlowsPerUpstream *
                                    static_cast<double>(upstreams) /
                                    model_case.mean_lifetime_seconds;
  return model_case;
}

// Creates a case in which each upstream in turn drains for 8 s, is down for 2
// s, starts cold and runs for 12 s before the next one drains.
ImbalanceCase MakeRollingDeploy() {
  constexpr Millis kDownAfter{10'000};
  constexpr Millis kPeriod{22'000};
  ImbalanceCase model_case =
      MakeCase("rolling deploy", std::vector<uint32_t>(7, 4));
  for (size_t upstream = 0; upstream < model_case.slots.size(); ++upstream) {
    const Millis start = kEventAt + kPeriod * static_cast<int64_t>(upstream);
    model_case.events.push_back(
        UpstreamEvent{start, UpstreamEventKind::kDrain, upstream, 1});
    model_case.events.push_back(UpstreamEvent{
        start + kDownAfter, UpstreamEventKind::kJoin, upstream, 1});
  }
  model_case.duration = kEventAt + kPeriod * static_cast<int64_t>(7);
  return model_case;
}

}  // namespace

std::string Placement::Name() const {
  std::array<char, 96> text{};
  switch (policy) {
    case PlacementPolicy::kPlainHash:
      return "plain hash";
    case PlacementPolicy::kLeastLoaded:
      std::snprintf(text.data(), text.size(), "least loaded, reports of %d s",
                    static_cast<int>(report_interval.value / 1'000));
      break;
    case PlacementPolicy::kTwoChoices:
      std::snprintf(text.data(), text.size(), "two choices, reports of %d s",
                    static_cast<int>(report_interval.value / 1'000));
      break;
    case PlacementPolicy::kAcceptance:
      std::snprintf(text.data(), text.size(),
                    "acceptance, %u candidates, margin %.1f %%", candidates,
                    margin_percent);
      break;
  }
  return text.data();
}

std::vector<ImbalanceCase> ImbalanceCases() {
  std::vector<ImbalanceCase> cases;
  cases.push_back(MakeCase("steady", std::vector<uint32_t>(7, 4)));
  cases.push_back(MakeService("probe-hub", 7, 4));
  cases.push_back(MakeService("report-desk", 3, 4));
  cases.push_back(MakeService("kiosk-desk", 7, 3));
  cases.push_back(MakeService("depot-manifest", 4, 3));
  cases.push_back(MakeCase("unequal slots", {1, 2, 2, 4, 4, 8, 8}));
  ImbalanceCase cold = MakeCase("cold start", std::vector<uint32_t>(7, 4));
  cold.events = {UpstreamEvent{kEventAt, UpstreamEventKind::kJoin, 6, 1}};
  cases.push_back(cold);
  cases.push_back(MakeRollingDeploy());
  ImbalanceCase half_reported =
      MakeCase("one reports half", std::vector<uint32_t>(7, 4));
  half_reported.events = {
      UpstreamEvent{Millis{0}, UpstreamEventKind::kMisreport, 0, 0.5}};
  cases.push_back(half_reported);
  ImbalanceCase zero_reported =
      MakeCase("one reports none", std::vector<uint32_t>(7, 4));
  zero_reported.events = {
      UpstreamEvent{Millis{0}, UpstreamEventKind::kMisreport, 0, 0}};
  cases.push_back(zero_reported);
  ImbalanceCase one_drained =
      MakeCase("one leaves", std::vector<uint32_t>(7, 4));
  one_drained.events = {
      UpstreamEvent{kEventAt, UpstreamEventKind::kDrain, 3, 1}};
  cases.push_back(one_drained);
  return cases;
}

std::vector<Placement> ImbalancePlacements() {
  std::vector<Placement> placements = {
      Placement{PlacementPolicy::kPlainHash, Millis{1'000}, 0, 1}};
  for (const Millis interval : {Millis{2'000}, Millis{5'000}}) {
    placements.push_back(
        Placement{PlacementPolicy::kLeastLoaded, interval, 0, 1});
    placements.push_back(
        Placement{PlacementPolicy::kTwoChoices, interval, 0, 2});
  }
  for (const double margin : {0.5, 1.0, 2.0, 5.0}) {
    placements.push_back(
        Placement{PlacementPolicy::kAcceptance, Millis{1'000}, margin, 2});
  }
  placements.push_back(
      Placement{PlacementPolicy::kAcceptance, Millis{1'000}, 0.5, 3});
  return placements;
}

}  // namespace medlarwinch
