#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Interval at which UpdateDomainSpills() is to be called.
inline constexpr Millis kDomainSpillInterval{250};
/// A domain whose agents are silent for longer is left out. Until then the
/// shares stay as they are.
inline constexpr Millis kMaxDomainSilence{2'000};
/// Largest changes of a share in a second.
inline constexpr double kShareRisePerSecond = 0.1;
inline constexpr double kShareFallPerSecond = 0.2;

/// The upstreams of a service in one failure domain that accept new flows from
/// this balancer, as of the last reports.
struct DomainFigures {
  /// Slots, each counted by the share of new flows of its upstream.
  double slots = 0;
  /// Requests in progress or queued at these slots.
  double requests = 0;
  /// No agent of the domain has reported recently.
  bool is_silent = false;

  friend bool operator==(const DomainFigures&, const DomainFigures&) = default;
};

/// What part of the new flows of a service leaves the balancer's failure
/// domain.
struct DomainSpill {
  /// Share of the flows of each RequestKind, 0 to 1.
  std::array<double, kRequestKinds> shares{};
  /// Averages of `shares` over about the last second, which `loads` reflect.
  std::array<double, kRequestKinds> mean_shares{};
  /// Average of the requests per slot of each domain over about a second.
  std::map<std::string, double> loads;
  /// The domains that get the flows, with their parts; the parts sum up to 1.
  /// Empty if the own domain is not above the mean load of all.
  std::map<std::string, double> receivers;
  /// Time since which a domain has been silent, by domain.
  std::map<std::string, TimePoint> silent_since;
  /// Expected wait in the own domain and in the mean of all, in milliseconds.
  double own_wait_ms = 0;
  double other_wait_ms = 0;
  /// Shares at the last change that was returned.
  std::array<double, kRequestKinds> reported_shares{};

  friend bool operator==(const DomainSpill&, const DomainSpill&) = default;
};

/// Wait saved from which on a flow of this kind may leave its domain, in
/// milliseconds: the longer way and the price of the response's bytes.
double SpillCostMs(RequestKind kind);

/// Decides the shares from the figures of each domain. `work_ms` is the average
/// service time. To be called every kDomainSpillInterval.
void UpdateDomainSpill(DomainSpill& spill, const std::string& own_domain,
                       const std::map<std::string, DomainFigures>& domains,
                       double work_ms, TimePoint now);

/// Returns the failure domain that a new flow should go to. The same for all
/// copies of an opening while the share does not change.
const std::string& DrawDomain(const DomainSpill& spill,
                              const std::string& own_domain, RequestKind kind,
                              const FlowTuple& flow);

struct UpstreamDirectory;

/// A change of a share by 0.1 or more since the last one that was returned.
struct DomainSpillChange {
  ServiceId service;
  RequestKind kind = RequestKind::kUnspecified;
  double before = 0;
  double after = 0;
  double own_wait_ms = 0;
  double other_wait_ms = 0;
};

/// Updates the spill of each service from the agents' reports and returns the
/// changes. Does nothing unless UpstreamDirectory::spills_by_domain.
std::vector<DomainSpillChange> UpdateDomainSpills(UpstreamDirectory& directory,
                                                  TimePoint now);

}  // namespace medlarwinch
