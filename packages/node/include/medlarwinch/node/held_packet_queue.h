#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>

#include "medlarwinch/coordination/packet_path/held_packets.h"
#include "medlarwinch/protocol/bytes.h"

namespace medlarwinch {

/// Holds packets and passes each to a callback when it is due, to the
/// millisecond.
class HeldPacketQueue {
 public:
  using SendPacket = std::function<void(const HeldPacket&)>;

  HeldPacketQueue(boost::asio::io_context& loop, SendPacket send);

  /// Holds a packet until `due`, on the clock of MonotonicNow(). When the queue
  /// is full, sends the packet that is due first.
  void Hold(const FlowTuple& flow, TimePoint due, ByteView bytes);

  /// Sets the time of arrival of the flow's packets to now.
  void Renew(const FlowTuple& flow);

  /// Discards the packets of one flow.
  void Discard(const FlowTuple& flow);

  /// Sends all packets now.
  void ReleaseAll();

  size_t size() const { return held_.by_due_time.size(); }

 private:
  void ScheduleNext();
  void SendDue();

  SendPacket send_;
  HeldPackets held_;
  boost::asio::steady_timer timer_;
};

}  // namespace medlarwinch
