#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A bound UDP socket with its own receiving threads. Send() is thread-safe.
class UdpSocket {
 public:
  /// Called for each received datagram with the address of its sender. The view
  /// is valid only during the call.
  using Handler = std::function<void(const Endpoint& from, ByteView datagram)>;

  /// Binds to `local`. Port 0 selects a free port. Fails with kUnavailable,
  /// naming the address and the system error.
  static Result<std::unique_ptr<UdpSocket>> Bind(const Endpoint& local);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  const Endpoint& local() const { return local_; }

  /// Starts `threads` threads that receive datagrams in batches and call
  /// `handler` for each of them.
  void Start(Handler handler, int threads = 1);

  /// Stops and joins the receiving threads. Called by the destructor. Must not
  /// be called from the handler.
  void Stop();

  /// Sends one datagram. Returns false if the system call fails, for example
  /// because the send buffer is full. Peers recover by retransmission.
  bool Send(const Endpoint& to, ByteView datagram) const;

  /// Counters of sent and received datagrams and bytes, for metrics.
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t received_bytes() const { return received_bytes_; }
  uint64_t sent_datagrams() const { return sent_datagrams_; }
  uint64_t received_datagrams() const { return received_datagrams_; }

 private:
  UdpSocket(int descriptor, const Endpoint& local);

  void ReadLoop(const Handler& handler);

  int descriptor_;
  Endpoint local_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
  mutable std::atomic<uint64_t> sent_bytes_{0};
  mutable std::atomic<uint64_t> sent_datagrams_{0};
  std::atomic<uint64_t> received_bytes_{0};
  std::atomic<uint64_t> received_datagrams_{0};
};

}  // namespace medlarwinch
