#pragma once

#include "medlarwinch/coordination/packet_path/arrival_delay.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch {

/// Tells how long a datagram that is read from a socket may have been unread
/// because its event loop was suspended or busy.
class SocketArrivals {
 public:
  /// Records a periodic tick of the loop, kTickInterval after the one before if
  /// it is on time. After a late tick the datagrams that wait are read at once.
  void HandleTick(AsyncUdpSocket& socket);

  /// Returns how long the datagram that is being read may have waited.
  Millis MaxDelay(const AsyncUdpSocket& socket) const;

 private:
  LoopTicks ticks_;
  SocketBacklog backlog_;
};

}  // namespace medlarwinch
