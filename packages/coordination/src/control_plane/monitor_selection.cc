#include "medlarwinch/coordination/control_plane/monitor_selection.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kServiceSeed = 1;
constexpr uint64_t kBalancerSeed = 2;
constexpr uint64_t kWatcherSeed = 3;

using Ranked = std::pair<uint64_t, Endpoint>;

bool RanksHigher(const Ranked& a, const Ranked& b) {
  if (a.first != b.first) return a.first > b.first;
  return a.second < b.second;
}

}  // namespace

uint64_t ServiceGroupKey(const std::string& service) {
  return HashKey(service, kServiceSeed);
}

uint64_t MonitorGroupKey(const MemberEntry& entry) {
  if (entry.kind == MemberKind::kAgent) return ServiceGroupKey(entry.service);
  return HashKeyWithNode(kBalancerSeed, entry.id);
}

std::vector<Endpoint> SelectByRendezvousHash(
    uint64_t key, const std::vector<Endpoint>& candidates, size_t count,
    const Endpoint& excluded) {
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const Endpoint& candidate : candidates) {
    if (candidate == excluded) continue;
    ranked.emplace_back(HashKeyWithNode(key, candidate), candidate);
  }
  const size_t chosen_count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen_count),
                    ranked.end(), RanksHigher);
  std::vector<Endpoint> chosen;
  for (size_t index = 0; index < chosen_count; ++index) {
    chosen.push_back(ranked[index].second);
  }
  return chosen;
}

std::vector<Endpoint> MonitorsOf(const MemberEntry& entry,
                                 const std::vector<Endpoint>& ready_balancers) {
  return SelectByRendezvousHash(MonitorGroupKey(entry), ready_balancers,
                                kMonitorsPerGroup, entry.id);
}

bool IsMonitorOf(const Endpoint& self, const MemberEntry& entry,
                 const std::vector<Endpoint>& ready_balancers) {
  if (self == entry.id) return false;
  const uint64_t key = MonitorGroupKey(entry);
  const Ranked own{HashKeyWithNode(key, self), self};
  size_t better = 0;
  bool is_ready = false;
  for (const Endpoint& candidate : ready_balancers) {
    if (candidate == entry.id) continue;
    if (candidate == self) {
      is_ready = true;
      continue;
    }
    const Ranked other{HashKeyWithNode(key, candidate), candidate};
    if (!RanksHigher(other, own)) continue;
    if (++better == kMonitorsPerGroup) return false;
  }
  return is_ready;
}

std::vector<Endpoint> WatchersOf(const std::string& failure_domain,
                                 const std::vector<Endpoint>& ready_balancers) {
  return SelectByRendezvousHash(HashKey(failure_domain, kWatcherSeed),
                                ready_balancers, kWatchersPerDomain,
                                Endpoint{});
}

}  // namespace medlarwinch
