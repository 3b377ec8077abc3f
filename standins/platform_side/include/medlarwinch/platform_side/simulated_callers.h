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
#include "medlarwinch/transport/datagram_port.h"

namespace medlarwinch {

/// How many requests of callers ended how.
struct CallerStats {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint64_t flows = 0;
};

/// A stand-in for the platform's callers and routers at one VM: users who keep
/// flows open for many requests.
class SimulatedCallers {
 public:
  struct Hooks {
    /// The balancer to which the routers send the flow's packets now; port 0
    /// drops them.
    std::function<Endpoint(const FlowTuple&)> balancer_of;
    /// The system has reset an open flow; `sender` is the daemon.
    std::function<void(const FlowTuple&, uint32_t sender)> on_reset;
    /// Something breaks a promise.
    std::function<void(const std::string&)> on_violation;
  };

  SimulatedCallers(boost::asio::io_context& loop, uint32_t ip, int users,
                   std::vector<Endpoint> routes, uint64_t seed, Hooks hooks);

  Result<Ok> Start();

  const CallerStats& stats() const { return stats_; }

 private:
  struct User {
    FlowTuple flow;
    uint32_t last_sequence = 0;
    uint32_t expected_sequence = 0;
    uint32_t syn_retransmissions = 0;
    int remaining_requests = 0;
    bool is_open = false;
    bool is_pending = false;
    std::string request;
    TimePoint next_action;
    TimePoint deadline;
    Millis retransmit_interval{0};
  };

  void Tick();
  void OpenFlow(User& user, TimePoint now);
  void SendRequest(User& user, TimePoint now);
  void Retransmit(User& user, TimePoint now);
  void FinishRequest(User& user, bool is_answered, TimePoint now);
  void HandlePacket(const Endpoint& from, std::span<uint8_t> datagram);
  void Send(const User& user, bool is_syn, bool is_reset,
            std::string_view data);

  boost::asio::io_context& loop_;
  uint32_t ip_;
  std::vector<Endpoint> routes_;
  std::mt19937_64 random_;
  Hooks hooks_;
  std::unique_ptr<DatagramPort> port_;
  boost::asio::steady_timer timer_;
  std::vector<User> users_;
  std::map<uint16_t, size_t> user_by_port_;
  uint16_t next_port_ = 1'024;
  uint64_t next_request_number_ = 1;
  CallerStats stats_;
};

}  // namespace medlarwinch
