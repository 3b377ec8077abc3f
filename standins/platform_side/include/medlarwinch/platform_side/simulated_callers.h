#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// Number of opened flows, of requests, and of requests by outcome. The opening
/// of a flow and the first request on it count as one request.
struct CallerCounts {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t flows = 0;
};

/// Simulates the callers on one VM and the routers between them and the
/// balancers. Each user keeps a flow open for many requests.
class SimulatedCallers {
 public:
  struct Hooks {
    /// Returns the balancer to which the routers currently send the flow's
    /// packets. They are dropped if its port is 0.
    std::function<Endpoint(const FlowTuple&)> balancer_of;
    /// Called when an open flow is reset. `sender` is the IP address of the
    /// daemon that sent the reset.
    std::function<void(const FlowTuple&, uint32_t sender)> on_reset;
    /// Called with a description of each violated guarantee.
    std::function<void(const std::string&)> on_violation;
    /// Returns true while an upstream holds the open flow. If set, users keep a
    /// flow after a request has timed out until no upstream holds it, some
    /// pause for long between requests, and some open many short flows.
    std::function<bool(const FlowTuple&)> is_flow_held;
  };

  SimulatedCallers(boost::asio::io_context& loop, uint32_t ip, int users,
                   std::vector<Endpoint> routes, uint64_t seed, Hooks hooks);

  Result<Ok> Start();

  const CallerCounts& counts() const { return counts_; }

 private:
  struct User {
    FlowTuple flow;
    uint32_t last_sequence = 0;
    uint32_t expected_sequence = 0;
    uint32_t syn_retransmissions = 0;
    int requests_left = 0;
    bool is_open = false;
    bool is_pending = false;
    std::string request;
    TimePoint next_action_at;
    TimePoint deadline;
    Millis interval{0};
  };

  void Tick();
  void OpenFlow(User& user, TimePoint now);
  void SendRequest(User& user, TimePoint now);
  void Retransmit(User& user, TimePoint now);
  void HandleTimeout(User& user, TimePoint now);
  void EndRequest(User& user, bool is_answered, TimePoint now);
  void HandlePacket(const Endpoint& from, std::span<uint8_t> datagram);
  void Send(const User& user, bool is_syn, bool is_reset,
            std::string_view data);

  boost::asio::io_context& loop_;
  uint32_t ip_;
  std::vector<Endpoint> routes_;
  std::mt19937_64 random_;
  Hooks hooks_;
  std::unique_ptr<AsyncUdpSocket> socket_;
  boost::asio::steady_timer timer_;
  std::vector<User> users_;
  std::map<uint16_t, size_t> by_port_;
  uint16_t next_port_ = 1'024;
  uint64_t next_request_ = 1;
  CallerCounts counts_;
};

}  // namespace medlarwinch
