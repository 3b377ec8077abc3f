#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "medlarwinch/coordination/agent_relay.h"
#include "medlarwinch/node/agent_entry.h"
#include "medlarwinch/node/node_base.h"
#include "medlarwinch/node/platform_ports.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// The shell of an agent: turns datagrams, heartbeats and timers into events of
/// AgentRelay and carries its actions out.
class AgentNode {
 public:
  AgentNode(boost::asio::io_context& loop, const NodeSettings& settings,
            PlatformPorts ports, uint64_t seed);

  /// Opens the sockets and writes the agent's entry to the store. Fails with
  /// kUnavailable when an address can't be bound.
  Result<Ok> Start();

 private:
  void HandleMessage(const Endpoint& from, ByteView datagram);
  void HandleRelayed(const RelayedPacket& message);
  void HandlePoll(const Endpoint& from, const AgentPoll& poll);
  void HandleFromUpstream(std::span<uint8_t> datagram);
  HttpResponse HandleNotice(const HttpRequest& request);
  void HandleBeatNotice(const UpstreamBeat& beat);
  void Carry(const RelayActions& actions, ByteView packet);
  void SendReset(const ResetCaller& reset);
  void SendStatus(const Endpoint& balancer);
  void AnnouncePhase(const char* cause);
  void Tick();
  void BeginStop();
  std::string RenderMetrics();

  boost::asio::io_context& loop_;
  NodeSettings settings_;
  PlatformPorts ports_;
  AgentRelay relay_;
  RelayActions actions_;
  Bytes message_;
  RelayedPacketEncoder relayed_;
  LogBudget log_budget_;
  Metrics metrics_;
  uint64_t boot_;
  uint64_t report_sequence_ = 0;
  uint64_t configuration_revision_ = 0;
  UpstreamPhase announced_ = UpstreamPhase::kUnknown;
  /// Balancers that polled lately, and when.
  std::map<Endpoint, TimePoint> balancers_;
  AgentEntry entry_;
  std::unique_ptr<AsyncUdpSocket> relay_port_;
  std::unique_ptr<AsyncUdpSocket> upstream_port_;
  std::unique_ptr<AsyncHttpServer> beats_;
  NodeRuntime runtime_;
  TimePoint stop_requested_;
  bool is_withdrawn_ = false;
  uint64_t malformed_ = 0;
  uint64_t malformed_messages_ = 0;
  uint64_t refused_notices_ = 0;
};

}  // namespace medlarwinch
