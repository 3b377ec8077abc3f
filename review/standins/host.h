#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "flow_end.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_http_server.h"
#include "medlarwinch/transport/async_udp_socket.h"
#include "record.h"

namespace medlarwinch::review {

inline constexpr uint16_t kAppPort = 8165;
inline constexpr uint16_t kOutboundPort = 8162;
inline constexpr uint16_t kControlPort = 8166;

struct HostSettings {
  std::string id;
  std::string service;
  std::string zone;
  uint32_t ip = 0;
  int slots = 4;
  Millis work{30};
  Millis heartbeat_interval{770};
  /// For this time after its start, the host delays its answers to openings by
  /// a random time up to `cold_delay`, and its responses by `cold_work`.
  Millis cold_time{0};
  Millis cold_delay{0};
  Millis cold_work{0};
  /// Delay of each packet to the host, in place of its machine's link.
  Millis receive_delay{0};
  /// Unix milliseconds of the start of this incarnation.
  int64_t born = 0;
};

/// A sound host of the platform: holds flows, runs requests and sends pings to
/// the daemon on its machine. An object is one incarnation.
class Host {
 public:
  Host(boost::asio::io_context& loop, HostSettings settings, Record& record);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  Result<Ok> Start();

  /// Says `draining` from the next ping on, which is sent at once.
  void Drain();

  /// Tells the agent that the host is about to exit.
  void Deregister();

  /// Called for each packet of a flow, and whether the flow is held here.
  std::function<void(const FlowTuple&, bool is_held)> on_packet;

  /// Time of the last acknowledged ping.
  TimePoint last_acknowledged_at() const { return last_acknowledged_at_; }

  bool HoldsOpenFlow(const FlowTuple& flow) const;
  const HostSettings& settings() const { return settings_; }

 private:
  struct Flow {
    uint32_t first_sequence = 0;
    uint32_t caller_first = 0;
    std::unique_ptr<FlowEnd> end;
    std::string received;
    bool is_open = false;
    bool is_running = false;
    bool is_finished = false;
    TimePoint opened_at;
  };

  void HandleDatagram(std::span<uint8_t> datagram);
  void HandleDelayed(std::span<const uint8_t> datagram);
  void HandleOpening(const FlowPacket& packet);
  void Bounce(std::span<uint8_t> datagram);
  void Send(const FlowPacket& packet, std::string_view data);
  bool IsCold() const;
  void AnswerOpening(const FlowPacket& answer);
  void TakeRequests(const FlowTuple& tuple);
  void StartQueued();
  void Respond(const FlowTuple& tuple, const std::string& head);
  void SendHeartbeat();
  void Tick();

  boost::asio::io_context& loop_;
  HostSettings settings_;
  Record& record_;
  std::mt19937_64 random_;
  std::unique_ptr<AsyncUdpSocket> socket_;
  std::unique_ptr<AsyncHttpServer> status_server_;
  AsyncHttpClient heartbeat_client_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer tick_timer_;
  std::map<FlowTuple, Flow> flows_;
  std::deque<std::pair<FlowTuple, std::string>> queue_;
  int running_ = 0;
  uint64_t sequence_ = 0;
  TimePoint started_at_;
  bool is_draining_ = false;
  std::optional<TimePoint> drain_acknowledged_at_;
  TimePoint last_acknowledged_at_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Text of a flow for the record.
std::string FlowText(const FlowTuple& flow);

}  // namespace medlarwinch::review
