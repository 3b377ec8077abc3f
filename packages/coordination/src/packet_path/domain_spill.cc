#include "medlarwinch/coordination/packet_path/domain_spill.h"

#include <algorithm>
#include <cmath>

#include "medlarwinch/coordination/packet_path/placement_limits.h"
#include "medlarwinch/coordination/packet_path/upstream_directory.h"
#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

// Two exchanges of packets, opening and request, take two ways of 0.9 to 1.4 ms
// each.
constexpr double kWayCostMs = 5;
// Wait that a kilobyte sent between failure domains has to save. Both cost
// operators about 0.002 of the value of an answer, which falls by 0.7 over an
// objective of 300 ms and more. Half of that, because a flow that leaves also
// shortens the wait of those that stay.
constexpr double kMsPerKilobyte = 0.5;
constexpr double kLongAnswerKilobytes = 60;
constexpr double kSafeAnswerKilobytes = 4;
constexpr double kUnsafeAnswerKilobytes = 1;
// A share rises from 0 only if the saving exceeds the cost by this factor.
constexpr double kStartFactor = 1.5;
// Service time before any agent reports one.
constexpr double kDefaultWorkMs = 50;
constexpr double kMaxWorkMs = 60'000;
// Most requests that are believed of an upstream.
constexpr double kMaxRequests = 1'000;
// Weight of the newest figure in the averages, a time constant of about 1 s.
constexpr double kNewFigureWeight = 0.25;
// Part of its slots for which a domain counts at least when the own domain has
// no upstreams, so that no domain is left out.
constexpr double kMinFreePart = 0.05;
constexpr double kReportedChange = 0.1;

// Expected wait in units of the service time at `load` requests a slot, queued
// ones included. Close to a queue with four servers: 0.3 at 0.7, 0.8 at 1.4,
// and 1.9 at 2.7 requests a slot.
double WaitAt(double load) { return load * load / (1 + load); }

// Inverse of WaitAt().
double LoadAt(double wait) {
  return (wait + std::sqrt(wait * wait + 4 * wait)) / 2;
}

// Busy part of the slots at `load`. Approaches 1 in an overload, where the
// queue grows with time and says little about the demand.
double BusyPartAt(double load) { return load / (1 + WaitAt(load)); }

// Inverse of BusyPartAt(), for parts below 1.
double LoadAtBusyPart(double part) {
  return (std::sqrt(1 + 4 * part / (1 - part)) - 1) / 2;
}

double Stepped(double share, double target) {
  const double seconds = static_cast<double>(kDomainSpillInterval.value) / 1000;
  return std::clamp(target, share - kShareFallPerSecond * seconds,
                    share + kShareRisePerSecond * seconds);
}

void NormalizeReceivers(std::map<std::string, double>& receivers) {
  double total = 0;
  for (const auto& [domain, part] : receivers) total += part;
  for (auto& [domain, part] : receivers) part /= total;
}

// Leaves out domains without slots. Returns false while the figures of a domain
// are missing for a short time.
bool UpdateLoads(DomainSpill& spill,
                 const std::map<std::string, DomainFigures>& domains,
                 TimePoint now) {
  bool is_complete = true;
  for (const auto& [domain, figures] : domains) {
    if (!figures.is_silent) {
      spill.silent_since.erase(domain);
      continue;
    }
    const auto [since, is_new] = spill.silent_since.try_emplace(domain, now);
    if (now - since->second < kMaxDomainSilence) is_complete = false;
  }
  std::erase_if(spill.silent_since, [&](const auto& silent) {
    return domains.count(silent.first) == 0;
  });
  if (!is_complete) return false;
  std::erase_if(spill.loads, [&](const auto& known) {
    const auto found = domains.find(known.first);
    return found == domains.end() || found->second.slots <= 0;
  });
  for (const auto& [domain, figures] : domains) {
    if (figures.slots <= 0) continue;
    const double load = figures.requests / figures.slots;
    const auto [known, is_new] = spill.loads.try_emplace(domain, load);
    known->second += (load - known->second) * kNewFigureWeight;
  }
  return true;
}

// Mean busy part of the slots. A mean of requests would be that of the longest
// queue, next to which other overloaded domains would look free.
double MeanBusyPart(const DomainSpill& spill,
                    const std::map<std::string, DomainFigures>& domains) {
  double slots = 0;
  double busy = 0;
  for (const auto& [domain, load] : spill.loads) {
    const double domain_slots = domains.at(domain).slots;
    slots += domain_slots;
    busy += BusyPartAt(load) * domain_slots;
  }
  return slots > 0 ? busy / slots : 0;
}

// The domains below the mean, by what they lack.
void FindReceivers(DomainSpill& spill,
                   const std::map<std::string, DomainFigures>& domains,
                   double mean_busy) {
  for (const auto& [domain, load] : spill.loads) {
    const double lacking = mean_busy - BusyPartAt(load);
    if (lacking <= 0) continue;
    spill.receivers[domain] = domains.at(domain).slots * lacking;
  }
  NormalizeReceivers(spill.receivers);
}

// The own domain has no upstreams: everything leaves, split by free slots.
void GiveEverything(DomainSpill& spill,
                    const std::map<std::string, DomainFigures>& domains) {
  for (const auto& [domain, load] : spill.loads) {
    spill.receivers[domain] =
        domains.at(domain).slots * std::max(1 - load, kMinFreePart);
  }
  const double share = spill.receivers.empty() ? 0 : 1;
  spill.shares.fill(share);
  spill.mean_shares.fill(share);
}

bool IsReportedRecently(const KnownUpstream& upstream, TimePoint now) {
  return now - upstream.last_contact <= kMaxReportAge;
}

