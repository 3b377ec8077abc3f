// The consumers of a site, and the routers that choose a balancer for each of
// their packets.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/transport/async_udp_socket.h"
#include "stand_in_site.h"

namespace medlarwinch::review {

/// Opens flows, each from a new port, and sends one request at a time on each.
class Callers {
 public:
  struct Flow {
    FlowTuple tuple;
    TimePoint opened_at;
    uint32_t sequence = 0;
    uint32_t acknowledged = 0;
    uint32_t copies = 0;
    bool is_open = false;
    bool is_reset = false;
    /// Empty if none is in progress.
    std::string request;
    TimePoint requested_at;
    TimePoint next_copy_at;
    Millis interval{200};
    size_t answers = 0;
  };

  Callers(Site& site, uint32_t ip, Record& record);

  /// Opens a flow to a route. Returns the caller's port.
  uint16_t Open(const Endpoint& route);

  /// Sends a request on an open flow that has none in progress.
  void SendRequest(Flow& flow);

  std::map<uint16_t, Flow>& flows() { return flows_; }

 private:
  void Tick();
  void HandlePacket(std::span<uint8_t> datagram);
  void Send(const Flow& flow, bool is_syn, std::string_view data);

  Site& site_;
  uint32_t ip_;
  Record& record_;
  std::unique_ptr<AsyncUdpSocket> socket_;
  boost::asio::steady_timer timer_;
  std::map<uint16_t, Flow> flows_;
  uint16_t next_port_ = 40'000;
  size_t next_request_ = 1;
};

}  // namespace medlarwinch::review
