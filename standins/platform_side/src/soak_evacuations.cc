// Evacuations of failure domains in a soak run, and their check.
#include <algorithm>
#include <array>
#include <set>

#include "medlarwinch/platform_side/soak_run.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr const char* kEvacuationKind = "evacuations";
constexpr std::array<const char*, 3> kFailureDomains = {"d1", "d2", "d3"};
// No opening may reach an evacuated upstream later than this after the store
// has acknowledged the evacuation. Also how long a process counts as disturbed
// after a fault.
constexpr Millis kMaxEvacuationDelay{5'000};
// Ranges of the durations of evacuations and of the times between them. The
// long evacuations outlast kMaxEvacuationDelay, the short ones follow each
// other within the time that a change needs to reach the agents.
constexpr uint64_t kMinEvacuationMs = 100;
constexpr uint64_t kMaxShortEvacuationMs = 1'500;
constexpr uint64_t kMaxLongEvacuationMs = 12'000;
constexpr uint64_t kMaxEvacuationIntervalMs = 2'500;

}  // namespace

std::string SoakRun::FailureDomainOf(int index) const {
  if (!settings_.evacuations) return kFailureDomains[0];
  return kFailureDomains[static_cast<size_t>(index) % kFailureDomains.size()];
}

void SoakRun::Evacuate(const std::string& failure_domain, Millis duration) {
  LogEvent("evacuate " + failure_domain + " for " +
           std::to_string(duration.value) + " ms");
  const TimePoint now = MonotonicNow();
  const auto [position, is_new] = evacuations_.try_emplace(failure_domain);
  if (is_new) {
    store_.Put(kEvacuationKind, failure_domain, nlohmann::json::object());
    position->second.acknowledged_at = now;
  }
  position->second.ends_at = now + duration;
}

// The times and domains are drawn from a random sequence of their own, so that
// a seed draws the same other faults with and without evacuations.
void SoakRun::TickEvacuations(TimePoint now) {
  for (auto position = evacuations_.begin(); position != evacuations_.end();) {
    if (now < position->second.ends_at) {
      ++position;
      continue;
    }
    LogEvent("end the evacuation of " + position->first);
    store_.Remove(kEvacuationKind, position->first);
    position = evacuations_.erase(position);
  }
  if (now < next_evacuation_) return;
  next_evacuation_ =
      now + Millis{static_cast<int64_t>(evacuation_random_() %
                                        kMaxEvacuationIntervalMs)};
  const size_t domain = evacuation_random_() % kFailureDomains.size();
  const uint64_t longest = evacuation_random_() % 2 == 0 ? kMaxShortEvacuationMs
                                                         : kMaxLongEvacuationMs;
  Evacuate(kFailureDomains[domain],
           Millis{static_cast<int64_t>(kMinEvacuationMs +
                                       evacuation_random_() % longest)});
}

// Writes the operators' intent after a restored store has lost a part of it.
void SoakRun::RewriteEvacuations() {
  for (const char* failure_domain : kFailureDomains) {
    store_.Remove(kEvacuationKind, failure_domain);
  }
  for (auto& [failure_domain, evacuation] : evacuations_) {
    store_.Put(kEvacuationKind, failure_domain, nlohmann::json::object());
    evacuation.acknowledged_at = MonotonicNow();
  }
}

bool SoakRun::CanServeWithout(const std::string& failure_domain) const {
  std::set<std::string> services;
  for (const std::unique_ptr<UpstreamVm>& vm : vms_) {
    const SimulatedUpstreamSettings& settings = vm->upstream_settings;
    if (settings.failure_domain == failure_domain) continue;
    if (vm->upstream != nullptr && vm->upstream->is_draining()) continue;
    services.insert(settings.service);
  }
  return services.size() == 2;
}

// One domain stays evacuated until the end of the run, where no fault excuses
// an opening. Upstreams that drain at that time stay so, and the others must
// serve the final requests.
void SoakRun::BeginFinalEvacuation() {
  for (auto& [failure_domain, evacuation] : evacuations_) {
    evacuation.ends_at = TimePoint{};
  }
  next_evacuation_ = MonotonicNow() + kMaxEvacuationDelay * 1'000;
  const size_t first = evacuation_random_() % kFailureDomains.size();
  for (size_t offset = 0; offset < kFailureDomains.size(); ++offset) {
    const std::string failure_domain =
        kFailureDomains[(first + offset) % kFailureDomains.size()];
    if (!CanServeWithout(failure_domain)) continue;
    Evacuate(failure_domain, kMaxEvacuationDelay * 1'000);
    return;
  }
}

void SoakRun::CheckEvacuation(const UpstreamVm& vm) {
  const auto found = evacuations_.find(vm.upstream_settings.failure_domain);
  if (found == evacuations_.end()) return;
  const TimePoint now = MonotonicNow();
  const auto is_undisturbed = [now](const Daemon& daemon) {
    return !daemon.is_paused && now - daemon.disrupted_at > kMaxEvacuationDelay;
  };
  const bool is_late =
      now - found->second.acknowledged_at > kMaxEvacuationDelay;
  const bool is_store_undisturbed =
      now - store_disrupted_at_ > kMaxEvacuationDelay;
  if (!is_late || !is_store_undisturbed) return;
  if (!is_undisturbed(*daemons_[vm.daemon])) return;
  // One balancer that reaches the store is enough to tell every agent.
  const bool is_balancer_connected = std::any_of(
      daemons_.begin(), daemons_.end(),
      [&](const std::unique_ptr<Daemon>& daemon) {
        return !daemon->is_agent && daemon->fault == StoreFault::kNone &&
               is_undisturbed(*daemon);
      });
  if (!is_balancer_connected) return;
  ReportViolation("an opening reached an upstream of the evacuated domain " +
                  found->first);
}

}  // namespace medlarwinch
