#include "medlarwinch/node/socket_arrivals.h"

#include "medlarwinch/node/node_runtime.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

void SocketArrivals::HandleTick(AsyncUdpSocket& socket) {
  RecordLoopTick(ticks_, kTickInterval, BootTimeNow());
  RecordBacklog(backlog_, ticks_, socket.drains());
  // Otherwise the next datagram on an idle socket would count as late.
  if (ticks_.late_since.has_value()) socket.ReadPending();
}

Millis SocketArrivals::MaxDelay(const AsyncUdpSocket& socket) const {
  return MaxArrivalDelay(ticks_, backlog_, socket.drains(), kTickInterval,
                         BootTimeNow());
}

}  // namespace medlarwinch
