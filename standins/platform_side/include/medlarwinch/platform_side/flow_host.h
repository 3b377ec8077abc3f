#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

struct FlowHostSettings {
  std::string service;
  std::string failure_domain;
  /// Address of its VM; `app`, `outbound` and `control` have fixed ports there.
  uint32_t ip = 0;
  uint32_t slots = 4;
  Millis work{20};
  Millis beat_interval{500};
};

/// Ports of the stand-in's hosts and their agents.
inline constexpr uint16_t kAppPort = 8165;
inline constexpr uint16_t kOutboundPort = 8162;
inline constexpr uint16_t kControlPort = 8166;

/// A stand-in for a host of the platform: holds flows, runs requests, sends
/// heartbeats to its agent. One incarnation; a restart is a new object.
class FlowHost {
 public:
  /// Called with what breaks a promise.
  using Report = std::function<void(const std::string&)>;

  FlowHost(boost::asio::io_context& loop, FlowHostSettings settings,
           std::set<Endpoint> allowed_routes, uint32_t incarnation,
           Report report);
  ~FlowHost();
  FlowHost(const FlowHost&) = delete;
  FlowHost& operator=(const FlowHost&) = delete;

  Result<Ok> Start();

  /// Says in the next heartbeat that it is draining.
  void Drain();
  bool is_draining() const { return is_draining_; }
  /// Since when the drain is acknowledged.
  bool drain_is_acknowledged() const { return drain_acknowledged_; }
  /// Deregisters; `done` is called once it is answered or has failed.
  void Deregister(std::function<void()> done);

  const FlowHostSettings& settings() const { return settings_; }
  bool Holds(const FlowTuple& flow) const;
  uint64_t served() const { return served_; }

 private:
  struct Flow {
    uint32_t first = 0;
    uint32_t sent = 0;
    uint32_t received = 0;
    bool is_open = false;
    bool is_running = false;
    std::string answer;
  };

  void HandlePacket(std::span<uint8_t> datagram);
  void Bounce(std::span<uint8_t> datagram);
  void Run(const FlowTuple& flow, const std::string& request);
  void SendToCaller(const FlowTuple& flow, const Flow& state, bool is_syn,
                    uint32_t sequence, std::string_view data);
  void Beat();

  boost::asio::io_context& loop_;
  FlowHostSettings settings_;
  std::set<Endpoint> allowed_routes_;
  uint32_t incarnation_;
  Report report_;
  std::string id_;
  std::unique_ptr<AsyncUdpSocket> port_;
  AsyncHttpClient beats_;
  boost::asio::steady_timer beat_timer_;
  std::map<FlowTuple, Flow> flows_;
  uint32_t running_ = 0;
  uint64_t sequence_ = 0;
  uint64_t served_ = 0;
  bool is_draining_ = false;
  bool drain_acknowledged_ = false;
  TimePoint drain_since_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarwinch
