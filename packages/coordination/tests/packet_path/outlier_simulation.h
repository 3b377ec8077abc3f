#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "medlarwinch/coordination/packet_path/flow_placement.h"
#include "medlarwinch/coordination/packet_path/flow_tracker.h"
#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "relay_fixture.h"

namespace medlarwinch {

/// What an upstream does wrong, for a part of its requests.
struct UpstreamFault {
  enum class Kind : uint8_t { kNone, kErrors, kReset, kMute, kSlow };
  Kind kind = Kind::kNone;
  double part = 1;
  double slow_factor = 1;
  /// Only callers of balancer 0 are affected.
  bool is_one_domain = false;
};

/// Requests of a route; times and sizes are log-normal.
struct SimulatedRoute {
  Endpoint address;
  double work_ms;
  double response_bytes;
  double response_spread;
  uint16_t request_bytes;
  int requests_per_flow;
};

/// Balancers and agents of one service with simulated callers and upstreams.
/// The decisions are the real ones; a poll passes their figures on.
class OutlierSimulation {
 public:
  static constexpr uint32_t kBalancers = 3;
  static constexpr uint32_t kSlots = 4;

  explicit OutlierSimulation(std::vector<double> speeds,
                             double flows_per_second = 300,
                             uint64_t seed = 20261206)
      : upstreams_(speeds.size()), balancers_(kBalancers), random_(seed) {
    std::vector<DirectoryEntry> entries;
    for (uint32_t index = 0; index < speeds.size(); ++index) {
      upstreams_[index].speed = speeds[index];
      upstreams_[index].tracker.responses.emplace();
      entries.push_back(
          DirectoryEntry{AgentAddress(index), service_, "catania", {1, 1}});
    }
    for (uint32_t index = 0; index < kBalancers; ++index) {
      balancers_[index].directory.own_failure_domain = "catania";
      balancers_[index].directory.detects_outliers = true;
      ApplyListing(balancers_[index].directory, entries, {1, 1}, Now());
      Every(250, 60 * index, [this, index] { Poll(balancers_[index]); });
      Every(100, 20 * index, [this, index] { Tick(balancers_[index]); });
    }
    Every(100, 7, [this] { TickAgents(); });
    Arrive(1'000 / flows_per_second);
  }

  void RunUntil(int64_t time_ms) {
    while (!events_.empty() && events_.top().time <= time_ms) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      (*event.run)();
    }
    now_ = time_ms;
  }

  /// Runs and returns the new flows of the upstream in multiples of its fair
  /// share.
  double FairSharesUntil(int64_t time_ms, uint32_t upstream) {
    for (Upstream& each : upstreams_) each.placed = 0;
    RunUntil(time_ms);
    double all = 0;
    for (const Upstream& each : upstreams_) all += each.placed;
    return upstreams_[upstream].placed * upstreams_.size() / all;
  }

  void SetFault(uint32_t upstream, UpstreamFault fault) {
    upstreams_[upstream].fault = fault;
    counts_all_callers_ = !fault.is_one_domain;
  }
  void SetCold(uint32_t upstream, bool is_cold) {
    upstreams_[upstream].is_cold = is_cold;
  }
  /// Agents report no failures, as if they had not noticed them yet.
  void HideFailures() { hides_failures_ = true; }

  /// Slots withdrawn at the balancer that withdrew most.
  uint32_t WithdrawnSlots() const {
    uint32_t most = 0;
    for (const Balancer& balancer : balancers_) {
      uint32_t slots = 0;
      for (const auto& [agent, upstream] : balancer.directory.upstreams) {
        if (upstream.flow_share.share < 1) slots += upstream.report.slots;
      }
      most = std::max(most, slots);
    }
    return most;
  }
  /// Withdrawals so far, at all balancers.
  int withdrawals() const { return withdrawals_; }

 private:
  struct Upstream {
    double speed = 1;
    bool is_cold = false;
    UpstreamFault fault;
    FlowTracker tracker;
    uint32_t busy = 0;
    std::deque<std::function<void()>> queue;
    double placed = 0;
  };
  struct Balancer {
    UpstreamDirectory directory;
    ServiceBaselines baselines;
    uint64_t polls = 0;
  };
  struct Event {
    int64_t time;
    uint64_t order;
    std::shared_ptr<std::function<void()>> run;
    bool operator<(const Event& other) const {
      return std::pair(time, order) > std::pair(other.time, other.order);
    }
  };
  struct Flow {
    Upstream* upstream;
    const SimulatedRoute* route;
    Endpoint caller;
    bool is_domain_affected;
    uint32_t caller_sequence = 1;
    uint32_t upstream_sequence = 1;
    int requests_left;
    /// Number of requests sent; a late event of an earlier one does nothing.
    int request = 0;
  };

