#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "medlarwinch/daemon/agent_engine.h"
#include "medlarwinch/standins/upstream_server.h"
#include "medlarwinch/transport/flow_client.h"
#include "medlarwinch/transport/udp_socket.h"

namespace medlarwinch {

inline constexpr Endpoint kTestServiceAddress{0x0a630001, 443};

/// Waits up to 5 s for `condition`; returns whether it became true.
bool WaitFor(const std::function<bool()>& condition);

/// One agent with its stand-in upstream and without a control plane.
struct TestAgent {
  explicit TestAgent(uint16_t upstream_port);
  ~TestAgent();
  TestAgent(const TestAgent&) = delete;
  TestAgent& operator=(const TestAgent&) = delete;

  Endpoint data() const { return socket->local(); }
  /// Publishes a view in which `agents` are ready.
  void PublishView(const std::vector<Endpoint>& agents, uint64_t version,
                   const ServiceDocument& document);
  bool HasEntry(const std::string& action, const std::string& rule);

  boost::asio::io_context context;
  std::unique_ptr<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
      work_guard;
  std::unique_ptr<UpstreamServer> upstream;
  std::unique_ptr<UdpSocket> socket;
  Metrics metrics;
  std::unique_ptr<AgentEngine> engine;
  std::mutex mutex;
  std::vector<AccountEntry> entries;
  std::vector<MemberPhase> phases;
  std::atomic<bool> stopping{false};
  std::thread io_thread;
  std::thread tick_thread;
};

/// Agents behind a relay that forwards packets as a balancer does.
struct AgentsBehindRelay {
  explicit AgentsBehindRelay(size_t count = 1);
  ~AgentsBehindRelay();
  AgentsBehindRelay(const AgentsBehindRelay&) = delete;
  AgentsBehindRelay& operator=(const AgentsBehindRelay&) = delete;

  void PublishViews();
  void Relay(const Endpoint& from, ByteView datagram);
  FlowHandle Open(bool address_only = false);
  /// Sends a request and waits until it ends; `body` receives the response.
  FlowRequestOutcome SendAndWait(FlowHandle flow, FlowRequest request,
                                 std::string* body = nullptr);
  uint64_t executed_request_count() const;
  /// Returns the agent that owns the flow by its identifier.
  TestAgent* OwnerOf(FlowHandle flow);

  ServiceDocument document;
  uint64_t version = 1;
  KeySet keys;
  std::vector<std::unique_ptr<TestAgent>> agents;
  /// Drops every packet towards an agent for which it returns true.
  std::function<bool(const FabricPacket&)> should_drop;
  std::unique_ptr<UdpSocket> relay;
  std::unique_ptr<FlowClient> client;
};

}  // namespace medlarwinch
