#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// How the upstream of a new flow is chosen.
enum class PlacementPolicy {
  /// The first candidate of the routing table.
  kPlainHash,
  /// The ready upstream with the fewest reported flows per slot.
  kLeastLoaded,
  /// Of the first two candidates, the one with fewer reported flows per slot.
  kTwoChoices,
  /// Each candidate of the routing table decides in turn by its own flow count.
  kAcceptance,
};

/// A placement policy with its parameters.
struct Placement {
  PlacementPolicy policy = PlacementPolicy::kPlainHash;
  /// Time between two reports of an upstream.
  Millis report_interval{1'000};
  double margin_percent = 0.5;
  uint32_t candidates = 2;

  /// Returns a description for tables, such as "acceptance, 2 candidates,
  /// margin 0.5 %".
  std::string Name() const;
};

enum class UpstreamEventKind {
  /// The upstream becomes ready without flows.
  kJoin,
  /// The upstream drains: it accepts no new flows, and callers reopen their
  /// flows at other upstreams.
  kDrain,
  /// From now on the upstream reports `factor` times its flows.
  kMisreport,
};

/// A change of one upstream at a given time.
struct UpstreamEvent {
  Millis at{0};
  UpstreamEventKind kind = UpstreamEventKind::kJoin;
  size_t upstream = 0;
  double factor = 1;
};

/// A service, its load and its events. An upstream is ready from the start
/// unless its first event is kJoin.
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
  /// Mean and maximum over all samples after the warm-up, 10 per second.
  double mean = 0;
  double max = 0;
  /// Maximum over all events of the value 10 s after the event; 0 without
  /// events.
  double after_event = 0;
  /// Maximum time from an event until the value stays at or below 1.10 up to
  /// the next event; negative if after some event it does not.
  Millis recovery_time{0};
  /// Share of the new flows that their first candidate forwarded.
  double forwarded = 0;

  friend bool operator==(const ImbalanceResult&,
                         const ImbalanceResult&) = default;
};

/// Simulates one case with one policy. Deterministic for given arguments.
ImbalanceResult RunImbalanceModel(const ImbalanceCase& model_case,
                                  const Placement& placement, uint64_t seed);

/// Returns the cases of docs/benchmarks.md.
std::vector<ImbalanceCase> ImbalanceCases();

/// Returns the policies of docs/benchmarks.md.
std::vector<Placement> ImbalancePlacements();

}  // namespace medlarwinch
