#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// How a new flow finds its upstream.
enum class PlacementPolicy {
  /// The first candidate of the routing table.
  kPlainHash,
  /// The upstream with the fewest reported flows per slot.
  kLeastLoaded,
  /// The better one, by reports, of the first two candidates.
  kTwoChoices,
  /// The candidates of the routing table decide in turn by their own count.
  kAcceptance,
};

/// A policy with its parameters.
struct Placement {
  PlacementPolicy policy = PlacementPolicy::kPlainHash;
  /// Time between two reports of an upstream.
  Millis report_interval{1'000};
  double margin_percent = 0.5;
  uint32_t candidates = 2;

  /// Text for tables, such as "acceptance, margin 0.5 %".
  std::string Name() const;
};

enum class UpstreamEventKind {
  /// The upstream becomes ready without flows.
  kJoin,
  /// The upstream drains: it takes no new flow, and callers reopen theirs
  /// elsewhere.
  kDrain,
  /// From now on the upstream reports `factor` times its flows.
  kMisreport,
};

/// Something that happens to one upstream.
struct UpstreamEvent {
  Millis at{0};
  UpstreamEventKind kind = UpstreamEventKind::kJoin;
  size_t upstream = 0;
  double factor = 1;
};

/// A service and what happens to it. Upstreams are ready from the start unless
/// their first event is kJoin.
struct ImbalanceCase {
  std::string name;
  /// Slots of each upstream.
  std::vector<uint32_t> slots;
  double new_flows_per_second = 1'000;
  /// Mean of the lifetimes, which follow a Pareto distribution of shape 1.5 up
  /// to one hour.
  double mean_lifetime_seconds = 14;
  /// Time before the first measurement.
  Millis warm_up{120'000};
  Millis duration{180'000};
  std::vector<UpstreamEvent> events;
};

/// Max/mean of the flows per slot over the ready upstreams.
struct ImbalanceResult {
  /// Mean and maximum over all samples after the warm-up, ten a second.
  double mean = 0;
  double max = 0;
  /// Highest value 10 s after an event; 0 without one.
  double after_event = 0;
  /// Longest time from an event until the value stays at or below 1.10 up to
  /// the next event; negative when it did not.
  Millis settled_after{0};
  /// Share of the new flows that an upstream passed on.
  double passed_on = 0;

  friend bool operator==(const ImbalanceResult&,
                         const ImbalanceResult&) = default;
};

/// Runs one case under one policy; the same arguments give the same result.
ImbalanceResult RunImbalanceModel(const ImbalanceCase& model_case,
                                  const Placement& placement, uint64_t seed);

/// The cases of docs/benchmarks.md.
std::vector<ImbalanceCase> ImbalanceCases();

/// The policies of docs/benchmarks.md.
std::vector<Placement> ImbalancePlacements();

}  // namespace medlarwinch
