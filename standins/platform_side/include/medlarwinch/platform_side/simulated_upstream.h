#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_http_server.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

struct SimulatedUpstreamSettings {
  std::string service;
  std::string failure_domain;
  /// IP address of the VM. The ports below are the same on every VM.
  uint32_t ip = 0;
  uint32_t slots = 4;
  Millis request_duration{20};
  Millis heartbeat_interval{500};
  /// Time from the start to the first heartbeat.
  Millis first_heartbeat_delay{0};
  /// How long the upstream is cold after its start.
  Millis cold_time{0};
  /// Openings a second that the upstream takes while it is cold; 0 is
  /// unlimited.
  double cold_openings_per_second = 0;
};

/// Ports of the simulated upstreams and their agents.
inline constexpr uint16_t kUpstreamPacketPort = 8165;
inline constexpr uint16_t kOutboundPort = 8162;
inline constexpr uint16_t kAgentControlPort = 8166;

/// An open flow as its upstream knows it.
struct OpenFlow {
  TimePoint opened_at;
  /// When the upstream last received a packet of the flow.
  TimePoint last_packet_at;
};

/// Simulates an upstream of the platform: holds flows, runs requests, answers
/// status checks over TCP at its packet address and sends heartbeats to its
/// agent. An object is one incarnation; a restart creates a
/// new one.
class SimulatedUpstream {
 public:
  /// Called with a description of each violated guarantee.
  using ViolationHandler = std::function<void(const std::string&)>;
  /// Called for each flow that is opened.
  using OpeningHandler = std::function<void(const FlowTuple&)>;
  /// Called for each packet, other than a reset, of a flow that this upstream
  /// does not hold.
  using ForeignPacketHandler = std::function<void(const FlowTuple&)>;

  SimulatedUpstream(boost::asio::io_context& loop,
                    SimulatedUpstreamSettings settings,
                    std::set<Endpoint> allowed_routes, uint32_t incarnation,
                    ViolationHandler on_violation, OpeningHandler on_opening,
                    ForeignPacketHandler on_foreign_packet = {});
  ~SimulatedUpstream();
  SimulatedUpstream(const SimulatedUpstream&) = delete;
  SimulatedUpstream& operator=(const SimulatedUpstream&) = delete;

  Result<Ok> Start();

  /// Reports in the next heartbeat that the upstream is draining.
  void Drain();
  bool is_draining() const { return is_draining_; }
  /// True once the agent has acknowledged a heartbeat that reports the drain.
  bool is_drain_acknowledged() const { return is_drain_acknowledged_; }
  /// Deregisters from the agent. `done` is called after the response or a
  /// failure.
  void Deregister(std::function<void()> done);

  const SimulatedUpstreamSettings& settings() const { return settings_; }
  /// Returns the flow if it is open at this upstream.
  std::optional<OpenFlow> FindOpenFlow(const FlowTuple& flow) const;
  uint32_t incarnation() const { return incarnation_; }
  uint64_t completed_requests() const { return completed_requests_; }

 private:
  struct Flow {
    uint32_t initial_sequence = 0;
    uint32_t next_sequence = 0;
    uint32_t expected_sequence = 0;
    bool is_open = false;
    bool is_running = false;
    TimePoint opened_at;
    TimePoint last_packet_at;
    std::string response;
  };

  void HandlePacket(std::span<uint8_t> datagram);
  HttpResponse HandleStatusCheck() const;
  void ReportForeign(const FlowTuple& flow);
  void CheckColdOpening();
  void Bounce(std::span<uint8_t> datagram);
  void RunRequest(const FlowTuple& flow, const std::string& request);
  void SendToCaller(const FlowTuple& flow, const Flow& state, bool is_syn,
                    uint32_t sequence, std::string_view data);
  void SendHeartbeat();
  void ScheduleHeartbeat(Millis delay);

  boost::asio::io_context& loop_;
  SimulatedUpstreamSettings settings_;
  std::set<Endpoint> allowed_routes_;
  uint32_t incarnation_;
  ViolationHandler on_violation_;
  OpeningHandler on_opening_;
  ForeignPacketHandler on_foreign_packet_;
  std::string id_;
  std::unique_ptr<AsyncUdpSocket> socket_;
  std::unique_ptr<AsyncHttpServer> status_server_;
  AsyncHttpClient heartbeat_client_;
  boost::asio::steady_timer heartbeat_timer_;
  std::map<FlowTuple, Flow> flows_;
  uint32_t running_requests_ = 0;
  uint64_t heartbeat_sequence_ = 0;
  uint64_t completed_requests_ = 0;
  bool is_draining_ = false;
  bool is_drain_acknowledged_ = false;
  TimePoint drain_acknowledged_at_;
  TimePoint started_;
  int64_t started_unix_ms_ = 0;
  /// Times of the openings received while cold.
  std::deque<TimePoint> cold_openings_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarwinch
