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

/// A bound UDP socket. Send() may be called from any thread; datagrams arrive
/// on threads of the socket's own.
class UdpSocket {
 public:
  /// Called with the sender and the content of each datagram; the view is valid
  /// during the call only.
  using Handler = std::function<void(const Endpoint& from, ByteView datagram)>;

  /// Binds to `local`; port 0 picks a free one. Fails with kUnavailable, naming
  /// the address and the system's error.
  static Result<std::unique_ptr<UdpSocket>> Bind(const Endpoint& local);

  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  const Endpoint& local() const { return local_; }

  /// Starts `threads` threads that read datagrams in batches and call `handler`
  /// for each.
  void Start(Handler handler, int threads = 1);

  /// Stops and joins the reading threads. Called by the destructor; must not be
  /// called from the handler.
  void Stop();

  /// Sends one datagram; returns false when the system refuses it, for example
  /// because its buffers are full. UDP peers recover by sending again.
  bool Send(const Endpoint& to, ByteView datagram) const;

  /// Datagrams and bytes sent and received so far, for the metrics.
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
