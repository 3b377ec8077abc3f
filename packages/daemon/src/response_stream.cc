#include "medlarwinch/daemon/response_stream.h"

#include <algorithm>

namespace medlarwinch {
namespace {

constexpr Millis kFirstTimeout{200};
constexpr Millis kMaxTimeout{1'600};
// A caller that acknowledges nothing for this long has gone; it covers about
// twenty repetitions.
constexpr Millis kAbandonedAfter{30'000};
constexpr size_t kFirstCongestionBytes = 16 * kMaxFrameBodyBytes;
constexpr size_t kMinCongestionBytes = 4 * kMaxFrameBodyBytes;
// Parts sent again at one timeout; the acknowledgements that they cause show
// what else is missing.
constexpr int kResentParts = 4;
// Acknowledgements without progress that show a lost part, as in TCP.
constexpr int kDuplicateAcks = 3;
// The front of the buffer is dropped once this much of it is acknowledged, so
// that the bytes behind it are moved rarely.
constexpr size_t kCompactBytes = 32 * 1'024;

}  // namespace

ResponseStream::ResponseStream(uint32_t number, TimePoint now)
    : number_(number),
      congestion_bytes_(kFirstCongestionBytes),
      timeout_(kFirstTimeout),
      due_(now + kFirstTimeout),
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
  if (ack.offset < base_ || ack.offset > next_) return;
  if (ack.fin && fin_sent_ && ack.offset == end()) {
    Advance(ack.offset);
    fin_acknowledged_ = true;
    return;
  }
  if (ack.offset == base_) {
    if (!HasUnacknowledged() || ++duplicate_acks_ != kDuplicateAcks) return;
    resend_first_ = true;
    congestion_bytes_ = std::max(congestion_bytes_ / 2, kMinCongestionBytes);
    return;
  }
  congestion_bytes_ =
      std::min(congestion_bytes_ + static_cast<size_t>(ack.offset - base_),
               kResponseWindowBytes);
  Advance(ack.offset);
  duplicate_acks_ = 0;
  timeout_ = kFirstTimeout;
  last_progress_ = now;
  RestartTimer(now);
}

std::vector<ResponsePartFrame> ResponseStream::TakeParts(TimePoint now) {
  std::vector<ResponsePartFrame> parts;
  if (resend_first_) {
    resend_first_ = false;
    parts.push_back(PartAt(base_));
  }
  if (!HasUnacknowledged()) {
    RestartTimer(now);
    last_progress_ = now;
  }
  while (next_ < end() && next_ - base_ < congestion_bytes_) {
    parts.push_back(PartAt(next_));
    next_ += parts.back().data.size();
    fin_sent_ = fin_sent_ || parts.back().fin;
  }
  if (finished_ && !fin_sent_ && next_ == end()) {
    parts.push_back(PartAt(next_));
    fin_sent_ = true;
  }
  return parts;
}

std::vector<ResponsePartFrame> ResponseStream::TakeOverdue(TimePoint now) {
  std::vector<ResponsePartFrame> parts;
  if (!HasUnacknowledged() || now < due_) return parts;
  timeout_ = std::min(timeout_ * 2, kMaxTimeout);
  RestartTimer(now);
  congestion_bytes_ = std::max(congestion_bytes_ / 2, kMinCongestionBytes);
  uint64_t offset = base_;
  for (int count = 0; count < kResentParts; ++count) {
    if (offset == next_ && !(fin_sent_ && offset == end())) break;
    parts.push_back(PartAt(offset));
    offset += parts.back().data.size();
    if (parts.back().fin) break;
  }
  return parts;
}

ResponsePartFrame ResponseStream::ArrivalNotice() const {
  ResponsePartFrame part;
  part.number = number_;
  part.offset = base_;
  return part;
}

bool ResponseStream::IsAbandoned(TimePoint now) const {
  return HasUnacknowledged() && now - last_progress_ > kAbandonedAfter;
}

bool ResponseStream::HasUnacknowledged() const {
  return next_ > base_ || (fin_sent_ && !fin_acknowledged_);
}

ResponsePartFrame ResponseStream::PartAt(uint64_t offset) const {
  ResponsePartFrame part;
  part.number = number_;
  part.offset = offset;
  const size_t from = head_ + static_cast<size_t>(offset - base_);
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

void ResponseStream::Advance(uint64_t offset) {
  head_ += static_cast<size_t>(offset - base_);
  base_ = offset;
  if (head_ == buffer_.size()) {
    buffer_.clear();
    head_ = 0;
  } else if (head_ >= kCompactBytes) {
    buffer_.erase(buffer_.begin(),
                  buffer_.begin() + static_cast<ptrdiff_t>(head_));
    head_ = 0;
  }
}

void ResponseStream::RestartTimer(TimePoint now) { due_ = now + timeout_; }

}  // namespace medlarwinch
