#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>

#include "medlarwinch/coordination/packet_path/upstream_liveness.h"
#include "medlarwinch/coordination/shared/random.h"
#include "relay_fixture.h"

namespace medlarwinch {

/// What the callers of one kind of request got.
struct KindOutcome {
  int calls = 0, in_time = 0, late = 0, refusals = 0, wrong_refusals = 0;
  double Worth() const { return (in_time + 0.3 * late) / std::max(calls, 1); }
};

/// Callers, agents and upstreams with slots and a queue, in steps of 1 ms. Each
/// call is one request on its own flow, tried at most three times.
struct OpeningModel {
  struct Call {
    RouteTerms terms;
    int64_t began = 0;
    double work_ms = 0;
    int attempt = 0;
    bool is_open = false, is_done = false;
    FlowPacket syn;
  };
  struct Host {
    AgentRelay relay;
    std::deque<size_t> queue;
    std::multimap<int64_t, size_t> running;
  };

  OpeningModel(size_t count, bool by_class) : hosts(count) {
    for (Host& host : hosts) {
      host.relay.admits_by_class = by_class;
      host.relay.upstream.phase = UpstreamPhase::kReady;
      host.relay.upstream.slots = 4;
    }
  }
  void Add(const RouteTerms& terms, double mean_work_ms) {
    const double uniform = (random() % 1'000'000 + 0.5) / 1e6;
    ++outcome[terms.kind].calls;
    calls.push_back({terms, now, -std::log(uniform) * mean_work_ms, 0});
    Attempt(calls.size() - 1);
  }
  void Attempt(size_t index) {
    Call& call = calls[index];
    if (call.is_open || call.is_done || ++call.attempt > 3) return;
    call.syn = OpeningPacket(static_cast<uint16_t>(++attempts % 60'000));
    call.syn.source.ip += static_cast<uint32_t>(attempts / 60'000);
    Offer(index, 0);
    for (const auto& [delay, copy] : {std::pair{200, 1U}, {600, 2U}, {1400, 3U}})
      timers.emplace(now + delay, std::tuple{index, call.attempt, copy});
  }
  /// Takes an opening from agent to agent, best first by reports of 250 ms.
  void Offer(size_t index, uint32_t copy) {
    Call& call = calls[index];
    std::vector<uint32_t> order(4);
    for (uint32_t& choice : order) choice = random() % hosts.size();
    std::sort(order.begin(), order.end(), [this](uint32_t a, uint32_t b) {
      return reported[a % 64] < reported[b % 64];
    });
    RelayHeader header{RelayPurpose::kOpen, kBalancerAddress, {ServiceId{}}};
    for (size_t i = 1; i < order.size(); ++i)
      header.alternates.push_back(AgentAddress(order[i]));
    call.syn.acknowledged = copy;
    const OpeningContext context{TimePoint{now}, copy, call.terms};
    for (uint32_t at = order[0];;) {
      Host& host = hosts[at];
      RelayActions actions;
      HandleRelayedPacket(host.relay, header, context, call.syn, {now}, actions);
      if (!ActionsOf<DeliverToUpstream>(actions).empty()) {
        if (host.queue.size() < 16) return Open(host, index);
        FlowPacket bounced = call.syn;
        bounced.is_bounced = true;
        actions.clear();
        HandleUpstreamPacket(host.relay, bounced, {now}, actions);
      }
      const auto passed = ActionsOf<RelayToAgent>(actions);
      if (passed.empty()) {
        if (!ActionsOf<SendOpeningRefused>(actions).empty()) Refuse(index);
        return;
      }
      header = passed[0].header;
      at = passed[0].to.ip - AgentAddress(0).ip;
    }
  }
  void Refuse(size_t index) {
    ++outcome[calls[index].terms.kind].refusals;
    outcome[calls[index].terms.kind].wrong_refusals += calls[index].is_open;
    timers.emplace(now + 1, std::tuple{index, calls[index].attempt, 3U});
  }
  FlowPacket Answer(size_t index, uint32_t sequence, uint32_t bytes) const {
    FlowPacket packet;
    std::tie(packet.source, packet.destination) =
        std::pair{kServiceAddress, calls[index].syn.source};
    std::tie(packet.sequence, packet.data_bytes) = std::pair{sequence, bytes};
    packet.is_syn = bytes == 0;
    return packet;
  }
  void Open(Host& host, size_t index) {
    RelayActions actions;
    HandleUpstreamPacket(host.relay, Answer(index, 500, 0), {now}, actions);
    FlowPacket request = calls[index].syn;
    request.is_syn = false;
    std::tie(request.sequence, request.acknowledged) = std::pair{1'001U, 501U};
    request.data_bytes = 100;
    HandleRelayedPacket(host.relay, {}, {}, request, {now}, actions);
    calls[index].is_open = true;
    host.queue.push_back(index);
  }
  void Finish(Host& host, size_t index) {
    RelayActions actions;
    FlowPacket answer = Answer(index, 501, 400);
    answer.is_reset = true;
    HandleUpstreamPacket(host.relay, answer, {now}, actions);
    Call& call = calls[index];
    call.is_done = true;
    const bool in_time = now - call.began <= call.terms.latency_objective.value;
    ++(in_time ? outcome[call.terms.kind].in_time : outcome[call.terms.kind].late);
  }
  void Step() {
    ++now;
    for (size_t i = 0; i < hosts.size(); ++i) {
      Host& host = hosts[i];
      while (!host.running.empty() && host.running.begin()->first <= now) {
        Finish(host, host.running.begin()->second);
        host.running.erase(host.running.begin());
      }
      while (!host.queue.empty() && host.running.size() < 4) {
        const double cold = TimePoint{now} < host.relay.upstream.cold_until ? 1.6 : 1;
        host.running.emplace(now + std::llround(calls[host.queue.front()].work_ms * cold), host.queue.front());
        host.queue.pop_front();
      }
      RelayActions actions;
      if (now % 100 == 0) HandleAgentTick(host.relay, Millis{0}, {now}, actions);
      if (now % 250 == 0) reported[i % 64] = host.relay.flow_tracker.outstanding;
    }
    while (!timers.empty() && timers.begin()->first <= now) {
      const auto [index, attempt, copy] = timers.begin()->second;
      timers.erase(timers.begin());
      if (calls[index].is_open || calls[index].attempt != attempt) continue;
      copy < 3 ? Offer(index, copy) : Attempt(index);
    }
  }

  int64_t now = 1;
  size_t attempts = 0;
  Random random{20261206};
  std::vector<Host> hosts;
  std::deque<Call> calls;
  std::multimap<int64_t, std::tuple<size_t, int, uint32_t>> timers;
  std::array<uint32_t, 64> reported{};
  std::map<RequestKind, KindOutcome> outcome;
};

}  // namespace medlarwinch
