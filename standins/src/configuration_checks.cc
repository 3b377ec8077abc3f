// The checks that follow each balancer through the versions it has in force.
#include <algorithm>
#include <utility>

#include "medlarwinch/standins/invariant_checks.h"

namespace medlarwinch {
namespace {

// Life of one balancer process.
struct BalancerLife {
  std::string name;
  int64_t from = 0;
  int64_t until = INT64_MAX;
  // Periods in which the process was stopped by the runner.
  std::vector<std::pair<int64_t, int64_t>> frozen;
  // Versions in the order in which they were seen, by service.
  std::map<std::string, std::vector<std::pair<int64_t, int64_t>>> seen;
};

std::vector<BalancerLife> BalancerLives(const RunLogs& logs) {
  std::vector<BalancerLife> lives;
  std::map<std::string, size_t> current;
  for (const EventRecord& step : logs.steps) {
    const std::string& name = step.Field("balancer");
    if (step.event == "balancer_started") {
      current[name] = lives.size();
      lives.push_back(BalancerLife{name, step.time, INT64_MAX, {}, {}});
      continue;
    }
    const auto found = current.find(name);
    if (found == current.end()) continue;
    BalancerLife& life = lives[found->second];
    if (step.event == "balancer_gone") life.until = step.time;
    if (step.event == "balancer_frozen") {
      life.frozen.emplace_back(step.time, INT64_MAX);
    }
    if (step.event == "balancer_thawed" && !life.frozen.empty()) {
      life.frozen.back().second = step.time;
    }
    if (step.event == "config_seen") {
      life.seen[step.Field("service")].emplace_back(step.time,
                                                    step.Number("version"));
    }
  }
  return lives;
}

// When the time of a change begins to count for a balancer: a process that is
// frozen can't take it before it goes on.
int64_t CountsFrom(const BalancerLife& life, const EventRecord& applied) {
  for (const auto& [begin, end] : life.frozen) {
    if (begin <= applied.time && applied.time < end) return end;
  }
  return applied.time;
}

// Time from `applied` until the balancer had the version; negative when it
// never had.
int64_t DelayUntilSeen(const BalancerLife& life, const EventRecord& applied) {
  const auto found = life.seen.find(applied.Field("service"));
  if (found == life.seen.end()) return -1;
  for (const auto& [time, version] : found->second) {
    if (version >= applied.Number("version")) {
      return std::max<int64_t>(0, time - CountsFrom(life, applied));
    }
  }
  return -1;
}

// True when the balancer ran from before the change until the limit had passed.
bool MustHave(const BalancerLife& life, const EventRecord& applied,
              int64_t limit_ms) {
  const int64_t from = CountsFrom(life, applied);
  return life.from <= applied.time && from < INT64_MAX - limit_ms &&
         life.until > from + limit_ms;
}

}  // namespace

CheckResult CheckConfiguration(const RunLogs& logs, int64_t limit_ms) {
  CheckResult result{"configurations come into force and stay", 0, {}};
  for (const BalancerLife& life : BalancerLives(logs)) {
    for (const auto& [service, versions] : life.seen) {
      int64_t highest = 0;
      for (const auto& [time, version] : versions) {
        if (version < highest) {
          result.Add(life.name + " went back to version " +
                     std::to_string(version) + " of " + service + " at " +
                     std::to_string(time));
        }
        highest = std::max(highest, version);
      }
    }
    for (const EventRecord& step : logs.steps) {
      if (step.event != "config_applied") continue;
      if (!MustHave(life, step, limit_ms)) continue;
      const int64_t delay = DelayUntilSeen(life, step);
      if (delay >= 0 && delay <= limit_ms) continue;
      result.Add(life.name + " had version " + step.Field("version") + " of " +
                 step.Field("service") + " after " + std::to_string(delay) +
                 " ms");
    }
  }
  return result;
}

std::vector<int64_t> ConfigurationDelays(const RunLogs& logs) {
  std::vector<int64_t> delays;
  for (const BalancerLife& life : BalancerLives(logs)) {
    for (const EventRecord& step : logs.steps) {
      if (step.event != "config_applied") continue;
      const bool was_there = life.from <= step.time && life.until > step.time;
      const int64_t delay = DelayUntilSeen(life, step);
      if (was_there && delay >= 0) delays.push_back(delay);
    }
  }
  std::sort(delays.begin(), delays.end());
  return delays;
}

}  // namespace medlarwinch
