#include "medlarwinch/daemon/response_stream.h"

#include <algorithm>

namespace medlarwinch {
namespace {

constexpr Millis kInitialRetransmitTimeout{200};
constexpr Millis kMaxRetransmitTimeout{1'600};
// A caller without progress for this time is considered lost; this covers about
// twenty retransmissions.
constexpr Millis kAbandonTimeout{30'000};
constexpr size_t kInitialCongestionWindowBytes = 16 * kMaxFrameBodyBytes;
constexpr size_t kMinCongestionWindowBytes = 4 * kMaxFrameBodyBytes;
// Parts retransmitted per timeout; the acknowledgements that they trigger show
// what else is missing.
constexpr int kMaxRetransmittedParts = 4;
// Duplicate acknowledgements that indicate a lost part, as in TCP.
constexpr int kDuplicateAckThreshold = 3;
// Acknowledged bytes are erased from the front of the buffer once there are
// this many, so that the remaining bytes are rarely moved.
constexpr size_t kCompactionThresholdBytes = 32 * 1'024;

}  // namespace

ResponseStream::ResponseStream(uint32_t number, TimePoint now)
    : request_number_(number),
      congestion_window_bytes_(kInitialCongestionWindowBytes),
      retransmit_timeout_(kInitialRetransmitTimeout),
      retransmit_at_(now + kInitialRetransmitTimeout),
      last_progress_(now) {}

void ResponseStream::Append(ByteView data) {
  buffer_.insert(buffer_.end(), data.begin(), data.end());
}

void ResponseStream::Finish(uint16_t status, Verdict verdict) {
  finished_ = true;
  status_ = status;
  verdict_ = verdict;
}

void ResponseStream::OnAck(const ResponseAckFrame& ack, TimePoint now) {
  if (ack.offset < acknowledged_offset_ || ack.offset > next_send_offset_)
    return;
  if (ack.fin && fin_sent_ && ack.offset == end_offset()) {
    AcknowledgeUpTo(ack.offset);
    fin_acknowledged_ = true;
    return;
  }
  if (ack.offset == acknowledged_offset_) {
    if (!HasPartsInFlight() || ++duplicate_acks_ != kDuplicateAckThreshold)
      return;
    fast_retransmit_ = true;
    congestion_window_bytes_ =
        std::max(congestion_window_bytes_ / 2, kMinCongestionWindowBytes);
    return;
  }
  congestion_window_bytes_ =
      std::min(congestion_window_bytes_ +
                   static_cast<size_t>(ack.offset - acknowledged_offset_),
               kResponseWindowBytes);
  AcknowledgeUpTo(ack.offset);
  duplicate_acks_ = 0;
  retransmit_timeout_ = kInitialRetransmitTimeout;
  last_progress_ = now;
  RestartRetransmitTimer(now);
}

std::vector<ResponsePartFrame> ResponseStream::TakeSendableParts(
    TimePoint now) {
  std::vector<ResponsePartFrame> parts;
  if (fast_retransmit_) {
    fast_retransmit_ = false;
    parts.push_back(MakePart(acknowledged_offset_));
  }
  if (!HasPartsInFlight()) {
    RestartRetransmitTimer(now);
    last_progress_ = now;
  }
  while (next_send_offset_ < end_offset() &&
         next_send_offset_ - acknowledged_offset_ < congestion_window_bytes_) {
    parts.push_back(MakePart(next_send_offset_));
    next_send_offset_ += parts.back().data.size();
    fin_sent_ = fin_sent_ || parts.back().fin;
  }
  if (finished_ && !fin_sent_ && next_send_offset_ == end_offset()) {
    parts.push_back(MakePart(next_send_offset_));
    fin_sent_ = true;
  }
  return parts;
}

std::vector<ResponsePartFrame> ResponseStream::TakeRetransmissions(
    TimePoint now) {
  std::vector<ResponsePartFrame> parts;
  if (!HasPartsInFlight() || now < retransmit_at_) return parts;
  retransmit_timeout_ =
      std::min(retransmit_timeout_ * 2, kMaxRetransmitTimeout);
  RestartRetransmitTimer(now);
  congestion_window_bytes_ =
      std::max(congestion_window_bytes_ / 2, kMinCongestionWindowBytes);
  uint64_t offset = acknowledged_offset_;
  for (int count = 0; count < kMaxRetransmittedParts; ++count) {
    if (offset == next_send_offset_ && !(fin_sent_ && offset == end_offset()))
      break;
    parts.push_back(MakePart(offset));
    offset += parts.back().data.size();
    if (parts.back().fin) break;
  }
  return parts;
}

ResponsePartFrame ResponseStream::MakeRequestAck() const {
  ResponsePartFrame part;
  part.number = request_number_;
  part.offset = acknowledged_offset_;
  return part;
}

bool ResponseStream::IsAbandoned(TimePoint now) const {
  return HasPartsInFlight() && now - last_progress_ > kAbandonTimeout;
}

bool ResponseStream::HasPartsInFlight() const {
  return next_send_offset_ > acknowledged_offset_ ||
         (fin_sent_ && !fin_acknowledged_);
}

ResponsePartFrame ResponseStream::MakePart(uint64_t offset) const {
  ResponsePartFrame part;
  part.number = request_number_;
  part.offset = offset;
  const size_t from =
      buffer_offset_ + static_cast<size_t>(offset - acknowledged_offset_);
  const size_t size =
      std::min<size_t>(kMaxFrameBodyBytes, buffer_.size() - from);
  const Bytes::const_iterator first =
      buffer_.begin() + static_cast<ptrdiff_t>(from);
  part.data.assign(first, first + static_cast<ptrdiff_t>(size));
  part.fin = finished_ && from + size == buffer_.size();
  if (part.fin) {
    part.status = status_;
    part.verdict = verdict_;
  }
  return part;
}

void ResponseStream::AcknowledgeUpTo(uint64_t offset) {
  buffer_offset_ += static_cast<size_t>(offset - acknowledged_offset_);
  acknowledged_offset_ = offset;
  if (buffer_offset_ == buffer_.size()) {
    buffer_.clear();
    buffer_offset_ = 0;
  } else if (buffer_offset_ >= kCompactionThresholdBytes) {
    buffer_.erase(buffer_.begin(),
                  buffer_.begin() + static_cast<ptrdiff_t>(buffer_offset_));
    buffer_offset_ = 0;
  }
}

void ResponseStream::RestartRetransmitTimer(TimePoint now) {
  retransmit_at_ = now + retransmit_timeout_;
}

}  // namespace medlarwinch
