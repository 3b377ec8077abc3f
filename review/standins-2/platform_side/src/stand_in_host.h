// A host of the platform on a `side` machine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_http_server.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch::review {

struct HostOptions {
  std::string id;
  std::string service;
  std::string zone;
  uint32_t ip = 0;
  uint32_t slots = 4;
  Millis work{20};
  Millis heartbeat_interval{1'200};
  /// The value of `sequence` in the first heartbeat.
  uint64_t first_sequence = 1;
};

/// Holds flows, runs one request per flow at a time, returns the packets of
/// flows that it does not hold, and sends heartbeats from its start on. It
/// never sends a reset.
class Host {
 public:
  using LogFunction = std::function<void(const std::string&)>;
  /// Called once for each flow whose opening the host takes.
  using OpeningFunction = std::function<void(const FlowTuple&)>;

  /// Called for each packet of a flow, other than openings and resets, and
  /// whether the host holds the flow.
  using PacketFunction = std::function<void(const FlowTuple&, bool is_held)>;

  Host(boost::asio::io_context& loop, HostOptions options, LogFunction log,
       OpeningFunction on_opening, PacketFunction on_packet = {});

  void Start();

  /// Ends for good, together with its flows, and tells nobody.
  void Crash();

  /// The host is cold for `duration` from now on, and says so in its
  /// heartbeats.
  void BecomeCold(Millis duration);
  bool IsCold() const;

  /// True if the caller has completed the flow's opening at this host.
  bool HoldsOpenFlow(const FlowTuple& flow) const;
  const HostOptions& options() const { return options_; }
  size_t requests_run() const { return requests_run_; }

 private:
  struct Flow {
    uint32_t initial_sequence = 0;
    uint32_t next_sequence = 0;
    uint32_t expected_sequence = 0;
    bool is_open = false;
    bool is_running = false;
    std::string response;
  };

  void HandlePacket(std::span<uint8_t> datagram);
  void HandleOpening(const FlowPacket& packet);
  void RunRequest(const FlowTuple& flow, const std::string& request);
  void Send(const FlowTuple& flow, const Flow& state, bool is_syn,
            uint32_t sequence, std::string_view data);
  void SendHeartbeat();

  boost::asio::io_context& loop_;
  HostOptions options_;
  LogFunction log_;
  OpeningFunction on_opening_;
  PacketFunction on_packet_;
  std::unique_ptr<AsyncUdpSocket> socket_;
  std::unique_ptr<AsyncHttpServer> status_server_;
  AsyncHttpClient heartbeat_client_;
  boost::asio::steady_timer heartbeat_timer_;
  std::map<FlowTuple, Flow> flows_;
  TimePoint cold_until_;
  int64_t born_ms_ = 0;
  uint64_t next_heartbeat_;
  uint32_t next_initial_sequence_ = 1'000'000;
  size_t requests_run_ = 0;
};

}  // namespace medlarwinch::review