struct ServiceFigures {
  std::map<std::string, DomainFigures> domains;
  double work_ms = 0;
  double measured = 0;
};

std::map<ServiceId, ServiceFigures> CollectFigures(
    const UpstreamDirectory& directory, TimePoint now) {
  std::map<ServiceId, ServiceFigures> services;
  for (const auto& [agent, upstream] : directory.upstreams) {
    const AgentReport& report = upstream.report;
    if (report.sequence == 0 || report.phase == UpstreamPhase::kAbsent) {
      continue;
    }
    ServiceFigures& service = services[report.service];
    const auto [position, is_new] =
        service.domains.try_emplace(upstream.entry.failure_domain);
    DomainFigures& domain = position->second;
    if (is_new) domain.is_silent = true;
    if (IsReportedRecently(upstream, now)) domain.is_silent = false;
    if (!AcceptsFlows(upstream, now) || !MayPlaceFlow(directory, upstream)) {
      continue;
    }
    const double share = upstream.flow_share.share;
    domain.slots += share * std::max<uint32_t>(report.slots, 1);
    // A figure from the wire that is not a number counts as 0.
    if (report.mean_outstanding > 0) {
      domain.requests +=
          share * std::min<double>(report.mean_outstanding, kMaxRequests);
    }
    const double work_ms = upstream.load.work_ms;
    if (work_ms > 0 && work_ms <= kMaxWorkMs) {
      service.work_ms += work_ms;
      service.measured += 1;
    }
  }
  return services;
}

}  // namespace

double SpillCostMs(RequestKind kind) {
  double kilobytes = kSafeAnswerKilobytes;
  if (kind == RequestKind::kUnsafe) kilobytes = kUnsafeAnswerKilobytes;
  if (kind == RequestKind::kDownload || kind == RequestKind::kUpload) {
    kilobytes = kLongAnswerKilobytes;
  }
  return kWayCostMs + kilobytes * kMsPerKilobyte;
}

void UpdateDomainSpill(DomainSpill& spill, const std::string& own_domain,
                       const std::map<std::string, DomainFigures>& domains,
                       double work_ms, TimePoint now) {
  if (!UpdateLoads(spill, domains, now)) return;
  spill.receivers.clear();
  const double mean_busy = MeanBusyPart(spill, domains);
  const auto own = spill.loads.find(own_domain);
  spill.other_wait_ms = WaitAt(LoadAtBusyPart(mean_busy)) * work_ms;
  if (own == spill.loads.end()) {
    spill.own_wait_ms = 0;
    GiveEverything(spill, domains);
    NormalizeReceivers(spill.receivers);
    return;
  }
  spill.own_wait_ms = WaitAt(own->second) * work_ms;
  const double own_busy = BusyPartAt(own->second);
  if (own_busy > mean_busy) FindReceivers(spill, domains, mean_busy);
  const bool may_send = !spill.receivers.empty();
  const double saved_ms = spill.own_wait_ms - spill.other_wait_ms;
  for (size_t index = 0; index < kRequestKinds; ++index) {
    double& share = spill.shares[index];
    double& mean_share = spill.mean_shares[index];
    const double cost_ms = SpillCostMs(static_cast<RequestKind>(index));
    // The load at which the next flow saves just what leaving costs. The load
    // without spill is estimated from the share that caused the present one.
    const double wanted = LoadAt((spill.other_wait_ms + cost_ms) / work_ms);
    double target = 0;
    if (may_send) {
      target = 1 - (1 - mean_share) * BusyPartAt(wanted) / own_busy;
    }
    if (share == 0 && saved_ms < cost_ms * kStartFactor) target = 0;
    share = std::clamp(Stepped(share, target), 0.0, 1.0);
    mean_share += (share - mean_share) * kNewFigureWeight;
  }
}

const std::string& DrawDomain(const DomainSpill& spill,
                              const std::string& own_domain, RequestKind kind,
                              const FlowTuple& flow) {
  const double share = spill.shares[static_cast<size_t>(kind)];
  if (share <= 0 || spill.receivers.empty()) return own_domain;
  const uint64_t hash = HashKeyWithNode(HashFlow(flow), Endpoint{});
  const double draw = static_cast<double>(hash >> 11) / 9007199254740992.0;
  if (draw >= share) return own_domain;
  double rest = draw / share;
  for (const auto& [domain, part] : spill.receivers) {
    rest -= part;
    if (rest < 0) return domain;
  }
  return spill.receivers.rbegin()->first;
}

std::vector<DomainSpillChange> UpdateDomainSpills(UpstreamDirectory& directory,
                                                  TimePoint now) {
  std::vector<DomainSpillChange> changes;
  if (!directory.spills_by_domain) return changes;
  const std::map<ServiceId, ServiceFigures> services =
      CollectFigures(directory, now);
  std::erase_if(directory.spills, [&](const auto& known) {
    return services.count(known.first) == 0;
  });
  for (const auto& [service, figures] : services) {
    const double work_ms = figures.measured > 0
                               ? figures.work_ms / figures.measured
                               : kDefaultWorkMs;
    DomainSpill& spill = directory.spills[service];
    UpdateDomainSpill(spill, directory.own_failure_domain, figures.domains,
                      work_ms, now);
    for (size_t index = 0; index < kRequestKinds; ++index) {
      const double share = spill.shares[index];
      double& reported = spill.reported_shares[index];
      const bool is_back = share == 0 && reported > 0;
      if (!is_back && std::abs(share - reported) < kReportedChange) continue;
      changes.push_back({service, static_cast<RequestKind>(index), reported,
                         share, spill.own_wait_ms, spill.other_wait_ms});
      reported = share;
    }
  }
  return changes;
}

}  // namespace medlarwinch
