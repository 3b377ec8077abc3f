#include "medlarwinch/standins/run_history.h"

#include <algorithm>

namespace medlarwinch {
namespace {

// Clocks are the same, but the runner logs a kill before it takes effect and a
// caller logs an event after it happened.
constexpr int64_t kClockSlackMs = 200;

}  // namespace

RunHistory::RunHistory(const RunLogs& logs) {
  for (const EventRecord& step : logs.steps) AddStep(step);
  for (const EventRecord& record : logs.callers) AddCallerEvent(record);
}

bool RunHistory::WasOnLostUpstream(const std::string& flow, int64_t from,
                                   int64_t until) const {
  const auto found = openings_by_flow_.find(flow);
  if (found == openings_by_flow_.end()) return false;
  return std::any_of(
      found->second.begin(), found->second.end(),
      [&](size_t index) { return IsLost(openings_[index], from, until); });
}

const UpstreamLife* RunHistory::LifeAt(const std::string& upstream,
                                       int64_t time) const {
  const UpstreamLife* latest = nullptr;
  for (const UpstreamLife& life : lives_) {
    if (life.upstream == upstream && life.from <= time) latest = &life;
  }
  return latest;
}

void RunHistory::AddStep(const EventRecord& step) {
  const std::string& upstream = step.Field("upstream");
  if (step.event == "upstream_started") {
    UpstreamLife life;
    life.upstream = upstream;
    life.service = step.Field("service");
    life.agent = step.Field("agent");
    life.slots = std::max<int64_t>(1, step.Number("slots"));
    life.from = step.time;
    lives_.push_back(life);
    return;
  }
  UpstreamLife* life = LastLife(upstream);
  if (life == nullptr) return;
  if (step.event == "upstream_killed") {
    life->killed = std::min(life->killed, step.time);
  } else if (step.event == "upstream_frozen") {
    life->frozen.push_back(step.time);
  } else if (step.event == "upstream_leaving") {
    life->leaving = std::min(life->leaving, step.time);
    life->last_new_work =
        std::min(life->last_new_work, step.time + step.Number("limit_ms"));
  } else if (step.event == "upstream_restored") {
    // The same process takes work again; earlier work is judged by the life
    // that ends here.
    UpstreamLife restored = *life;
    restored.from = step.time;
    restored.leaving = INT64_MAX;
    restored.last_new_work = INT64_MAX;
    lives_.push_back(restored);
  }
}

void RunHistory::AddCallerEvent(const EventRecord& record) {
  const std::string& flow = record.Field("flow");
  if (record.event == "flow_opened") {
    std::vector<size_t>& indices = openings_by_flow_[flow];
    if (!indices.empty()) {
      FlowOpening& earlier = openings_[indices.back()];
      earlier.until = std::min(earlier.until, record.time);
    }
    indices.push_back(openings_.size());
    FlowOpening opening;
    opening.flow = flow;
    opening.service = record.Field("service");
    opening.agent = record.Field("agent");
    opening.from = record.time;
    openings_.push_back(opening);
    return;
  }
  const auto found = openings_by_flow_.find(flow);
  if (found == openings_by_flow_.end()) return;
  FlowOpening& opening = openings_[found->second.back()];
  if (record.event == "head") {
    opening.upstream = record.Field("upstream");
  } else if (record.event == "flow_broken" || record.event == "flow_closed") {
    opening.until = std::min(opening.until, record.time);
  }
}

UpstreamLife* RunHistory::LastLife(const std::string& upstream) {
  for (auto life = lives_.rbegin(); life != lives_.rend(); ++life) {
    if (life->upstream == upstream) return &*life;
  }
  return nullptr;
}

bool RunHistory::IsLost(const FlowOpening& opening, int64_t from,
                        int64_t until) const {
  // An opening that ended before the period can't have mattered.
  if (opening.until < from - kClockSlackMs || opening.from > until) {
    return false;
  }
  return std::any_of(
      lives_.begin(), lives_.end(), [&](const UpstreamLife& life) {
        const bool is_same =
            life.upstream == opening.upstream ||
            (!life.agent.empty() && life.agent == opening.agent);
        if (!is_same || life.service != opening.service) return false;
        const bool is_killed = life.killed >= opening.from - kClockSlackMs &&
                               life.killed <= until + kClockSlackMs;
        return is_killed ||
               std::any_of(life.frozen.begin(), life.frozen.end(),
                           [&](int64_t time) {
                             return time >= opening.from - kClockSlackMs &&
                                    time <= until + kClockSlackMs;
                           });
      });
}

}  // namespace medlarwinch
