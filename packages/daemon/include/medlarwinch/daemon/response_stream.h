#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/frames.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// Unacknowledged bytes of one response above which no more are read from the
/// upstream.
inline constexpr size_t kResponseWindowBytes = 64 * 1'024;

/// The sending side of one response: cuts it into parts, keeps what the caller
/// has not acknowledged, and says what to send again and when.
class ResponseStream {
 public:
  ResponseStream(uint32_t number, TimePoint now);

  /// Appends to the body. Requires that Finish() was not called.
  void Append(ByteView data);

  /// Ends the response.
  void Finish(uint16_t status, Verdict verdict);

  bool IsFinished() const { return finished_; }
  bool IsFull() const { return UnacknowledgedBytes() >= kResponseWindowBytes; }
  bool IsAcknowledged() const { return fin_acknowledged_; }

  /// Takes an acknowledgement. Offsets outside of what was sent are ignored.
  void OnAck(const ResponseAckFrame& ack, TimePoint now);

  /// Returns the parts that may be sent now for the first time or because the
  /// caller misses them.
  std::vector<ResponsePartFrame> TakeSendableParts(TimePoint now);

  /// Returns the first unacknowledged parts when their time is over; otherwise
  /// nothing.
  std::vector<ResponsePartFrame> TakeRetransmissions(TimePoint now);

  /// Returns an empty part that tells the caller that its request has arrived.
  ResponsePartFrame MakeRequestAck() const;

  /// True when the caller has acknowledged nothing for so long that it counts
  /// as gone.
  bool IsAbandoned(TimePoint now) const;

 private:
  size_t UnacknowledgedBytes() const { return buffer_.size() - buffer_offset_; }
  uint64_t end_offset() const {
    return acknowledged_offset_ + UnacknowledgedBytes();
  }
  bool HasPartsInFlight() const;
  ResponsePartFrame MakePart(uint64_t offset) const;
  void AcknowledgeUpTo(uint64_t offset);
  void RestartRetransmitTimer(TimePoint now);

  uint32_t request_number_;
  /// Unacknowledged bytes start at buffer_[buffer_offset_] and at offset
  /// acknowledged_offset_.
  Bytes buffer_;
  size_t buffer_offset_ = 0;
  uint64_t acknowledged_offset_ = 0;
  /// Offset of the next byte that was never sent.
  uint64_t next_send_offset_ = 0;
  size_t congestion_window_bytes_;
  bool finished_ = false;
  bool fin_sent_ = false;
  bool fin_acknowledged_ = false;
  bool fast_retransmit_ = false;
  uint16_t status_ = 0;
  Verdict verdict_ = Verdict::kMayHaveRun;
  int duplicate_acks_ = 0;
  Millis retransmit_timeout_;
  TimePoint retransmit_at_;
  TimePoint last_progress_;
};

}  // namespace medlarwinch
