#include "flow_end.h"

#include <algorithm>
#include <utility>

namespace medlarwinch::review {
namespace {

constexpr size_t kPacketBytes = 1'200;
constexpr size_t kWindowPackets = 16;
constexpr Millis kFirstInterval{200};
constexpr Millis kLongestInterval{1'600};
constexpr int kPacketsPerAcknowledgement = 2;

bool IsBefore(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) < 0;
}

}  // namespace

FlowEnd::FlowEnd(const Endpoint& local, const Endpoint& remote,
                 uint32_t next_sequence, uint32_t expected_sequence,
                 Sender sender)
    : local_(local),
      remote_(remote),
      sender_(std::move(sender)),
      next_sequence_(next_sequence),
      expected_sequence_(expected_sequence),
      interval_(kFirstInterval) {}

void FlowEnd::Write(std::string_view data, TimePoint now) {
  while (!data.empty()) {
    const std::string_view part = data.substr(0, kPacketBytes);
    segments_.push_back(
        Segment{next_sequence_, std::string(part), false, false});
    next_sequence_ += static_cast<uint32_t>(part.size());
    data.remove_prefix(part.size());
  }
  SendWindow(now);
}

void FlowEnd::Finish(TimePoint now) {
  segments_.push_back(Segment{next_sequence_, "", true, false});
  ++next_sequence_;
  SendWindow(now);
}

void FlowEnd::SendWindow(TimePoint now) {
  const size_t count = std::min(segments_.size(), kWindowPackets);
  for (size_t index = 0; index < count; ++index) {
    if (segments_[index].is_sent) continue;
    if (retransmit_at_ == TimePoint{}) retransmit_at_ = now + interval_;
    segments_[index].is_sent = true;
    SendSegment(segments_[index]);
  }
}

void FlowEnd::SendSegment(const Segment& segment) {
  FlowPacket packet;
  packet.source = local_;
  packet.destination = remote_;
  packet.is_ack = true;
  packet.is_fin = segment.is_fin;
  packet.sequence = segment.sequence;
  packet.acknowledged = expected_sequence_;
  unacknowledged_packets_ = 0;
  sender_(packet, segment.data);
}

void FlowEnd::SendAcknowledgement() {
  FlowPacket packet;
  packet.source = local_;
  packet.destination = remote_;
  packet.is_ack = true;
  packet.sequence = next_sequence_;
  for (const Segment& segment : segments_) {
    if (segment.is_sent) continue;
    packet.sequence = segment.sequence;
    break;
  }
  packet.acknowledged = expected_sequence_;
  unacknowledged_packets_ = 0;
  sender_(packet, {});
}

std::string FlowEnd::HandlePacket(const FlowPacket& packet,
                                  std::string_view data, TimePoint now) {
  bool has_progress = false;
  while (!segments_.empty()) {
    const Segment& oldest = segments_.front();
    const uint32_t end = oldest.sequence +
                         static_cast<uint32_t>(oldest.data.size()) +
                         (oldest.is_fin ? 1 : 0);
    if (!oldest.is_sent || IsBefore(packet.acknowledged, end)) break;
    segments_.pop_front();
    has_progress = true;
  }
  if (has_progress) {
    interval_ = kFirstInterval;
    retransmissions_ = 0;
    retransmit_at_ = TimePoint{};
    const bool has_lost = !segments_.empty() && segments_.front().is_sent;
    if (has_lost) retransmit_at_ = now + interval_;
    if (has_lost && is_recovering_) SendSegment(segments_.front());
    is_recovering_ = is_recovering_ && has_lost;
    SendWindow(now);
  }
  if (data.empty() && !packet.is_fin) return "";
  std::string ready;
  const bool is_expected = packet.sequence == expected_sequence_;
  if (is_expected) {
    ready.append(data);
    expected_sequence_ += static_cast<uint32_t>(data.size());
    if (packet.is_fin) {
      ++expected_sequence_;
      is_remote_finished_ = true;
    }
    auto next = out_of_order_.find(expected_sequence_);
    while (next != out_of_order_.end()) {
      ready.append(next->second);
      expected_sequence_ += static_cast<uint32_t>(next->second.size());
      out_of_order_.erase(next);
      next = out_of_order_.find(expected_sequence_);
    }
  } else if (IsBefore(expected_sequence_, packet.sequence) && !data.empty()) {
    out_of_order_[packet.sequence] = std::string(data);
  }
  ++unacknowledged_packets_;
  const bool must_acknowledge =
      !is_expected || packet.is_fin ||
      unacknowledged_packets_ >= kPacketsPerAcknowledgement;
  if (must_acknowledge) SendAcknowledgement();
  return ready;
}

void FlowEnd::Tick(TimePoint now) {
  if (segments_.empty() || retransmit_at_ == TimePoint{}) return;
  if (now < retransmit_at_) return;
  ++retransmissions_;
  interval_ = std::min(interval_ * 2, kLongestInterval);
  retransmit_at_ = now + interval_;
  is_recovering_ = true;
  SendSegment(segments_.front());
}

}  // namespace medlarwinch::review
