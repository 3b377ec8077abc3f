#include "medlarwinch/bench/imbalance_model.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "medlarwinch/coordination/request_path/flow_acceptance.h"
#include "medlarwinch/coordination/request_path/routing_decision.h"

namespace medlarwinch {
namespace {

constexpr Millis kTimeStep{10};
constexpr Millis kSampleInterval{100};
constexpr Millis kRecoveryDelay{10'000};
constexpr double kRecoveredImbalance = 1.10;
constexpr double kLifetimeShape = 1.5;
constexpr double kMaxLifetimeSeconds = 3'600;
// Callers detect that an upstream is draining at their next request.
constexpr double kMeanReopenSeconds = 1;
constexpr double kMillisPerSecond = 1'000;

enum class ModelledPhase { kAbsent, kReady, kDraining };

struct ModelledUpstream {
  uint32_t slots = 0;
  ModelledPhase phase = ModelledPhase::kAbsent;
  TimePoint ready_since{0};
  uint32_t flows = 0;
  /// Flows in the last report to the monitors, and the mean that they returned.
  double reported = 0;
  bool has_reported = false;
  double mean = -1;
  double report_factor = 1;
  TimePoint next_report_at{0};
};

// End of a flow, or of its stay at an upstream that drains.
struct FlowEnd {
  TimePoint at{0};
  size_t upstream = 0;
  uint64_t flow = 0;

  friend bool operator>(const FlowEnd& a, const FlowEnd& b) {
    return std::tie(a.at, a.flow) > std::tie(b.at, b.flow);
  }
};

Endpoint AgentOf(size_t upstream) {
  return Endpoint{0x7f000101 + static_cast<uint32_t>(upstream), 7'200};
}

class Model {
 public:
  Model(const ImbalanceCase& model_case, const Placement& placement,
        uint64_t seed)
      : model_case_(model_case), placement_(placement), random_(seed) {
    context_.document.service = "modelled";
    context_.document.balance.margin_percent = placement.margin_percent;
    context_.document.balance.candidates = placement.candidates;
    for (size_t index = 0; index < model_case.slots.size(); ++index) {
      ModelledUpstream upstream;
      upstream.slots = model_case.slots[index];
      upstream.next_report_at = TimePoint{static_cast<int64_t>(
          random_() % static_cast<uint64_t>(placement.report_interval.value))};
      upstream.phase = ModelledPhase::kReady;
      // Long enough ago that the slow start is over.
      upstream.ready_since = TimePoint{-1'000'000};
      for (const UpstreamEvent& event : model_case.events) {
        if (event.upstream != index) continue;
        if (event.kind == UpstreamEventKind::kJoin)
          upstream.phase = ModelledPhase::kAbsent;
        break;
      }
      upstreams_.push_back(upstream);
    }
  }

  ImbalanceResult Run() {
    RebuildTables();
    const TimePoint end = now_ + model_case_.duration;
    while (now_ < end) {
      ApplyEvents();
      SendReports();
      if (update_.next_change.value >= 0 && now_ >= update_.next_change) {
        RebuildTables();
      }
      EndFlows();
      std::poisson_distribution<int> arrivals(
          model_case_.new_flows_per_second *
          static_cast<double>(kTimeStep.value) / kMillisPerSecond);
      const int count = arrivals(random_);
      for (int index = 0; index < count; ++index) OpenFlow(RandomLifetime());
      if (now_.value % kSampleInterval.value == 0) Sample();
      now_ = now_ + kTimeStep;
    }
    return Summarize();
  }

 private:
  struct ImbalanceSample {
    TimePoint at{0};
    double imbalance = 0;
  };

  void ApplyEvents() {
    while (next_event_ < model_case_.events.size() &&
           now_ >= TimePoint{0} + model_case_.events[next_event_].at) {
      const UpstreamEvent& event = model_case_.events[next_event_];
      ++next_event_;
      ModelledUpstream& upstream = upstreams_[event.upstream];
      if (event.kind == UpstreamEventKind::kMisreport) {
        upstream.report_factor = event.factor;
        continue;
      }
      const bool is_join = event.kind == UpstreamEventKind::kJoin;
      upstream.phase =
          is_join ? ModelledPhase::kReady : ModelledPhase::kDraining;
      if (is_join) {
        upstream.ready_since = now_;
        upstream.has_reported = false;
        upstream.mean = -1;
        upstream.next_report_at = now_;
      } else {
        DrainFlows(event.upstream);
      }
      RebuildTables();
    }
  }

  // Ends the flows of a draining upstream early. EndFlows() reopens them at
  // other upstreams for the remaining lifetime.
  void DrainFlows(size_t upstream) {
    std::exponential_distribution<double> delay(1 / kMeanReopenSeconds);
    std::vector<FlowEnd> remaining_ends;
    while (!flow_ends_.empty()) {
      FlowEnd end = flow_ends_.top();
      flow_ends_.pop();
      if (end.upstream == upstream) {
        const Millis wait{
            static_cast<int64_t>(delay(random_) * kMillisPerSecond)};
        if (now_ + wait < end.at) {
          reopened_flow_ends_[end.flow] = end.at;
          end.at = now_ + wait;
        }
      }
      remaining_ends.push_back(end);
    }
    for (const FlowEnd& end : remaining_ends) flow_ends_.push(end);
  }

  void SendReports() {
    for (ModelledUpstream& upstream : upstreams_) {
      if (upstream.phase == ModelledPhase::kAbsent ||
          now_ < upstream.next_report_at)
        continue;
      upstream.next_report_at = now_ + placement_.report_interval;
      upstream.reported = upstream.flows * upstream.report_factor;
      upstream.has_reported = true;
      upstream.mean = ReportedMean();
    }
  }

  // Returns the mean that monitors compute: over the ready upstreams that have
  // reported.
  double ReportedMean() const {
    double flows = 0;
    double slots = 0;
    for (const ModelledUpstream& upstream : upstreams_) {
      if (upstream.phase != ModelledPhase::kReady || !upstream.has_reported)
        continue;
      flows += upstream.reported;
      slots += upstream.slots;
    }
    return slots > 0 ? flows / slots : -1;
  }

  void RebuildTables() {
    std::map<Endpoint, MemberEntry> members;
    std::map<Endpoint, TimePoint> ready_since;
    for (size_t index = 0; index < upstreams_.size(); ++index) {
      const ModelledUpstream& upstream = upstreams_[index];
      if (upstream.phase == ModelledPhase::kAbsent) continue;
      MemberEntry member;
      member.id = AgentOf(index);
      member.version.phase = upstream.phase == ModelledPhase::kReady
                                 ? MemberPhase::kReady
                                 : MemberPhase::kDraining;
      member.service = context_.document.service;
      member.slots = upstream.slots;
      member.data = AgentOf(index);
      members[member.id] = member;
      ready_since[member.id] = upstream.ready_since;
    }
    const RoutingInput input{
        members, {}, ready_since, {RoutedDocument{1, &context_.document}}, {}};
    update_ = BuildRoutingTables(input, update_.tables, now_);
  }

  Millis RandomLifetime() {
    const double shortest = model_case_.mean_lifetime_seconds *
                            (kLifetimeShape - 1) / kLifetimeShape;
    std::uniform_real_distribution<double> uniform(0, 1);
    const double seconds =
        shortest / std::pow(1 - uniform(random_), 1 / kLifetimeShape);
    return Millis{static_cast<int64_t>(std::min(seconds, kMaxLifetimeSeconds) *
                                       kMillisPerSecond)};
  }

  void OpenFlow(Millis lifetime) {
    const std::vector<size_t> candidates = CandidatesOf(random_());
    if (candidates.empty()) return;
    const size_t upstream = PlaceFlow(candidates);
    ++upstreams_[upstream].flows;
    ++next_flow_;
    flow_ends_.push(FlowEnd{now_ + lifetime, upstream, next_flow_});
    if (now_ >= TimePoint{0} + model_case_.warm_up) ++placed_;
  }

  // Returns the accepting candidates from the routing table.
  std::vector<size_t> CandidatesOf(uint64_t key) const {
    const CandidateList list = update_.tables.services[0].index->Choose(
        key, std::max(placement_.candidates, 2U));
    std::vector<size_t> candidates;
    for (size_t rank = 0; rank < list.accepting; ++rank) {
      candidates.push_back(list.agents[rank].ip - AgentOf(0).ip);
    }
    return candidates;
  }

  size_t PlaceFlow(const std::vector<size_t>& candidates) {
    switch (placement_.policy) {
      case PlacementPolicy::kPlainHash:
        return candidates.front();
      case PlacementPolicy::kLeastLoaded:
        return LeastLoaded();
      case PlacementPolicy::kTwoChoices:
        if (candidates.size() < 2) return candidates.front();
        return ReportedLoad(candidates[1]) < ReportedLoad(candidates[0])
                   ? candidates[1]
                   : candidates[0];
      case PlacementPolicy::kAcceptance:
        break;
    }
    return OfferToCandidates(candidates);
  }

  double ReportedLoad(size_t upstream) const {
    return upstreams_[upstream].reported / upstreams_[upstream].slots;
  }

  size_t LeastLoaded() const {
    size_t best = upstreams_.size();
    for (size_t index = 0; index < upstreams_.size(); ++index) {
      if (upstreams_[index].phase != ModelledPhase::kReady) continue;
      if (best == upstreams_.size() ||
          ReportedLoad(index) < ReportedLoad(best)) {
        best = index;
      }
    }
    return best;
  }

  size_t OfferToCandidates(const std::vector<size_t>& candidates) {
    CandidatePosition position{0, candidates.size(), candidates.size()};
    size_t best = 0;
    for (size_t hop = 0; hop < candidates.size(); ++hop) {
      const ModelledUpstream& upstream = upstreams_[candidates[hop]];
      AcceptanceState state;
      state.flows = upstream.flows;
      state.slots = upstream.slots;
      state.mean_flows_per_slot = upstream.mean;
      state.time_since_ready = now_ - upstream.ready_since;
      state.draining = upstream.phase == ModelledPhase::kDraining;
      position.hop = hop;
      const FlowDecision decision = DecideNewFlow(state, position, context_);
      if (decision.action == FlowAction::kAccept) return candidates[hop];
      if (decision.action == FlowAction::kReturn) return candidates[best];
      const bool is_best =
          decision.load >= 0 &&
          (position.best_load < 0 || decision.load < position.best_load);
      if (is_best) {
        position.best_load = decision.load;
        best = hop;
      }
      if (hop == 0 && now_ >= TimePoint{0} + model_case_.warm_up) ++forwarded_;
    }
    return candidates.back();
  }

  void EndFlows() {
    while (!flow_ends_.empty() && flow_ends_.top().at <= now_) {
      const FlowEnd end = flow_ends_.top();
      flow_ends_.pop();
      --upstreams_[end.upstream].flows;
      const auto reopened = reopened_flow_ends_.find(end.flow);
      if (reopened == reopened_flow_ends_.end()) continue;
      const Millis remaining = reopened->second - now_;
      reopened_flow_ends_.erase(reopened);
      OpenFlow(remaining);
    }
  }

  void Sample() {
    if (now_ < TimePoint{0} + model_case_.warm_up) return;
    double flows = 0;
    double slots = 0;
    double highest = 0;
    for (const ModelledUpstream& upstream : upstreams_) {
      if (upstream.phase != ModelledPhase::kReady) continue;
      flows += upstream.flows;
      slots += upstream.slots;
      highest = std::max(highest,
                         static_cast<double>(upstream.flows) / upstream.slots);
    }
    if (flows > 0) {
      samples_.push_back(ImbalanceSample{now_, highest * slots / flows});
    }
  }

  ImbalanceResult Summarize() const {
    ImbalanceResult result;
    for (const ImbalanceSample& sample : samples_) {
      result.mean += sample.imbalance / static_cast<double>(samples_.size());
      result.max = std::max(result.max, sample.imbalance);
    }
    for (size_t index = 0; index < model_case_.events.size(); ++index) {
      const TimePoint from = TimePoint{0} + model_case_.events[index].at;
      const TimePoint to = index + 1 < model_case_.events.size()
                               ? TimePoint{0} + model_case_.events[index + 1].at
                               : TimePoint{0} + model_case_.duration;
      AddEventResult(from, to, result);
    }
    if (placed_ > 0) {
      result.forwarded =
          static_cast<double>(forwarded_) / static_cast<double>(placed_);
    }
    return result;
  }

  // Adds the samples from one event to the next.
  void AddEventResult(TimePoint from, TimePoint to,
                      ImbalanceResult& result) const {
    TimePoint last_above_target = from;
    for (const ImbalanceSample& sample : samples_) {
      if (sample.at < from || sample.at >= to) continue;
      if (sample.imbalance > kRecoveredImbalance) last_above_target = sample.at;
      if (sample.at == from + kRecoveryDelay) {
        result.after_event = std::max(result.after_event, sample.imbalance);
      }
    }
    const bool has_recovered = last_above_target + kSampleInterval < to;
    if (!has_recovered || result.recovery_time.value < 0) {
      result.recovery_time = Millis{-1};
      return;
    }
    result.recovery_time =
        std::max(result.recovery_time, last_above_target - from);
  }

  const ImbalanceCase& model_case_;
  const Placement& placement_;
  std::mt19937_64 random_;
  DocumentContext context_;
  std::vector<ModelledUpstream> upstreams_;
  TimePoint now_{0};
  RoutingUpdate update_;
  size_t next_event_ = 0;
  uint64_t next_flow_ = 0;
  uint64_t placed_ = 0;
  uint64_t forwarded_ = 0;
  std::priority_queue<FlowEnd, std::vector<FlowEnd>, std::greater<>> flow_ends_;
  /// End of the lifetime by flow, for flows that reopen at another upstream.
  std::map<uint64_t, TimePoint> reopened_flow_ends_;
  std::vector<ImbalanceSample> samples_;
};

}  // namespace

ImbalanceResult RunImbalanceModel(const ImbalanceCase& model_case,
                                  const Placement& placement, uint64_t seed) {
  return Model(model_case, placement, seed).Run();
}

}  // namespace medlarwinch
