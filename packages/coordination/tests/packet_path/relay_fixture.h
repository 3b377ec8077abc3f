#pragma once

#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/coordination/packet_path/balancer_relay.h"
#include "medlarwinch/coordination/packet_path/balancer_search.h"
#include "medlarwinch/coordination/packet_path/unlisted_agents.h"

namespace medlarwinch {

inline const Endpoint kServiceAddress{0x0a000001, 443};
inline const Endpoint kBalancerAddress{0x0a010001, 7'000};

inline Endpoint AgentAddress(uint32_t index) {
  return Endpoint{0x0a020000 + index, 8'000};
}

inline FlowPacket CallerPacket(uint16_t port, uint32_t acknowledged) {
  FlowPacket packet;
  packet.source = Endpoint{0x64400001, port};
  packet.destination = kServiceAddress;
  packet.is_ack = true;
  packet.acknowledged = acknowledged;
  return packet;
}

inline FlowPacket OpeningPacket(uint16_t port, uint32_t retransmissions = 0) {
  FlowPacket packet = CallerPacket(port, retransmissions);
  packet.is_ack = false;
  packet.is_syn = true;
  packet.sequence = 1'000;
  return packet;
}

/// Returns the actions of type `Action` among `actions`.
template <typename Action>
std::vector<Action> ActionsOf(const RelayActions& actions) {
  std::vector<Action> found;
  for (const RelayAction& action : actions) {
    if (const Action* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

/// Returns true if the packets are dropped for `reason` without any other
/// action.
inline bool AreOnlyDropped(const RelayActions& actions,
                           PacketDropReason reason) {
  const std::vector<DropPackets> drops = ActionsOf<DropPackets>(actions);
  return actions.size() == 1 && drops.size() == 1 && drops[0].reason == reason;
}

/// Returns true if an agent leaves an opening with a context to the caller's
/// next copy and tells its balancer, without any other action.
inline bool IsOnlyDeclined(const RelayActions& actions) {
  const std::vector<DropPackets> drops = ActionsOf<DropPackets>(actions);
  return actions.size() == 2 && drops.size() == 1 &&
         drops[0].reason == PacketDropReason::kLeftToRetransmission &&
         ActionsOf<SendOpeningDeclined>(actions).size() == 1;
}

/// A balancer with one route to `probe-hub` and several ready agents.
struct RelayWithAgents {
  static constexpr uint32_t kAgents = 7;

  RelayWithAgents() {
    relay.self = kBalancerAddress;
    relay.directory.own_failure_domain = "catania";
    relay.directory_requested_at = now;
    RelayConfiguration configuration;
    configuration.version = 3;
    configuration.routes[kServiceAddress] =
        RelayRoute{"feed", {RouteTarget{service, 1}}};
    ApplyConfiguration(relay.routes, configuration, StoreRevision{1, 10}, now);
    std::vector<DirectoryEntry> entries;
    for (uint32_t index = 0; index < kAgents; ++index) {
      entries.push_back(
          DirectoryEntry{AgentAddress(index), service, "catania", {1, 1}});
    }
    ApplyListing(relay.directory, entries, StoreRevision{1, 1}, now);
    // The balancer has run for longer than the first polls of an era.
    relay.directory.polls_in_era = kPollsToProveList;
    ReportAll();
  }

  /// Applies a report of every agent at the current time.
  void ReportAll() {
    ++sequence;
    for (const auto& [agent, upstream] : relay.directory.upstreams) {
      Report(agent, UpstreamPhase::kReady);
    }
  }

  void Report(const Endpoint& agent, UpstreamPhase phase, uint32_t flows = 0,
              double mean_outstanding = 0) {
    AgentReport report;
    report.service = relay.directory.upstreams.at(agent).report.service;
    report.agent_boot = 1;
    report.sequence = ++sequence;
    report.phase = phase;
    report.slots = 4;
    report.flows = flows;
    report.mean_outstanding = mean_outstanding;
    ApplyAgentReport(relay.directory, agent, report, now);
  }

  RelayActions Send(const FlowPacket& packet) {
    RelayActions actions;
    HandleCallerPacket(relay, packet, raw, now, actions);
    return actions;
  }

  RelayActions Reply(const Endpoint& agent, const FlowPacket& packet,
                     FlowOwnership ownership) {
    RelayActions actions;
    HandleOwnershipReply(
        relay, OwnershipReply{agent, FlowFromCaller(packet), ownership}, {}, {},
        now, actions);
    return actions;
  }

  const ServiceId service = MakeServiceId("probe-hub");
  TimePoint now{10'000};
  uint64_t sequence = 0;
  std::vector<uint8_t> raw = {1, 2, 3};
  BalancerRelay relay;
};

}  // namespace medlarwinch
