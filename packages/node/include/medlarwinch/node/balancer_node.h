#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "medlarwinch/coordination/packet_path/balancer_relay.h"
#include "medlarwinch/coordination/packet_path/outlier_weights.h"
#include "medlarwinch/node/node_runtime.h"
#include "medlarwinch/node/platform_adapter.h"
#include "medlarwinch/node/store_watch.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// I/O layer of a balancer: passes datagrams, responses of the metadata store
/// and timers to BalancerRelay as events and executes the actions that it
/// returns.
class BalancerNode {
 public:
  BalancerNode(boost::asio::io_context& loop, const NodeSettings& settings,
               PlatformAdapter platform, uint64_t seed);

  /// Opens the sockets and starts to watch the store. Fails with kUnavailable
  /// when an address can't be bound.
  Result<Ok> Start();

 private:
  void HandleDatagram(std::span<const uint8_t> datagram);
  void HandleMessage(const Endpoint& from, ByteView datagram);
  void HandleStatus(const Endpoint& from, const AgentStatus& status);
  void ExecuteActions(RelayActions& actions, ByteView packet);
  void SchedulePendingQueries();
  void SendReset(const ResetCaller& reset);
  void ObserveStoreEra(uint64_t era);
  void ReconnectOutdatedWatch(StoreWatch* watch);
  void HandleConfiguration(const StoredObject& object);
  void HandleAgentListing(const ObjectListing& listing);
  void ConfirmAgents();
  void HandleAgentChange(const ObjectChange& change);
  void WatchConfiguration();
  void WatchAgents();
  bool UsesExtendedPolls() const;
  BalancerTerms MakeTerms(const KnownUpstream& upstream) const;
  void PollAgent(const Endpoint& agent, bool is_listed);
  void PollAgents();
  void PollStartingAgents();
  bool SendsBaselines() const;
  void RefreshBaselines(TimePoint now);
  void UpdateOutliers(TimePoint now);
  void RemoveLostAgentEntry();
  void Tick();
  bool IsReady() const;
  void BeginStop();
  std::string RenderMetrics();

  boost::asio::io_context& loop_;
  NodeSettings settings_;
  PlatformAdapter platform_;
  BalancerRelay relay_;
  RelayActions actions_;
  Bytes message_buffer_;
  RelayedPacketEncoder packet_encoder_;
  LogRateLimiter log_limiter_;
  Metrics metrics_;
  std::unique_ptr<AsyncUdpSocket> caller_socket_;
  std::unique_ptr<AsyncUdpSocket> agent_socket_;
  std::unique_ptr<StoreWatch> configuration_watch_;
  std::unique_ptr<StoreWatch> agent_watch_;
  /// Connections for calls other than the watches; a connection carries one
  /// call at a time.
  std::unique_ptr<StoreConnection> confirmation_store_;
  std::unique_ptr<StoreConnection> removal_store_;
  std::unique_ptr<PeriodicTimer> poll_timer_;
  std::unique_ptr<PeriodicTimer> lost_agent_timer_;
  /// Sends the collected ownership queries.
  boost::asio::steady_timer flush_timer_;
  NodeRuntime runtime_;
  TimePoint first_listing_at_;
  TimePoint last_packet_at_;
  TimePoint last_tick_at_;
  TimePoint last_refresh_at_;
  TimePoint last_confirmation_at_;
  TimePoint stop_requested_at_;
  /// Latest era of the store that a listing was read in.
  uint64_t store_era_ = 0;
  /// Number of balancers that an agent last reported.
  uint32_t reported_balancers_ = 0;
  /// Number of times that all agents were polled.
  uint64_t poll_round_ = 0;
  /// As of the last poll that sent them.
  ServiceBaselines baselines_;
  uint64_t malformed_packets_ = 0;
  uint64_t malformed_messages_ = 0;
  bool is_flush_scheduled_ = false;
  bool is_confirming_ = false;
  bool is_stopping_ = false;
};

}  // namespace medlarwinch
