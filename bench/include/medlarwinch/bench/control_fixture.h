#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/balancer_control.h"
#include "medlarwinch/protocol/control_messages.h"

namespace medlarwinch {

/// Sizes of a region at the design scale: 15,000 balancers and 81,000 hosts in
/// 11 regions.
inline constexpr uint32_t kRegionBalancers = 1'360;
inline constexpr uint32_t kRegionAgents = 7'400;
/// Agents of one service.
inline constexpr uint32_t kAgentsPerService = 12;

/// Control traffic of one balancer over some time.
struct ControlTraffic {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;

  uint64_t bytes() const { return sent_bytes + received_bytes; }
};

/// The control state of one balancer in a region where all are ready, and what
/// the others send it. The same arguments give the same content.
class ControlFixture {
 public:
  /// `own` is the number of the balancer, below `balancers`.
  ControlFixture(uint32_t balancers, uint32_t agents, uint32_t own_number);

  /// Runs `seconds` of a steady state: ticks, heartbeats of kept members, one
  /// digest of a peer and as many changed means as a region may have each
  /// second.
  ControlTraffic RunSteadyState(uint32_t seconds);

  /// Handles one heartbeat of a kept agent; returns the number of messages that
  /// it leads to.
  size_t HandleMonitoredHeartbeat();

  /// Handles a delta with one agent that is new each time.
  size_t HandleNewAgent();

  /// Handles a delta in which one balancer enters its next incarnation, first
  /// as starting and the next time as ready.
  size_t HandleBalancerChange();

  /// Handles a digest that equals the own one.
  size_t HandleMatchingDigest();

  /// Runs one tick at which heartbeats and a digest are due.
  size_t RunTick();

  const BalancerControl& state() const { return state_; }

 private:
  size_t ApplyStep(BalancerStep step);
  void Receive(const Endpoint& from, const ControlMessage& message);
  // The means that other keepers disseminate in one second, twice.
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
