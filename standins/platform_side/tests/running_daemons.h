#pragma once

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/platform_side/metadata_service.h"
#include "medlarwinch/platform_side/simulated_upstream.h"
#include "medlarwinch/platform_side/soak_configuration.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/standins/child_process.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/system_clock.h"
#include "test_address.h"

namespace medlarwinch {

inline constexpr uint16_t kReadinessPort = 8167;
inline constexpr uint16_t kStorePort = 8169;
inline constexpr uint16_t kRelayPort = 7'720;
inline constexpr uint16_t kMetricsPort = 9464;
inline constexpr Millis kConditionTimeout{8'000};

// A balancer and an agent with a listed upstream, as processes of their own.
struct RunningDaemons {
  RunningDaemons() {
    std::filesystem::create_directories(folder);
    Result<std::unique_ptr<AsyncHttpServer>> listening =
        AsyncHttpServer::ListenDeferred(
            loop, Endpoint{balancer_ip, kStorePort},
            [this](const HttpRequest& request,
                   AsyncHttpServer::Responder respond) {
              store.Handle(request, StoreFault::kNone, MonotonicNow(),
                           std::move(respond));
            });
    BOOST_REQUIRE(IsOk(listening));
    store_server = TakeValue(std::move(listening));
    store.Put("config", "main", SoakConfiguration(1, 0));
    balancer = Spawn("balancer", "balancer", balancer_ip);
    agent = Spawn("agent", "agent", agent_ip);
    BOOST_REQUIRE(IsOk(upstream.Start()));
    BOOST_REQUIRE(IsOk(AsyncUdpSocket::OpenInto(
        caller, loop, Endpoint{caller_ip, kDatagramPort},
        [](const Endpoint& /*from*/, std::span<uint8_t> /*datagram*/) {})));
    BOOST_REQUIRE(RunUntil([this] {
      Send(balancer_datagrams, Packet(true, 0));
      return is_opened && IsReady(balancer_ip) && IsReady(agent_ip);
    }));
  }

  ~RunningDaemons() {
    balancer.reset();
    agent.reset();
    std::filesystem::remove_all(folder);
  }

  // The settings and the log of the process are named after it.
  std::unique_ptr<ChildProcess> Spawn(const std::string& role,
                                      const std::string& name, uint32_t ip) {
    const std::string file = folder + "/" + name + ".json";
    const auto at = [ip](uint16_t port) {
      return ToString(Endpoint{ip, port});
    };
    std::ofstream(file) << nlohmann::json{
        {"node_name", name},
        {"zone", "d1"},
        {"listen",
         {{"datagram_addr", at(kDatagramPort)},
          {"readiness_addr", at(kReadinessPort)},
          {"outbound", at(kOutboundPort)},
          {"control", at(kAgentControlPort)}}},
        {"internal_port_range", {kRelayPort, kRelayPort + 15}},
        {"heartbeat_ms", 500},
        {"bounds", bounds},
        {"app", at(kUpstreamPacketPort)},
        {"service", kHubService},
        {"platform",
         {{"address", ToString(Endpoint{balancer_ip, store_port})}}}};
    setenv("MEDLARWINCH_BOOT", file.c_str(), 1);
    Result<std::unique_ptr<ChildProcess>> process = ChildProcess::Spawn(
        MEDLARWINCH_PLATFORMD, {role}, folder + "/" + name + ".log");
    BOOST_REQUIRE(IsOk(process));
    return TakeValue(std::move(process));
  }

  bool RunUntil(const std::function<bool()>& condition,
                Millis timeout = kConditionTimeout) {
    const TimePoint deadline = MonotonicNow() + timeout;
    while (!condition()) {
      if (MonotonicNow() > deadline) return false;
      Run(std::chrono::milliseconds(20));
    }
    return true;
  }

  void Run(std::chrono::milliseconds duration) {
    loop.restart();
    loop.run_for(duration);
    store.Tick(MonotonicNow());
  }

  // Returns nullopt if the process does not respond.
  std::optional<HttpResponse> Get(const Endpoint& server,
                                  const std::string& target) {
    AsyncHttpClient client(loop, server);
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    std::optional<HttpResponse> response;
    bool is_done = false;
    client.Send(std::move(request), Millis{1'000}, Millis{1'000},
                [&](Result<HttpResponse> result) {
                  is_done = true;
                  if (IsOk(result)) response = TakeValue(std::move(result));
                });
    while (!is_done) Run(std::chrono::milliseconds(1));
    return response;
  }

  bool IsReady(uint32_t ip) {
    const std::optional<HttpResponse> response =
        Get(Endpoint{ip, kReadinessPort}, "/readiness");
    return response.has_value() && response->status == 200;
  }

  // Returns the value of the metric, or 0 if the process does not respond.
  uint64_t Metric(uint32_t ip, const std::string& name) {
    const std::optional<HttpResponse> response =
        Get(Endpoint{ip, kMetricsPort}, "/metrics");
    if (!response.has_value()) return 0;
    const size_t at = response->body.find("\n" + name);
    if (at == std::string::npos) return 0;
    const size_t value = response->body.find(' ', at);
    return std::strtoull(response->body.c_str() + value, nullptr, 10);
  }

  // Waits between datagrams, so that none is lost in a full receive buffer.
  void Send(const Endpoint& to, const Bytes& datagram) {
    BOOST_REQUIRE(caller->Send(to, datagram));
    Run(std::chrono::milliseconds(1));
  }

  Bytes Packet(bool is_syn, size_t data_bytes,
               uint16_t caller_port = 1'030) const {
    FlowPacket packet;
    packet.source = Endpoint{caller_ip, caller_port};
    packet.destination = *RouteAddresses(kHubService).begin();
    packet.is_syn = is_syn;
    packet.is_ack = !is_syn;
    packet.sequence = 5'000;
    return EncodePacket(packet, std::string(data_bytes, 'x'));
  }

  // An opening with this header is passed on to the caller's address if the
  // upstream does not take it.
  RelayHeader MakeHeader() const {
    RelayHeader header;
    header.balancer = Endpoint{balancer_ip, kRelayPort};
    header.allowed = {MakeServiceId(kHubService)};
    header.alternates = {Endpoint{caller_ip, kDatagramPort}};
    return header;
  }

  // Waits for the readiness responses, since a loaded machine may delay them.
  void CheckBothReady() {
    BOOST_TEST(RunUntil(
        [this] { return balancer->HasExited() || IsReady(balancer_ip); }));
    BOOST_TEST(
        RunUntil([this] { return agent->HasExited() || IsReady(agent_ip); }));
    BOOST_TEST(!balancer->HasExited());
    BOOST_TEST(!agent->HasExited());
  }

  const std::string folder =
      std::filesystem::temp_directory_path() /
      ("medlarwinch-daemons-" + std::to_string(getpid()));
  // The second bytes are outside the range of ProcessLoopbackIp().
  const uint32_t balancer_ip = ProcessLoopbackIp();
  const uint32_t agent_ip = ProcessLoopbackIp() | 0x800000;
  const uint32_t caller_ip = agent_ip ^ 0x400000;
  const Endpoint balancer_datagrams{balancer_ip, kDatagramPort};
  boost::asio::io_context loop;
  MetadataService store;
  std::unique_ptr<AsyncHttpServer> store_server;
  bool is_opened = false;
  // Where the processes that are started from now on reach the store.
  uint16_t store_port = kStorePort;
  // Of the processes that are started from now on.
  nlohmann::json bounds = {{"grace_s", 6}};
  SimulatedUpstream upstream{
      loop,
      SimulatedUpstreamSettings{kHubService, "d1", agent_ip},
      RouteAddresses(kHubService),
      1,
      [](const std::string& what) { BOOST_ERROR(what); },
      [this](const FlowTuple& /*flow*/) { is_opened = true; }};
  std::unique_ptr<AsyncUdpSocket> caller;
  std::unique_ptr<ChildProcess> balancer;
  std::unique_ptr<ChildProcess> agent;
};

}  // namespace medlarwinch
