#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "flow_end.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/async_udp_socket.h"
#include "record.h"

namespace medlarwinch::review {

/// The port of consumers and balancers for packets.
inline constexpr uint16_t kDatagramPort = 8172;

struct ConsumerSettings {
  /// Address and port that the consumer's packets name as destination.
  Endpoint route;
  bool is_unsafe = false;
  size_t answer_bytes = 600;
  /// Pause between an answer and the next request on the same flow.
  Millis pause{1'000};
  /// Upper bound of a random time that is added to each pause.
  Millis pause_spread{0};
  Millis time_budget{5'000};
  /// A flow for each request, else one flow for all.
  bool opens_flow_for_each = false;
};

/// The consumers behind one address, each with one flow at a time. They open
/// flows, send requests, retransmit and give up as PROTOCOL.md says.
class Consumers {
 public:
  struct Hooks {
    /// Sends a packet to the balancer that the routers choose.
    std::function<void(const FlowTuple&, Bytes)> route;
    /// Called for a reset of a flow that is open at the consumer and was not
    /// sent by its host. `from` is the sender's IP address.
    std::function<void(const FlowTuple&, const std::string& request,
                       bool is_unsafe, uint32_t from)>
        on_reset;
  };

  Consumers(boost::asio::io_context& loop, uint32_t ip, uint64_t seed,
            Record& record, Hooks hooks);
  ~Consumers();
  Consumers(const Consumers&) = delete;
  Consumers& operator=(const Consumers&) = delete;

  Result<Ok> Start();
  void Add(const ConsumerSettings& settings, Millis first_request_after);
  /// Lets no consumer begin another request.
  void StopRequests() { is_stopped_ = true; }

  uint64_t sent() const { return sent_; }
  uint64_t answered() const { return answered_; }
  uint64_t failed() const { return failed_; }

 private:
  struct Consumer {
    ConsumerSettings settings;
    FlowTuple flow;
    uint32_t first_sequence = 0;
    std::unique_ptr<FlowEnd> end;
    bool is_opening = false;
    bool is_open = false;
    uint32_t copies = 0;
    TimePoint opening_sent_at;
    std::string request_id;
    std::string request;
    std::string received;
    TimePoint next_request_at;
    TimePoint deadline;
  };

  void Tick();
  void OpenFlow(Consumer& consumer, TimePoint now);
  void SendOpening(Consumer& consumer);
  void BeginRequest(Consumer& consumer, TimePoint now);
  void EndRequest(Consumer& consumer, bool is_answered,
                  const std::string& reason, TimePoint now);
  void DropFlow(Consumer& consumer);
  Millis PauseOf(const ConsumerSettings& settings);
  void HandleDatagram(const Endpoint& from, std::span<const uint8_t> datagram);
  void HandlePacket(const Endpoint& from, const Bytes& datagram);
  void TakeAnswer(Consumer& consumer, TimePoint now);

  boost::asio::io_context& loop_;
  uint32_t ip_;
  Record& record_;
  Hooks hooks_;
  std::mt19937_64 random_;
  std::unique_ptr<AsyncUdpSocket> socket_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<Consumer>> consumers_;
  std::map<uint16_t, Consumer*> by_port_;
  uint16_t next_port_ = 10'000;
  uint64_t next_request_ = 1;
  bool is_stopped_ = false;
  uint64_t sent_ = 0;
  uint64_t answered_ = 0;
  uint64_t failed_ = 0;
};

/// Calls `action` after `delay` from the event loop.
void After(boost::asio::io_context& loop, Millis delay,
           std::function<void()> action);

}  // namespace medlarwinch::review
