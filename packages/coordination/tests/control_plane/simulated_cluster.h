#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "medlarwinch/coordination/control_plane/agent_control.h"
#include "medlarwinch/coordination/control_plane/balancer_control.h"

namespace medlarwinch {

/// Simulation of a few balancers and agents with a manually stepped clock and
/// delayed messages between them. Fetches are executed at once.
class SimulatedCluster {
 public:
  static constexpr Millis kStep{50};
  static constexpr Millis kDelay{50};

  explicit SimulatedCluster(uint64_t seed) : random_(seed) {}

  static Endpoint BalancerId(uint32_t number) { return {number, 7'000}; }
  static Endpoint AgentId(uint32_t number) { return {100 + number, 7'000}; }

  void AddBalancer(uint32_t number) {
    MemberEntry entry;
    entry.id = BalancerId(number);
    entry.version = {now.value, 0, MemberPhase::kReady};
    entry.kind = MemberKind::kBalancer;
    entry.failure_domain = "catania";
    balancers[entry.id] = StartBalancerControl(entry, {BalancerId(1)}, now);
  }

  void AddAgent(uint32_t number) {
    MemberEntry entry;
    entry.id = AgentId(number);
    entry.version = {now.value, 0, MemberPhase::kReady};
    entry.service = "probe-hub";
    entry.slots = 4;
    entry.data = Endpoint{100 + number, 8'000};
    agents[entry.id] = StartAgentControl(entry, {BalancerId(1)});
  }

  void Run(Millis span) {
    for (int64_t ran = 0; ran < span.value; ran += kStep.value) Step();
  }

  /// Number of decisions with this action so far.
  size_t Count(const std::string& action) const {
    return static_cast<size_t>(std::count_if(
        decisions.begin(), decisions.end(), [&](const Decision& decision) {
          return decision.entry.action == action;
        }));
  }

  /// Phase of `subject` in the member table of a balancer.
  MemberPhase PhaseAt(uint32_t balancer, const Endpoint& subject) const {
    const MemberTable& table = balancers.at(BalancerId(balancer)).table;
    const auto found = table.members.find(subject);
    return found == table.members.end() ? MemberPhase::kStarting
                                        : found->second.entry.version.phase;
  }

  TimePoint now{100'000};
  std::map<Endpoint, BalancerControl> balancers;
  std::map<Endpoint, AgentControl> agents;
  /// Processes that do not run. Messages to them are queued until they resume.
  std::set<Endpoint> paused;
  /// Processes that do not run and whose incoming messages are lost.
  std::set<Endpoint> dead;
  /// Returns true for messages that are lost.
  std::function<bool(const Endpoint& from, const Endpoint& to)> is_blocked;
  int loss_percent = 0;
  int duplicate_percent = 0;
  std::vector<Decision> decisions;
  size_t messages = 0;

 private:
  struct InFlightMessage {
    TimePoint due;
    Endpoint from;
    Endpoint to;
    ControlMessage message;
  };

  void Step() {
    now = now + kStep;
    std::deque<InFlightMessage> arrived;
    arrived.swap(in_flight_);
    for (InFlightMessage& item : arrived) {
      if (item.due > now || paused.count(item.to) > 0) {
        in_flight_.push_back(std::move(item));
      } else if (dead.count(item.to) == 0) {
        Deliver(item);
      }
    }
    for (auto& [id, state] : balancers) {
      if (!IsTickDue(id)) continue;
      ApplyStep(id, state, TickBalancer(std::move(state), now, random_));
    }
    for (auto& [id, state] : agents) {
      if (!IsTickDue(id)) continue;
      ApplyStep(id, state, TickAgent(std::move(state), kLoad, now, random_));
    }
  }

  bool IsTickDue(const Endpoint& id) {
    if (paused.count(id) > 0 || dead.count(id) > 0) return false;
    TimePoint& next = next_tick_[id];
    // The first ticks are spread over the tick interval.
    if (next.value == 0) next = now + Millis{(id.ip * 70) % 250};
    if (now < next) return false;
    next = now + kControlTickInterval;
    return true;
  }

  void Deliver(const InFlightMessage& item) {
    const auto balancer = balancers.find(item.to);
    if (balancer != balancers.end()) {
      ApplyStep(item.to, balancer->second,
                HandleBalancerMessage(std::move(balancer->second), item.from,
                                      item.message, now, random_));
    }
    const auto agent = agents.find(item.to);
    if (agent != agents.end()) {
      ApplyStep(item.to, agent->second,
                HandleAgentMessage(std::move(agent->second), item.from,
                                   item.message, kLoad, now));
    }
  }

  template <typename State, typename StepResult>
  void ApplyStep(const Endpoint& id, State& state, StepResult step) {
    state = std::move(step.state);
    for (Decision& decision : step.actions.decisions) {
      decisions.push_back(std::move(decision));
    }
    for (OutgoingMessage& message : step.actions.messages) {
      Send(id, message.to, message.message);
    }
    for (const OutgoingFetch& fetch : step.actions.fetches)
      HandleFetch(id, fetch);
  }

  void Send(const Endpoint& from, const Endpoint& to,
            const ControlMessage& message) {
    ++messages;
    if (is_blocked && is_blocked(from, to)) return;
    if (Percent() < loss_percent) return;
    in_flight_.push_back(InFlightMessage{now + kDelay, from, to, message});
    if (Percent() >= duplicate_percent) return;
    in_flight_.push_back(InFlightMessage{now + kDelay * 4, from, to, message});
  }

  void HandleFetch(const Endpoint& id, const OutgoingFetch& fetch) {
    const auto server = balancers.find(fetch.to);
    const auto client = balancers.find(id);
    const bool is_lost =
        dead.count(fetch.to) > 0 || (is_blocked && is_blocked(id, fetch.to));
    if (server == balancers.end() || is_lost) return;
    std::vector<ReceivedRecord> received;
    for (Record& record :
         SelectRecords(server->second.records, fetch.request)) {
      received.push_back(
          ReceivedRecord{std::move(record), {}, {}, "peer", false});
    }
    if (client == balancers.end()) {
      const auto agent = agents.find(id);
      ApplyStep(id, agent->second,
                HandleAgentRecords(std::move(agent->second), received));
      return;
    }
    std::vector<MemberEntry> members;
    for (const auto& [member, record] : server->second.table.members) {
      if (fetch.request.members) members.push_back(record.entry);
    }
    ApplyStep(
        id, client->second,
        HandleFetchedMembers(std::move(client->second), members, now, random_));
    ApplyStep(id, client->second,
              HandleReceivedRecords(std::move(client->second), received, now,
                                    random_));
  }

  int Percent() { return static_cast<int>(random_() % 100); }

  static constexpr UpstreamLoad kLoad{400, 0, 0, 0};
  Random random_;
  std::deque<InFlightMessage> in_flight_;
  std::map<Endpoint, TimePoint> next_tick_;
};

}  // namespace medlarwinch