  TimePoint Now() const { return TimePoint{now_}; }
  double Uniform() { return std::uniform_real_distribution<>()(random_); }
  double LogNormal(double mean, double spread) {
    return std::lognormal_distribution<>(std::log(mean) - spread * spread / 2,
                                         spread)(random_);
  }
  void After(double delay_ms, std::function<void()> run) {
    events_.push({now_ + std::max<int64_t>(std::llround(delay_ms), 0), ++order_,
                  std::make_shared<std::function<void()>>(run)});
  }
  void Every(int64_t interval, int64_t offset, std::function<void()> run) {
    After(static_cast<double>(offset), [this, interval, run] {
      run();
      Every(interval, interval, run);
    });
  }

  void Poll(Balancer& balancer) {
    if (++balancer.polls % 4 == 0) {
      balancer.baselines = ComputeBaselines(balancer.directory, Now());
    }
    for (uint32_t index = 0; index < upstreams_.size(); ++index) {
      Upstream& upstream = upstreams_[index];
      AgentReport report{service_,
                         1,
                         balancer.polls,
                         UpstreamPhase::kReady,
                         kSlots,
                         upstream.tracker.open,
                         upstream.tracker.mean_outstanding,
                         upstream.tracker.outstanding,
                         upstream.is_cold};
      ApplyAgentReport(balancer.directory, AgentAddress(index), report, Now());
      AgentLoad load;
      ReportOutcomes(*upstream.tracker.responses, Now(), load);
      if (hides_failures_) load.suspected_failures = 0;
      ApplyAgentLoad(balancer.directory.upstreams.at(AgentAddress(index)), load,
                     Now());
      if (balancer.polls % 4 != 0) continue;
      ApplyBaselines(*upstream.tracker.responses, balancer.baselines[service_],
                     Now());
    }
  }

  void Tick(Balancer& balancer) {
    for (const FlowShareChange& change :
         UpdateFlowShares(balancer.directory, balancer.baselines, Now())) {
      if (change.after < change.before) ++withdrawals_;
    }
  }

  void TickAgents() {
    for (Upstream& upstream : upstreams_) {
      upstream.tracker.responses->condition = {kSlots, upstream.is_cold, {}};
      RefreshFlows(upstream.tracker, kMaxFlowLifetime, Now());
    }
  }

  void Arrive(double mean_gap_ms) {
    After(std::exponential_distribution<>(1 / mean_gap_ms)(random_),
          [this, mean_gap_ms] {
            OpenFlow();
            Arrive(mean_gap_ms);
          });
  }

