#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "medlarwinch/coordination/balancer_relay.h"
#include "medlarwinch/node/node_base.h"
#include "medlarwinch/node/platform_ports.h"
#include "medlarwinch/node/store_watch.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// The shell of a balancer: turns datagrams, answers of the store and timers
/// into events of BalancerRelay and carries its actions out.
class BalancerNode {
 public:
  BalancerNode(boost::asio::io_context& loop, const NodeSettings& settings,
               PlatformPorts ports, uint64_t seed);

  /// Opens the sockets and begins to follow the store. Fails with kUnavailable
  /// when an address can't be bound.
  Result<Ok> Start();

 private:
  void HandleDatagram(std::span<const uint8_t> datagram);
  void HandleMessage(const Endpoint& from, ByteView datagram);
  void HandleStatus(const Endpoint& from, const AgentStatus& status);
  void Carry(RelayActions& actions, ByteView packet);
  void SendReset(const ResetCaller& reset);
  void HandleConfiguration(const StoredObject& object);
  void HandleAgents(const ObjectListing& listing);
  void ConfirmAgents();
  void HandleAgentChange(const ObjectChange& change);
  void FollowConfiguration();
  void FollowAgents();
  void PollAgent(const Endpoint& agent, bool is_listed);
  void PollAgents();
  void PollStartingAgents();
  void RemoveLostEntry();
  void Tick();
  bool IsReady() const;
  void BeginStop();
  std::string RenderMetrics();

  boost::asio::io_context& loop_;
  NodeSettings settings_;
  PlatformPorts ports_;
  BalancerRelay relay_;
  RelayActions actions_;
  Bytes message_;
  RelayedPacketEncoder relayed_;
  LogBudget log_budget_;
  Metrics metrics_;
  std::unique_ptr<AsyncUdpSocket> callers_;
  std::unique_ptr<AsyncUdpSocket> agents_;
  std::unique_ptr<StoreWatch> configuration_watch_;
  std::unique_ptr<StoreWatch> agent_watch_;
  /// For the calls that are not part of a watch; a connection carries one call
  /// at a time.
  std::unique_ptr<StoreConnection> confirmation_;
  std::unique_ptr<StoreConnection> removal_;
  std::unique_ptr<Periodic> poll_timer_;
  std::unique_ptr<Periodic> lost_timer_;
  NodeRuntime runtime_;
  TimePoint listed_;
  TimePoint last_packet_;
  TimePoint last_tick_;
  TimePoint last_refresh_;
  TimePoint last_confirmation_;
  TimePoint stop_requested_;
  uint64_t malformed_ = 0;
  uint64_t malformed_messages_ = 0;
  bool is_confirming_ = false;
  bool is_stopping_ = false;
};

}  // namespace medlarwinch
