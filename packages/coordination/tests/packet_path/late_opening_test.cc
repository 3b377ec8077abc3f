// The way of one opening, whose first copy waits in the socket of an agent that
// is suspended, through a balancer and the agents of a service.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>

#include "medlarwinch/coordination/packet_path/agent_relay.h"
#include "medlarwinch/coordination/packet_path/flow_ownership.h"
#include "medlarwinch/coordination/packet_path/upstream_liveness.h"
#include "relay_fixture.h"

namespace medlarwinch {
namespace {

constexpr uint16_t kPort = 1;
constexpr uint32_t kAgentCount = 3;
constexpr Millis kStep{50};
// From the first copy to the end of the caller's attempt.
constexpr Millis kAttempt{1'400};
// Longer than an attempt of the caller, 1.4 s, and the longest suspension.
constexpr Millis kRunTime{4'000};

// When things happen, from the first copy on.
struct Order {
  // The agent of the first copy is suspended until then.
  Millis wake_at;
  // One of the two other upstreams drains from then on.
  Millis drain_at;
  // Time from an opening's arrival at an upstream to its answer.
  Millis answer_delay;
  // Time from an agent's refusal to the balancer's reading of it.
  Millis reply_delay;
  // The upstream that does not drain returns every opening.
  bool is_third_full = false;
  // Which of the two others drains.
  bool drains_last = false;
};

struct Upstream {
  AgentRelay agent;
  UpstreamHeartbeat heartbeat;
  uint32_t sequence = 0;
  bool is_suspended = false;
  bool returns_openings = false;
  // The caller's first packet after the answer has arrived.
  bool is_open = false;
};

class LateOpening : public RelayWithAgents {
 public:
  explicit LateOpening(const Order& order) : order_(order), start_(now) {
    std::vector<DirectoryEntry> entries;
    for (uint32_t index = 0; index < kAgentCount; ++index) {
      entries.push_back(
          DirectoryEntry{AgentAddress(index), service, "catania", {1, 2}});
      AddUpstream(index);
    }
    ApplyListing(relay.directory, entries, StoreRevision{1, 2}, now);
    std::erase_if(relay.directory.upstreams, [this](const auto& known) {
      return upstreams_.count(known.first) == 0;
    });
    ReportAll();
    for (auto& [agent, known] : relay.directory.upstreams)
      known.reads_extended = true;
  }

  // Returns the number of resets while the flow is open at an upstream.
  int Run() {
    for (Millis elapsed{0}; elapsed <= kRunTime; elapsed = elapsed + kStep) {
      now = start_ + elapsed;
      const bool is_copy_due = elapsed == Millis{0} || elapsed == Millis{200} ||
                               elapsed == Millis{600};
      if (is_copy_due && !has_answer_) {
        SendFromCaller(OpeningPacket(kPort, copies_++));
        if (copies_ == 1) MarkPlaces();
        if (copies_ == 2) second_copy_to_ = PlaceOf(kPort);
      }
      if (elapsed == order_.drain_at) Drain(upstreams_.at(draining_));
      if (elapsed == order_.wake_at) upstreams_.at(first_).is_suspended = false;
      HandleDue();
      if (elapsed.value % 100 == 0) Tick();
    }
    return broken_;
  }

  // Number of openings that upstreams got after the end of the attempt.
  int late_deliveries() const { return late_deliveries_; }
  // The second copy went to the agent whose upstream drains.
  bool has_reached_draining() const { return second_copy_to_ == draining_; }
  bool is_open() const {
    return std::any_of(upstreams_.begin(), upstreams_.end(),
                       [](const auto& entry) { return entry.second.is_open; });
  }

 private:
  struct Event {
    TimePoint due;
    // The agent that has to read it; empty for other events.
    Endpoint reader;
    TimePoint sent_at;
    std::function<void(Millis waited)> handle;
  };

  void AddUpstream(uint32_t index) {
    Upstream& added = upstreams_[AgentAddress(index)];
    added.sequence = 1'000'000 * (index + 1);
    added.agent.service = service;
    added.agent.started = now;
    BeginUpstreamCheck(added.agent, now);
    RelayActions actions;
    HandleConnectionRefused(added.agent, now, actions);
    added.heartbeat.id = "i-" + std::to_string(index);
    added.heartbeat.slots = 4;
    added.heartbeat.sequence = 1;
    added.heartbeat.started_ms = 100;
    HandleUpstreamHeartbeat(added.agent, added.heartbeat, now, actions);
  }

  // Returns the agent to which the balancer has sent the last copy.
  Endpoint PlaceOf(uint16_t port) {
    return relay.cache.Find(FlowFromCaller(OpeningPacket(port)))->agent;
  }

  // The balancer has chosen the first agent; its next copy goes to another.
  void MarkPlaces() {
    first_ = PlaceOf(kPort);
    upstreams_.at(first_).is_suspended = true;
    std::vector<Endpoint> others;
    for (const auto& [agent, upstream] : upstreams_) {
      if (agent != first_) others.push_back(agent);
    }
    draining_ = order_.drains_last ? others.back() : others.front();
    const Endpoint third = order_.drains_last ? others.front() : others.back();
    upstreams_.at(third).returns_openings = order_.is_third_full;
  }

  void Drain(Upstream& upstream) {
    upstream.heartbeat.is_draining = true;
    ++upstream.heartbeat.sequence;
    RelayActions actions;
    HandleUpstreamHeartbeat(upstream.agent, upstream.heartbeat, now, actions);
  }

  void Later(Millis delay, std::function<void()> handle) {
    events_.push_back({now + delay, {}, now, [handle](Millis) { handle(); }});
  }

  void ToAgent(const Endpoint& agent, std::function<void(Millis)> handle) {
    events_.push_back({now, agent, now, std::move(handle)});
  }

  void HandleDue() {
    for (bool was_handled = true; was_handled;) {
      was_handled = false;
      std::vector<Event> pending;
      pending.swap(events_);
      for (Event& event : pending) {
        const bool waits =
            event.due > now || (event.reader != Endpoint{} &&
                                upstreams_.at(event.reader).is_suspended);
        if (waits) {
          events_.push_back(std::move(event));
          continue;
        }
        event.handle(now - event.sent_at);
        was_handled = true;
      }
    }
  }

  void Tick() {
    RelayActions actions;
    HandleBalancerTick(relay, Millis{0}, now, actions);
    HandleBalancerActions(actions, {});
    for (auto& [address, upstream] : upstreams_) {
      if (upstream.is_suspended) continue;
      HandleAgentTick(upstream.agent, Millis{0}, now);
      Report(address, ReportedPhase(upstream.agent, now));
    }
  }

  void SendFromCaller(const FlowPacket& packet) {
    raw = {static_cast<uint8_t>(sent_.size())};
    sent_.push_back(packet);
    HandleBalancerActions(Send(packet), packet);
  }

  void HandleBalancerActions(const RelayActions& actions,
                             const FlowPacket& packet) {
    CountResets(actions);
    for (RelayToAgent sent : ActionsOf<RelayToAgent>(actions)) {
      if (sent.context.has_value()) sent.context->relayed_at = now;
      RelayTo(sent, packet);
    }
    for (const RelayBufferedPacket& sent :
         ActionsOf<RelayBufferedPacket>(actions)) {
      RelayTo(RelayToAgent{sent.to, sent.header, std::nullopt},
              sent_.at(sent.packet.at(0)));
    }
    for (const SendOwnershipQuery& sent :
         ActionsOf<SendOwnershipQuery>(actions)) {
      ToAgent(sent.to, [this, sent](Millis) {
        RelayActions replies;
        HandleOwnershipQuery(upstreams_.at(sent.to).agent, relay.self,
                             sent.query, now, replies);
        HandleAgentActions(sent.to, replies, {});
      });
    }
  }

  void RelayTo(const RelayToAgent& sent, const FlowPacket& packet) {
    ToAgent(sent.to, [this, sent, packet](Millis waited) {
      RelayActions actions;
      HandleRelayedPacket(upstreams_.at(sent.to).agent, sent.header,
                          sent.context, packet, waited, now, actions);
      HandleAgentActions(sent.to, actions, packet);
    });
  }

  void HandleAgentActions(const Endpoint& agent, const RelayActions& actions,
                          const FlowPacket& packet) {
    CountResets(actions);
    if (!ActionsOf<DeliverToUpstream>(actions).empty()) Deliver(agent, packet);
    for (const RelayToAgent& sent : ActionsOf<RelayToAgent>(actions))
      RelayTo(sent, packet);
    for (const SendOpeningRefused& sent :
         ActionsOf<SendOpeningRefused>(actions)) {
      Later(order_.reply_delay, [this, sent] {
        RelayActions next;
        HandleOpeningRefused(relay, sent.flow, sent.context.copy,
                             now - sent.context.relayed_at, next);
        HandleBalancerActions(next, {});
      });
    }
    for (const SendOpeningDeclined& sent :
         ActionsOf<SendOpeningDeclined>(actions)) {
      Later(order_.reply_delay, [this, sent] {
        HandleOpeningDeclined(relay, sent.flow, sent.copy);
      });
    }
    for (const SendOwnershipReply& sent :
         ActionsOf<SendOwnershipReply>(actions)) {
      Later(Millis{0}, [this, agent, sent, packet] {
        RelayActions next;
        const bool returns = sent.returns_packet;
        HandleOwnershipReply(relay,
                             OwnershipReply{agent, sent.flow, sent.ownership},
                             returns ? packet : FlowPacket{},
                             returns ? std::span<const uint8_t>(raw)
                                     : std::span<const uint8_t>(),
                             now, next);
        HandleBalancerActions(next, packet);
      });
    }
  }

  void Deliver(const Endpoint& agent, const FlowPacket& packet) {
    Upstream& upstream = upstreams_.at(agent);
    FlowPacket answer = packet;
    const bool is_own = packet.acknowledged == upstream.sequence + 1;
    if (!packet.is_syn && is_own) upstream.is_open = true;
    if (packet.is_syn && now - start_ > kAttempt) ++late_deliveries_;
    const bool is_returned =
        packet.is_syn ? upstream.returns_openings || upstream.is_open : !is_own;
    if (!packet.is_syn && !is_returned) return;
    answer.is_bounced = is_returned;
    if (!is_returned) {
      answer = CallerPacket(kPort, packet.sequence + 1);
      std::swap(answer.source, answer.destination);
      answer.is_syn = true;
      answer.sequence = upstream.sequence;
    }
    Later(is_returned ? Millis{0} : order_.answer_delay,
          [this, agent, answer] { FromUpstream(agent, answer); });
  }

  void FromUpstream(const Endpoint& agent, const FlowPacket& packet) {
    ToAgent(agent, [this, agent, packet](Millis) {
      RelayActions actions;
      HandleUpstreamPacket(upstreams_.at(agent).agent, packet, now, actions);
      HandleAgentActions(agent, actions, packet);
      const bool is_answer = !packet.is_bounced && packet.is_ack;
      if (!is_answer || has_answer_ || was_reset_) return;
      has_answer_ = true;
      FlowPacket request = CallerPacket(kPort, packet.sequence + 1);
      request.sequence = 1'001;
      request.data_bytes = 100;
      SendFromCaller(request);
    });
  }

  void CountResets(const RelayActions& actions) {
    if (ActionsOf<ResetCaller>(actions).empty()) return;
    was_reset_ = true;
    if (is_open()) ++broken_;
  }

  Order order_;
  TimePoint start_;
  std::map<Endpoint, Upstream> upstreams_;
  Endpoint first_;
  Endpoint draining_;
  Endpoint second_copy_to_;
  std::vector<Event> events_;
  std::vector<FlowPacket> sent_;
  uint32_t copies_ = 0;
  bool has_answer_ = false;
  bool was_reset_ = false;
  int broken_ = 0;
  int late_deliveries_ = 0;
};

std::vector<Order> AllOrders() {
  const std::vector<Millis> times = {
      Millis{50},  Millis{150},   Millis{250},   Millis{450},  Millis{650},
      Millis{900}, Millis{1'300}, Millis{1'500}, Millis{3'500}};
  std::vector<Order> orders;
  for (const Millis wake_at : times) {
    for (const Millis drain_at : times) {
      for (const Millis answer_delay : {Millis{0}, Millis{250}, Millis{500}}) {
        for (const Millis reply_delay : {Millis{0}, Millis{300}}) {
          for (const bool is_third_full : {false, true}) {
            for (const bool drains_last : {false, true}) {
              orders.push_back({wake_at, drain_at, answer_delay, reply_delay,
                                is_third_full, drains_last});
            }
          }
        }
      }
    }
  }
  return orders;
}

std::string Describe(const Order& order) {
  return "wake " + std::to_string(order.wake_at.value) + ", drain " +
         std::to_string(order.drain_at.value) + ", answer " +
         std::to_string(order.answer_delay.value) + ", reply " +
         std::to_string(order.reply_delay.value) +
         (order.is_third_full ? ", third full" : "") +
         (order.drains_last ? ", last drains" : "");
}

BOOST_AUTO_TEST_SUITE(LateOpeningPath)

// Guards against the reset of an open flow by a copy of its opening that waited
// in a suspended agent's socket, when a later copy had opened the flow at an
// upstream that drains by then.
BOOST_AUTO_TEST_CASE(CopyHeldBySuspendedAgent_AnyOrder_OpenFlowIsNotReset) {
  int opened = 0;
  int reached_draining = 0;
  for (const Order& order : AllOrders()) {
    LateOpening path(order);
    BOOST_TEST(path.Run() == 0, Describe(order));
    BOOST_TEST(path.late_deliveries() == 0, "late " << Describe(order));
    opened += path.is_open() ? 1 : 0;
    reached_draining += path.has_reached_draining() ? 1 : 0;
  }
  // Otherwise no order plays the case.
  BOOST_TEST(reached_draining > 0);
  BOOST_TEST(opened > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