  void OpenFlow() {
    const SimulatedRoute& simulated = routes_[random_() % routes_.size()];
    const uint32_t index = random_() % kBalancers;
    Balancer& balancer = balancers_[index];
    const FlowTuple tuple{Endpoint{++callers_, 1'000}, simulated.address};
    const RelayRoute route{"feed", {RouteTarget{service_, 1}}};
    for (const PlacementCandidate& candidate :
         RankUpstreams(balancer.directory, route, tuple, random_(), 5, Now())) {
      Upstream& upstream = upstreams_[candidate.agent.ip - AgentAddress(0).ip];
      if (upstream.tracker.outstanding >= 16) continue;
      RecordPlacement(balancer.directory,
                      balancer.directory.upstreams.at(candidate.agent));
      if (counts_all_callers_ || index == 0) ++upstream.placed;
      const auto flow = std::make_shared<Flow>(
          Flow{&upstream, &simulated, tuple.caller, index == 0, 1, 1,
               simulated.requests_per_flow});
      FromUpstream(*flow, 0, [](FlowPacket& packet) { packet.is_syn = true; });
      After(1, [this, flow] { SendRequest(flow); });
      return;
    }
  }

  template <typename Edit>
  void FromUpstream(Flow& flow, uint16_t bytes, Edit edit) {
    FlowPacket packet;
    packet.source = flow.route->address;
    packet.destination = flow.caller;
    packet.sequence = flow.upstream_sequence;
    packet.data_bytes = bytes;
    edit(packet);
    flow.upstream_sequence += bytes;
    RecordUpstreamPacket(flow.upstream->tracker, packet, Now());
  }

  void FromCaller(Flow& flow, uint16_t bytes, bool is_fin) {
    FlowPacket packet;
    packet.source = flow.caller;
    packet.destination = flow.route->address;
    packet.is_ack = true;
    packet.acknowledged = flow.upstream_sequence;
    packet.sequence = flow.caller_sequence;
    packet.data_bytes = bytes;
    packet.is_fin = is_fin;
    flow.caller_sequence += bytes;
    RecordCallerPacket(flow.upstream->tracker, packet, Now());
  }

  void SendRequest(const std::shared_ptr<Flow>& flow) {
    using Kind = UpstreamFault::Kind;
    FromCaller(*flow, flow->route->request_bytes, false);
    const int request = ++flow->request;
    After(2'000, [this, flow, request] {
      // The caller gives up.
      if (flow->request == request) Close(*flow);
    });
    const UpstreamFault& fault = flow->upstream->fault;
    const bool is_affected =
        fault.kind != Kind::kNone &&
        (flow->is_domain_affected || !fault.is_one_domain) &&
        Uniform() < fault.part;
    double work = LogNormal(flow->route->work_ms, 0.5);
    if (Uniform() < 0.03) work *= 7;
    if (flow->upstream->is_cold) work *= 1.6;
    if (is_affected && fault.kind == Kind::kSlow) work *= fault.slow_factor;
    if (is_affected && fault.kind == Kind::kMute) return;
    if (is_affected && fault.kind != Kind::kSlow) {
      After(1, [this, flow, kind = fault.kind] {
        if (kind == Kind::kErrors) return Respond(flow, 140);
        FromUpstream(*flow, 0,
                     [](FlowPacket& reset) { reset.is_reset = true; });
        ++flow->request;
      });
      return;
    }
    const auto run = [this, flow, work] {
      After(work * flow->upstream->speed, [this, flow] {
        Respond(flow, std::max(100.0, LogNormal(flow->route->response_bytes,
                                                flow->route->response_spread)));
        EndWork(*flow->upstream);
      });
    };
    if (flow->upstream->busy == kSlots) {
      flow->upstream->queue.push_back(run);
      return;
    }
    ++flow->upstream->busy;
    run();
  }

  void EndWork(Upstream& upstream) {
    if (upstream.queue.empty()) {
      --upstream.busy;
      return;
    }
    upstream.queue.front()();
    upstream.queue.pop_front();
  }

  void Respond(const std::shared_ptr<Flow>& flow, double bytes) {
    for (double left = bytes; left > 0; left -= 1'200) {
      FromUpstream(*flow, static_cast<uint16_t>(std::min(left, 1'200.0)),
                   [](FlowPacket&) {});
    }
    ++flow->request;
    if (--flow->requests_left == 0) return Close(*flow);
    After(50 + 300 * Uniform(), [this, flow] { SendRequest(flow); });
  }

  void Close(Flow& flow) {
    ++flow.request;
    FromCaller(flow, 0, true);
    FromUpstream(flow, 0, [](FlowPacket& packet) { packet.is_fin = true; });
  }

  const ServiceId service_ = MakeServiceId("wayfinder");
  const std::vector<SimulatedRoute> routes_ = {
      {Endpoint{0x0a000001, 443}, 47, 4'000, 0.6, 300, 4},
      {Endpoint{0x0a000002, 443}, 61, 600, 0.3, 900, 1},
      {Endpoint{0x0a000003, 443}, 20, 12'000, 0.6, 300, 1}};
  std::vector<Upstream> upstreams_;
  std::vector<Balancer> balancers_;
  std::priority_queue<Event> events_;
  int64_t now_ = 1'000;
  uint64_t order_ = 0;
  uint32_t callers_ = 0;
  int withdrawals_ = 0;
  bool hides_failures_ = false;
  /// Else only those that a fault of one domain affects.
  bool counts_all_callers_ = true;
  Random random_;
};

}  // namespace medlarwinch
