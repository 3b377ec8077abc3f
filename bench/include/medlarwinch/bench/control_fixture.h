#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/balancer_control.h"
#include "medlarwinch/protocol/control_messages.h"

namespace medlarwinch {

/// Sizes of a region at the design scale: 15,000 balancers and 81,000 hosts in
/// 11 regions.
inline constexpr uint32_t kRegionBalancers = 1'360;
inline constexpr uint32_t kRegionAgents = 7'400;
inline constexpr uint32_t kAgentsPerService = 12;

/// Control traffic of one balancer over a period.
struct ControlTraffic {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;

  uint64_t bytes() const { return sent_bytes + received_bytes; }
};

/// Control state of one balancer in a region in which all members are ready,
/// with the messages that the other members send to it. Deterministic for given
/// arguments.
class ControlFixture {
 public:
  /// `own_number` is the number of the balancer, less than `balancers`.
  ControlFixture(uint32_t balancers, uint32_t agents, uint32_t own_number);

  /// Runs `seconds` of a steady state. Each second has ticks, heartbeats of the
  /// monitored members, one digest of a peer, and the maximum number of changed
  /// means (kMaxMeansPerSecond).
  ControlTraffic RunSteadyState(uint32_t seconds);

  /// Handles one heartbeat of a monitored agent. Like the functions below,
  /// returns the number of messages sent as a result.
  size_t HandleMonitoredHeartbeat();

  /// Handles a delta with one agent whose incarnation is new in each call.
  size_t HandleNewAgent();

  /// Handles a delta in which one balancer changes. Successive calls alternate
  /// between a new incarnation that is starting and the same one becoming
  /// ready.
  size_t HandleBalancerChange();

  /// Handles a digest that matches the state.
  size_t HandleMatchingDigest();

  /// Runs one tick in which heartbeats and a digest are due.
  size_t RunTick();

  const BalancerControl& state() const { return state_; }

 private:
  size_t ApplyStep(BalancerStep step);
  void Receive(const Endpoint& from, const ControlMessage& message);
  // Receives the means that other monitors gossip in one second, each from two
  // peers.
  void ReceiveMeans();
  Heartbeat MakeHeartbeat(const Endpoint& id);

  BalancerControl state_;
  SipKey key_{};
  Random random_{1};
  TimePoint now_{100'000};
  uint64_t sequence_ = 0;
  uint32_t changes_ = 0;
  ControlTraffic traffic_;
};

}  // namespace medlarwinch
