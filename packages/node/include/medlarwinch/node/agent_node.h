#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "medlarwinch/coordination/packet_path/agent_relay.h"
#include "medlarwinch/coordination/packet_path/unlisted_agents.h"
#include "medlarwinch/node/agent_registration.h"
#include "medlarwinch/node/held_packet_queue.h"
#include "medlarwinch/node/node_runtime.h"
#include "medlarwinch/node/platform_adapter.h"
#include "medlarwinch/node/socket_arrivals.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// The polls of one balancer.
struct BalancerPolls {
  TimePoint last_poll;
  uint64_t polls = 0;
};

/// I/O layer of an agent: passes datagrams, heartbeats and timers to AgentRelay
/// as events and executes the actions that it returns.
class AgentNode {
 public:
  AgentNode(boost::asio::io_context& loop, const NodeSettings& settings,
            PlatformAdapter platform, uint64_t seed);

  /// Opens the sockets. The agent's entry is published at the first heartbeat
  /// of the upstream. Fails with kUnavailable when an address can't be bound.
  Result<Ok> Start();

 private:
  void HandleMessage(const Endpoint& from, ByteView datagram);
  void HandleRelayedBytes(const RelayHeader& header,
                          const std::optional<OpeningContext>& context,
                          ByteView bytes);
  /// Returns true if the offer of the extended messages is due.
  bool RecordPoll(const Endpoint& from, const AgentPoll& poll);
  void HandlePoll(const Endpoint& from, const AgentPoll& poll);
  void HandleExtendedPoll(const Endpoint& from, const ExtendedPoll& poll);
  void ApplyPolledTerms(const Endpoint& from, const ExtendedPoll& poll);
  void SendProtocolOffer(const Endpoint& balancer);
  void SendPeriodicNotices(const Endpoint& balancer);
  /// Records the agents that a polling balancer names as not listed by the
  /// store. Returns false if the message is another one.
  bool RecordNamedByBalancer(const Endpoint& from, const RelayMessage& message);
  /// Passes on the agents that balancers have named.
  void SendNamedAgents(const Endpoint& balancer);
  AgentStatus MakeStatus();
  void ApplyPolledBaselines(const BalancerTerms& terms);
  AgentLoad MakeLoad();
  void HandleUpstreamDatagram(std::span<uint8_t> datagram);
  HttpResponse HandleNotice(const HttpRequest& request);
  /// Returns false if the heartbeat must not be acknowledged.
  bool HandleHeartbeatNotice(UpstreamHeartbeat heartbeat);
  void ExecuteActions(const RelayActions& actions, ByteView packet);
  /// Returns false if the action does not concern held packets.
  bool ExecutePacingAction(const RelayAction& action, ByteView packet);
  void RecordLink(const Endpoint& balancer, const BalancerTerms& terms);
  void RefreshPacing(TimePoint now);
  void SendToCaller(const Endpoint& caller, ByteView packet);
  void SendReset(const ResetCaller& reset);
  void SendStatus(const Endpoint& balancer);
  void AnnouncePhase(const char* cause);
  void CheckUpstream();
  void CompleteUpstreamCheck(boost::system::error_code error);
  void Tick();
  void BeginStop();
  std::string RenderMetrics();

  boost::asio::io_context& loop_;
  NodeSettings settings_;
  PlatformAdapter platform_;
  AgentRelay relay_;
  RelayActions actions_;
  Bytes message_buffer_;
  RelayedPacketEncoder packet_encoder_;
  LogRateLimiter log_limiter_;
  Metrics metrics_;
  uint64_t boot_id_;
  uint64_t report_sequence_ = 0;
  uint64_t configuration_version_ = 0;
  UpstreamPhase announced_phase_ = UpstreamPhase::kUnknown;
  /// The balancers that polled recently.
  std::map<Endpoint, BalancerPolls> polls_by_balancer_;
  /// Agents in use that balancers do not find in the store.
  NamedAgents named_agents_;
  AgentRegistration registration_;
  std::unique_ptr<AsyncUdpSocket> relay_socket_;
  std::unique_ptr<AsyncUdpSocket> upstream_socket_;
  std::unique_ptr<AsyncHttpServer> notice_server_;
  boost::asio::steady_timer upstream_check_timer_;
  /// Acknowledgements of upload flows that are sent later.
  HeldPacketQueue held_packets_;
  NodeRuntime runtime_;
  TimePoint last_tick_at_;
  SocketArrivals arrivals_;
  TimePoint stop_requested_at_;
  bool is_withdraw_requested_ = false;
  uint64_t malformed_packets_ = 0;
  uint64_t malformed_messages_ = 0;
  uint64_t refused_notices_ = 0;
};

}  // namespace medlarwinch
