// Checks of the configuration versions that each balancer has in force.
#include <algorithm>
#include <utility>

#include "medlarwinch/standins/invariant_checks.h"

namespace medlarwinch {
namespace {

// Lifetime of one balancer process.
struct BalancerLifetime {
  std::string name;
  int64_t begin_ms = 0;
  int64_t end_ms = INT64_MAX;
  // Periods during which the runner had stopped the process.
  std::vector<std::pair<int64_t, int64_t>> frozen_periods;
  // Time and version of each config_seen event in log order, by service.
  std::map<std::string, std::vector<std::pair<int64_t, int64_t>>> seen_versions;
};

std::vector<BalancerLifetime> FindBalancerLifetimes(const RunLogs& logs) {
  std::vector<BalancerLifetime> lifetimes;
  std::map<std::string, size_t> current;
  for (const EventRecord& step : logs.steps) {
    const std::string& name = step.Field("balancer");
    if (step.event == "balancer_started") {
      current[name] = lifetimes.size();
      lifetimes.push_back(BalancerLifetime{name, step.time, INT64_MAX, {}, {}});
      continue;
    }
    const auto found = current.find(name);
    if (found == current.end()) continue;
    BalancerLifetime& lifetime = lifetimes[found->second];
    if (step.event == "balancer_gone") lifetime.end_ms = step.time;
    if (step.event == "balancer_frozen") {
      lifetime.frozen_periods.emplace_back(step.time, INT64_MAX);
    }
    if (step.event == "balancer_thawed" && !lifetime.frozen_periods.empty()) {
      lifetime.frozen_periods.back().second = step.time;
    }
    if (step.event == "config_seen") {
      lifetime.seen_versions[step.Field("service")].emplace_back(
          step.time, step.Number("version"));
    }
  }
  return lifetimes;
}

// Time at which a balancer could first apply the change: a frozen process
// cannot apply it before it resumes.
int64_t EffectiveApplyTime(const BalancerLifetime& lifetime,
                           const EventRecord& applied) {
  for (const auto& [begin, end] : lifetime.frozen_periods) {
    if (begin <= applied.time && applied.time < end) return end;
  }
  return applied.time;
}

// Milliseconds from `applied` until the balancer had the version in force;
// negative if it never had.
int64_t ActivationDelayMs(const BalancerLifetime& lifetime,
                          const EventRecord& applied) {
  const auto found = lifetime.seen_versions.find(applied.Field("service"));
  if (found == lifetime.seen_versions.end()) return -1;
  for (const auto& [time, version] : found->second) {
    if (version >= applied.Number("version")) {
      return std::max<int64_t>(0, time - EffectiveApplyTime(lifetime, applied));
    }
  }
  return -1;
}

// Returns whether the balancer ran from before the change until after the
// limit.
bool IsActivationRequired(const BalancerLifetime& lifetime,
                          const EventRecord& applied, int64_t limit_ms) {
  const int64_t begin_ms = EffectiveApplyTime(lifetime, applied);
  return lifetime.begin_ms <= applied.time && begin_ms < INT64_MAX - limit_ms &&
         lifetime.end_ms > begin_ms + limit_ms;
}

}  // namespace

CheckResult CheckConfiguration(const RunLogs& logs, int64_t limit_ms) {
  CheckResult result{"configurations take effect and never revert", 0, {}};
  for (const BalancerLifetime& lifetime : FindBalancerLifetimes(logs)) {
    for (const auto& [service, versions] : lifetime.seen_versions) {
      int64_t highest = 0;
      for (const auto& [time, version] : versions) {
        if (version < highest) {
          result.Add(lifetime.name + " reverted to version " +
                     std::to_string(version) + " of " + service + " at " +
                     std::to_string(time));
        }
        highest = std::max(highest, version);
      }
    }
    for (const EventRecord& step : logs.steps) {
      if (step.event != "config_applied") continue;
      if (!IsActivationRequired(lifetime, step, limit_ms)) continue;
      const int64_t delay = ActivationDelayMs(lifetime, step);
      if (delay >= 0 && delay <= limit_ms) continue;
      result.Add(lifetime.name + " had version " + step.Field("version") +
                 " of " + step.Field("service") + " after " +
                 std::to_string(delay) + " ms");
    }
  }
  return result;
}

std::vector<int64_t> ConfigurationActivationDelays(const RunLogs& logs) {
  std::vector<int64_t> delays;
  for (const BalancerLifetime& lifetime : FindBalancerLifetimes(logs)) {
    for (const EventRecord& step : logs.steps) {
      if (step.event != "config_applied") continue;
      const bool was_running =
          lifetime.begin_ms <= step.time && lifetime.end_ms > step.time;
      const int64_t delay = ActivationDelayMs(lifetime, step);
      if (was_running && delay >= 0) delays.push_back(delay);
    }
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

}  // namespace medlarwinch
