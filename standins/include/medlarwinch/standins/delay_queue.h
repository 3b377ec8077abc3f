#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/transport/udp_socket.h"

namespace medlarwinch {

/// Sends datagrams after a delay from a dedicated thread. Datagrams with the
/// same due time are sent in insertion order.
class DelayQueue {
 public:
  DelayQueue();
  /// Discards pending datagrams.
  ~DelayQueue();
  DelayQueue(const DelayQueue&) = delete;
  DelayQueue& operator=(const DelayQueue&) = delete;

  /// Sends immediately when `delay` is not positive. `socket` must outlive the
  /// queue.
  void Send(const UdpSocket& socket, const Endpoint& to, Bytes datagram,
            std::chrono::microseconds delay);

 private:
  using Clock = std::chrono::steady_clock;

  struct PendingDatagram {
    Clock::time_point due;
    uint64_t sequence = 0;
    const UdpSocket* socket = nullptr;
    Endpoint to;
    Bytes datagram;
  };

  struct IsDueLater {
    bool operator()(const PendingDatagram& a, const PendingDatagram& b) const {
      if (a.due != b.due) return a.due > b.due;
      return a.sequence > b.sequence;
    }
  };

  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::priority_queue<PendingDatagram, std::vector<PendingDatagram>, IsDueLater>
      pending_;
  uint64_t next_sequence_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarwinch
