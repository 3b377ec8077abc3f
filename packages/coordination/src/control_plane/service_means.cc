#include "medlarwinch/coordination/control_plane/service_means.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace medlarwinch {
namespace {

struct Total {
  uint64_t flows = 0;
  uint64_t slots = 0;
  bool is_partial = false;
};

bool IsNewer(const ServiceMean& a, const ServiceMean& b) {
  return std::tie(a.sequence, a.monitor) > std::tie(b.sequence, b.monitor);
}

bool HasChanged(double known, double computed) {
  if (known == computed) return false;
  return std::abs(computed - known) > kMinRelativeMeanChange * std::abs(known);
}

}  // namespace

ComputedMeans ComputeMeans(const MonitoredMembers& monitored,
                           const MemberTable& table, TimePoint now) {
  std::map<std::string, Total> totals;
  for (const auto& [id, member] : monitored) {
    const std::map<Endpoint, MemberRecord>::const_iterator record =
        table.members.find(id);
    if (record == table.members.end()) continue;
    const MemberEntry& entry = record->second.entry;
    if (entry.kind != MemberKind::kAgent) continue;
    if (entry.version.phase != MemberPhase::kReady) continue;
    Total& total = totals[entry.service];
    const Millis age = now - member.last_heartbeat;
    if (!member.has_heartbeat) {
      total.is_partial |= age < kFirstHeartbeatTimeout;
      continue;
    }
    if (age > kMaxLoadAge) continue;
    total.flows += member.load.flows;
    total.slots += entry.slots;
  }
  ComputedMeans means;
  for (const auto& [service, total] : totals) {
    if (total.slots == 0 || total.is_partial) continue;
    means[service] =
        static_cast<double>(total.flows) / static_cast<double>(total.slots);
  }
  return means;
}

MeanOutcome MergeMeans(KnownMeans known, const std::vector<ServiceMean>& means,
                       TimePoint now) {
  MeanOutcome outcome;
  for (const ServiceMean& mean : means) {
    const KnownMeans::iterator current = known.find(mean.service);
    if (current != known.end() && !IsNewer(mean, current->second.mean)) {
      continue;
    }
    if (current == known.end() && known.size() >= kMaxKnownMeans) continue;
    known[mean.service] = KnownMean{mean, now};
    outcome.accepted.push_back(mean);
  }
  outcome.known = std::move(known);
  return outcome;
}

MeanOutcome PublishMeans(KnownMeans known, const ComputedMeans& computed,
                         size_t services, const Endpoint& self, TimePoint now) {
  const Millis interval{std::max<int64_t>(
      1'000, static_cast<int64_t>(services) * 1'000 / kMaxMeansPerSecond)};
  MeanOutcome outcome;
  for (const auto& [service, value] : computed) {
    const KnownMeans::iterator current = known.find(service);
    if (current == known.end()) {
      outcome.accepted.push_back(ServiceMean{service, value, self, 1});
      continue;
    }
    const KnownMean& last = current->second;
    if (!HasChanged(last.mean.mean_flows_per_slot, value)) continue;
    if (now - last.changed < interval) continue;
    outcome.accepted.push_back(
        ServiceMean{service, value, self, last.mean.sequence + 1});
  }
  for (const ServiceMean& mean : outcome.accepted) {
    known[mean.service] = KnownMean{mean, now};
  }
  outcome.known = std::move(known);
  return outcome;
}

}  // namespace medlarwinch
