#include "medlarwinch/node/held_packet_queue.h"

#include <chrono>
#include <optional>
#include <utility>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

HeldPacketQueue::HeldPacketQueue(boost::asio::io_context& loop, SendPacket send)
    : send_(std::move(send)), timer_(loop) {}

void HeldPacketQueue::Hold(const FlowTuple& flow, TimePoint due,
                           ByteView bytes) {
  const std::optional<HeldPacket> released = AddHeldPacket(
      held_, due,
      HeldPacket{flow, BootTimeNow(), {bytes.begin(), bytes.end()}});
  if (held_.by_due_time.begin()->first == due) ScheduleNext();
  if (released.has_value()) send_(*released);
}

void HeldPacketQueue::Renew(const FlowTuple& flow) {
  RenewHeldPackets(held_, flow, BootTimeNow());
}

void HeldPacketQueue::Discard(const FlowTuple& flow) {
  DiscardHeldPackets(held_, flow);
}

void HeldPacketQueue::ReleaseAll() {
  for (const HeldPacket& packet : TakeAllPackets(held_)) send_(packet);
}

void HeldPacketQueue::ScheduleNext() {
  if (held_.by_due_time.empty()) return;
  // MonotonicNow() is the steady clock in milliseconds.
  timer_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::milliseconds(held_.by_due_time.begin()->first.value)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) SendDue();
  });
}

void HeldPacketQueue::SendDue() {
  for (const HeldPacket& packet : TakeDuePackets(held_, MonotonicNow())) {
    send_(packet);
  }
  ScheduleNext();
}

}  // namespace medlarwinch
