#include "medlarwinch/bench/imbalance_model.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "medlarwinch/coordination/flow_acceptance.h"
#include "medlarwinch/coordination/routing_decision.h"

namespace medlarwinch {
namespace {

constexpr Millis kStep{10};
constexpr Millis kSampleInterval{100};
constexpr Millis kSettleTime{10'000};
constexpr double kSettledImbalance = 1.10;
constexpr double kLifetimeShape = 1.5;
constexpr double kLongestLifetimeSeconds = 3'600;
// Callers of a draining upstream learn of it with their next request.
constexpr double kMeanReopenSeconds = 1;
constexpr double kMillisPerSecond = 1'000;

enum class HostState { kAbsent, kReady, kDraining };

struct Host {
  uint32_t slots = 0;
  HostState state = HostState::kAbsent;
  TimePoint ready_since{0};
  uint32_t flows = 0;
  /// What the keepers heard last, and the mean that they answered.
  double reported = 0;
  bool is_heard = false;
  double mean = -1;
  double report_factor = 1;
  TimePoint next_report{0};
};

// The end of a flow or its move to another upstream.
struct FlowEnd {
  TimePoint at{0};
  size_t host = 0;
  uint64_t flow = 0;

  friend bool operator>(const FlowEnd& a, const FlowEnd& b) {
    return std::tie(a.at, a.flow) > std::tie(b.at, b.flow);
  }
};

Endpoint AgentOf(size_t host) {
  return Endpoint{0x7f000101 + static_cast<uint32_t>(host), 7'200};
}

class Model {
 public:
  Model(const ImbalanceCase& model, const Placement& placement, uint64_t seed)
      : model_(model), placement_(placement), random_(seed) {
    context_.document.service = "modelled";
    context_.document.balance.margin_percent = placement.margin_percent;
    context_.document.balance.candidates = placement.candidates;
    for (size_t index = 0; index < model.slots.size(); ++index) {
      Host host;
      host.slots = model.slots[index];
      host.next_report = TimePoint{static_cast<int64_t>(
          random_() % static_cast<uint64_t>(placement.report_interval.value))};
      host.state = HostState::kReady;
      // Long enough ago for no slow start.
      host.ready_since = TimePoint{-1'000'000};
      for (const HostEvent& event : model.events) {
        if (event.host != index) continue;
        if (event.kind == HostEventKind::kJoin) host.state = HostState::kAbsent;
        break;
      }
      hosts_.push_back(host);
    }
  }

  ImbalanceResult Run() {
    RebuildTables();
    const TimePoint end = now_ + model_.duration;
    while (now_ < end) {
      ApplyEvents();
      SendReports();
      if (update_.next_change.value >= 0 && now_ >= update_.next_change) {
        RebuildTables();
      }
      EndFlows();
      std::poisson_distribution<int> arrivals(model_.new_flows_per_second *
                                              static_cast<double>(kStep.value) /
                                              kMillisPerSecond);
      const int count = arrivals(random_);
      for (int index = 0; index < count; ++index) OpenFlow(RandomLifetime());
      if (now_.value % kSampleInterval.value == 0) Sample();
      now_ = now_ + kStep;
    }
    return Summarize();
  }

 private:
  struct Measurement {
    TimePoint at{0};
    double imbalance = 0;
  };

  void ApplyEvents() {
    while (next_event_ < model_.events.size() &&
           now_ >= TimePoint{0} + model_.events[next_event_].at) {
      const HostEvent& event = model_.events[next_event_];
      ++next_event_;
      Host& host = hosts_[event.host];
      if (event.kind == HostEventKind::kMisreport) {
        host.report_factor = event.factor;
        continue;
      }
      const bool is_join = event.kind == HostEventKind::kJoin;
      host.state = is_join ? HostState::kReady : HostState::kDraining;
      if (is_join) {
        host.ready_since = now_;
        host.is_heard = false;
        host.mean = -1;
        host.next_report = now_;
      } else {
        MoveFlowsAway(event.host);
      }
      RebuildTables();
    }
  }

  // Lets the flows of a draining upstream end soon and reopen elsewhere for
  // what is left of their lifetimes.
  void MoveFlowsAway(size_t host) {
    std::exponential_distribution<double> delay(1 / kMeanReopenSeconds);
    std::vector<FlowEnd> kept;
    while (!ends_.empty()) {
      FlowEnd end = ends_.top();
      ends_.pop();
      if (end.host == host) {
        const Millis wait{
            static_cast<int64_t>(delay(random_) * kMillisPerSecond)};
        if (now_ + wait < end.at) {
          reopened_[end.flow] = end.at;
          end.at = now_ + wait;
        }
      }
      kept.push_back(end);
    }
    for (const FlowEnd& end : kept) ends_.push(end);
  }

  void SendReports() {
    for (Host& host : hosts_) {
      if (host.state == HostState::kAbsent || now_ < host.next_report) continue;
      host.next_report = now_ + placement_.report_interval;
      host.reported = host.flows * host.report_factor;
      host.is_heard = true;
      host.mean = ReportedMean();
    }
  }

  // As the keepers compute it, over the ready upstreams that they heard from.
  double ReportedMean() const {
    double flows = 0;
    double slots = 0;
    for (const Host& host : hosts_) {
      if (host.state != HostState::kReady || !host.is_heard) continue;
      flows += host.reported;
      slots += host.slots;
    }
    return slots > 0 ? flows / slots : -1;
  }

  void RebuildTables() {
    std::map<Endpoint, MemberEntry> members;
    std::map<Endpoint, TimePoint> ready_since;
    for (size_t index = 0; index < hosts_.size(); ++index) {
      const Host& host = hosts_[index];
      if (host.state == HostState::kAbsent) continue;
      MemberEntry member;
      member.id = AgentOf(index);
      member.version.phase = host.state == HostState::kReady
                                 ? MemberPhase::kReady
                                 : MemberPhase::kDraining;
      member.service = context_.document.service;
      member.slots = host.slots;
      member.data = AgentOf(index);
      members[member.id] = member;
      ready_since[member.id] = host.ready_since;
    }
    const RoutingInput input{
        members, {}, ready_since, {RoutedDocument{1, &context_.document}}, {}};
    update_ = BuildRoutingTables(input, update_.tables, now_);
  }

  Millis RandomLifetime() {
    const double shortest =
        model_.mean_lifetime_seconds * (kLifetimeShape - 1) / kLifetimeShape;
    std::uniform_real_distribution<double> uniform(0, 1);
    const double seconds =
        shortest / std::pow(1 - uniform(random_), 1 / kLifetimeShape);
    return Millis{static_cast<int64_t>(
        std::min(seconds, kLongestLifetimeSeconds) * kMillisPerSecond)};
  }

  void OpenFlow(Millis lifetime) {
    const std::vector<size_t> candidates = CandidatesOf(random_());
    if (candidates.empty()) return;
    const size_t host = Place(candidates);
    ++hosts_[host].flows;
    ++next_flow_;
    ends_.push(FlowEnd{now_ + lifetime, host, next_flow_});
    if (now_ >= TimePoint{0} + model_.warm_up) ++placed_;
  }

  // The accepting candidates of the routing table.
  std::vector<size_t> CandidatesOf(uint64_t key) const {
    const CandidateList list = update_.tables.services[0].index->Choose(
        key, std::max(placement_.candidates, 2U));
    std::vector<size_t> candidates;
    for (size_t rank = 0; rank < list.accepting; ++rank) {
      candidates.push_back(list.agents[rank].ip - AgentOf(0).ip);
    }
    return candidates;
  }

  size_t Place(const std::vector<size_t>& candidates) {
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
    return OfferInTurn(candidates);
  }

  double ReportedLoad(size_t host) const {
    return hosts_[host].reported / hosts_[host].slots;
  }

  size_t LeastLoaded() const {
    size_t best = hosts_.size();
    for (size_t index = 0; index < hosts_.size(); ++index) {
      if (hosts_[index].state != HostState::kReady) continue;
      if (best == hosts_.size() || ReportedLoad(index) < ReportedLoad(best)) {
        best = index;
      }
    }
    return best;
  }

  size_t OfferInTurn(const std::vector<size_t>& candidates) {
    CandidatePosition position{0, candidates.size(), candidates.size()};
    size_t best = 0;
    for (size_t hop = 0; hop < candidates.size(); ++hop) {
      const Host& host = hosts_[candidates[hop]];
      AcceptanceState state;
      state.flows = host.flows;
      state.slots = host.slots;
      state.mean_flows_per_slot = host.mean;
      state.time_since_ready = now_ - host.ready_since;
      state.draining = host.state == HostState::kDraining;
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
      if (hop == 0 && now_ >= TimePoint{0} + model_.warm_up) ++passed_on_;
    }
    return candidates.back();
  }

  void EndFlows() {
    while (!ends_.empty() && ends_.top().at <= now_) {
      const FlowEnd end = ends_.top();
      ends_.pop();
      --hosts_[end.host].flows;
      const auto reopened = reopened_.find(end.flow);
      if (reopened == reopened_.end()) continue;
      const Millis left = reopened->second - now_;
      reopened_.erase(reopened);
      OpenFlow(left);
    }
  }

  void Sample() {
    if (now_ < TimePoint{0} + model_.warm_up) return;
    double flows = 0;
    double slots = 0;
    double highest = 0;
    for (const Host& host : hosts_) {
      if (host.state != HostState::kReady) continue;
      flows += host.flows;
      slots += host.slots;
      highest = std::max(highest, static_cast<double>(host.flows) / host.slots);
    }
    if (flows > 0) {
      samples_.push_back(Measurement{now_, highest * slots / flows});
    }
  }

  ImbalanceResult Summarize() const {
    ImbalanceResult result;
    for (const Measurement& sample : samples_) {
      result.mean += sample.imbalance / static_cast<double>(samples_.size());
      result.max = std::max(result.max, sample.imbalance);
    }
    for (size_t index = 0; index < model_.events.size(); ++index) {
      const TimePoint from = TimePoint{0} + model_.events[index].at;
      const TimePoint to = index + 1 < model_.events.size()
                               ? TimePoint{0} + model_.events[index + 1].at
                               : TimePoint{0} + model_.duration;
      AddEvent(from, to, result);
    }
    if (placed_ > 0) {
      result.passed_on =
          static_cast<double>(passed_on_) / static_cast<double>(placed_);
    }
    return result;
  }

  // Adds what was measured from one event to the next.
  void AddEvent(TimePoint from, TimePoint to, ImbalanceResult& result) const {
    TimePoint unsettled = from;
    for (const Measurement& sample : samples_) {
      if (sample.at < from || sample.at >= to) continue;
      if (sample.imbalance > kSettledImbalance) unsettled = sample.at;
      if (sample.at == from + kSettleTime) {
        result.after_event = std::max(result.after_event, sample.imbalance);
      }
    }
    const bool is_settled = unsettled + kSampleInterval < to;
    if (!is_settled || result.settled_after.value < 0) {
      result.settled_after = Millis{-1};
      return;
    }
    result.settled_after = std::max(result.settled_after, unsettled - from);
  }

  const ImbalanceCase& model_;
  const Placement& placement_;
  std::mt19937_64 random_;
  DocumentContext context_;
  std::vector<Host> hosts_;
  TimePoint now_{0};
  RoutingUpdate update_;
  size_t next_event_ = 0;
  uint64_t next_flow_ = 0;
  uint64_t placed_ = 0;
  uint64_t passed_on_ = 0;
  std::priority_queue<FlowEnd, std::vector<FlowEnd>, std::greater<>> ends_;
  /// Ends of the lifetimes of flows that reopen elsewhere.
  std::map<uint64_t, TimePoint> reopened_;
  std::vector<Measurement> samples_;
};

}  // namespace

ImbalanceResult RunImbalanceModel(const ImbalanceCase& model,
                                  const Placement& placement, uint64_t seed) {
  return Model(model, placement, seed).Run();
}

}  // namespace medlarwinch
