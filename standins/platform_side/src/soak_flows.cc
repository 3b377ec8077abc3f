// The check that open flows are neither reset nor sent to other upstreams while
// their own upstream runs.
#include "medlarwinch/platform_side/soak_configuration.h"
#include "medlarwinch/platform_side/soak_run.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// After a fault, flows are checked only where the machines concerned and the
// store were not disrupted for this long.
constexpr Millis kStabilityWindow{4'000};
// A flow is broken if for kReorderTime at least kMaxForeignPackets of its
// packets reach other upstreams and none its own. The time counts from the
// first of these packets or, with SoakSettings::counts_pauses, from the last
// packet that reached the flow's own upstream.
constexpr Millis kReorderTime{2'000};
constexpr size_t kMaxForeignPackets = 3;
// How long balancers may act on a configuration after a newer one.
constexpr Millis kMaxConfigurationDelay{3'000};
// The balancer may discard flows that are older or idle for longer.
constexpr Millis kMaxFlowAge{60'000};
constexpr Millis kMaxIdleTime{15'000};

std::string Describe(const FlowTuple& flow) {
  return ToString(flow.caller) + " to " + ToString(flow.service_address);
}

}  // namespace

SoakRun::UpstreamVm* SoakRun::OwnerOf(const FlowTuple& flow) const {
  for (const std::unique_ptr<UpstreamVm>& vm : vms_) {
    if (vm->upstream == nullptr) continue;
    if (vm->upstream->FindOpenFlow(flow).has_value()) return vm.get();
  }
  return nullptr;
}

bool SoakRun::IsDaemonStable(const Daemon& daemon, TimePoint now) const {
  return settings_.planned || now - daemon.disrupted_at >= kStabilityWindow;
}

bool SoakRun::IsRouteRemoved(const FlowTuple& flow,
                             const UpstreamVm& owner) const {
  const Endpoint& address = flow.service_address;
  if (RemovesRoute(address, configuration_version_)) return true;
  const auto removed = route_removed_at_.find(address);
  if (removed == route_removed_at_.end()) return false;
  return owner.upstream->FindOpenFlow(flow)->opened_at <=
         removed->second + kMaxConfigurationDelay;
}

// Faults excuse a flow whose own VM or the store was disrupted. Planned work
// excuses none. A start of the upstream is a disruption of its VM; only runs
// with series also restart upstreams beside an undisrupted agent.
bool SoakRun::IsFlowJudged(const UpstreamVm& owner, const FlowTuple& flow,
                           TimePoint now) const {
  const OpenFlow open = *owner.upstream->FindOpenFlow(flow);
  if (now - open.opened_at >= kMaxFlowAge) return false;
  if (now - open.last_packet_at >= kMaxIdleTime) return false;
  if (IsRouteRemoved(flow, owner)) return false;
  if (settings_.planned) return true;
  const bool has_just_started =
      settings_.series && now - owner.upstream_started < kStabilityWindow;
  return !has_just_started && IsDaemonStable(*daemons_[owner.daemon], now) &&
         now - store_disrupted_at_ >= kStabilityWindow;
}

void SoakRun::CheckReset(const FlowTuple& flow, uint32_t sender) {
  const TimePoint now = MonotonicNow();
  // The caller sends nothing more on this flow.
  misdirections_.erase(flow);
  const UpstreamVm* owner = OwnerOf(flow);
  if (owner == nullptr || IsRouteRemoved(flow, *owner)) return;
  const bool is_judged = IsFlowJudged(*owner, flow, now);
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (daemon->ip != sender) continue;
    const Daemon& agent = *daemons_[owner->daemon];
    const std::string what =
        "an open flow was reset by " + daemon->name +
        " while its upstream holds the flow: " + Describe(flow) +
        ", upstream of " + agent.name;
    if (is_judged && IsDaemonStable(*daemon, now)) {
      ReportViolation(what);
      continue;
    }
    const auto age = [now](TimePoint time) {
      return std::to_string((now - time).value) + " ms";
    };
    LogEvent(
        "excused: " + what + ", sender disrupted " + age(daemon->disrupted_at) +
        " ago, agent " + age(agent.disrupted_at) + ", upstream started " +
        age(owner->upstream_started) + ", store " + age(store_disrupted_at_));
  }
}

void SoakRun::RecordForeignPacket(const FlowTuple& flow,
                                  const UpstreamVm& receiver) {
  const TimePoint now = MonotonicNow();
  const UpstreamVm* owner = OwnerOf(flow);
  if (owner == nullptr || owner == &receiver) return;
  if (!IsFlowJudged(*owner, flow, now)) return;
  const Daemon& balancer = BalancerDaemonOf(flow);
  const bool is_paused =
      balancer.is_paused || daemons_[owner->daemon]->is_paused;
  const bool is_cut_off = balancer.fault != StoreFault::kNone;
  if (is_paused || is_cut_off || !IsDaemonStable(balancer, now)) return;
  Misdirection& misdirection = misdirections_[flow];
  misdirection.times.push_back(now);
  const TimePoint last_own =
      owner->upstream->FindOpenFlow(flow)->last_packet_at;
  const bool was_silent = now - last_own >= kReorderTime;
  const bool is_new = misdirection.times.size() == kMaxForeignPackets;
  if (!was_silent || !is_new) return;
  ++misdirected_after_pause_;
  const std::string what = DescribeMisdirection(flow, *owner) + ", after " +
                           std::to_string((now - last_own).value) +
                           " ms without a packet at its own";
  if (settings_.counts_pauses) {
    ReportViolation(what);
  } else {
    LogEvent(what);
  }
}

std::string SoakRun::DescribeMisdirection(const FlowTuple& flow,
                                          const UpstreamVm& owner) const {
  return std::to_string(misdirections_.at(flow).times.size()) +
         " packets of an open flow reached other upstreams: " + Describe(flow) +
         ", upstream of " + daemons_[owner.daemon]->name;
}

void SoakRun::CheckMisdirections(TimePoint now) {
  for (auto position = misdirections_.begin();
       position != misdirections_.end();) {
    const FlowTuple& flow = position->first;
    Misdirection& misdirection = position->second;
    std::deque<TimePoint>& times = misdirection.times;
    const UpstreamVm* owner = OwnerOf(flow);
    const bool is_over =
        owner == nullptr ||
        owner->upstream->FindOpenFlow(flow)->last_packet_at >= times.back();
    if (is_over) {
      position = misdirections_.erase(position);
      continue;
    }
    ++position;
    const bool is_broken = times.size() >= kMaxForeignPackets &&
                           now - times.front() >= kReorderTime;
    if (!is_broken || misdirection.is_reported) continue;
    misdirection.is_reported = true;
    ReportViolation(DescribeMisdirection(flow, *owner) + ", none its own for " +
                    std::to_string((now - times.front()).value) + " ms");
  }
}

}  // namespace medlarwinch
