#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/frames.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// Limit of one response's unacknowledged bytes, above which reading from the
/// upstream pauses.
inline constexpr size_t kResponseWindowBytes = 64 * 1'024;

/// Sender of one response: splits it into parts, buffers unacknowledged data,
/// and decides what to retransmit and when.
class ResponseStream {
 public:
  ResponseStream(uint32_t number, TimePoint now);

  /// Appends to the body. Must not be called after Finish().
  void Append(ByteView data);

  /// Ends the response.
  void Finish(uint16_t status, Verdict verdict);

  bool IsFinished() const { return finished_; }
  bool IsFull() const { return UnacknowledgedBytes() >= kResponseWindowBytes; }
  bool IsAcknowledged() const { return fin_acknowledged_; }

  /// Handles an acknowledgement. Offsets outside the range that was sent are
  /// ignored.
  void OnAck(const ResponseAckFrame& ack, TimePoint now);

  /// Returns new parts that the congestion window allows, and the first
  /// unacknowledged part when duplicate acknowledgements show that it was lost.
  std::vector<ResponsePartFrame> TakeSendableParts(TimePoint now);

  /// Returns the first unacknowledged parts if the retransmission timeout has
  /// expired; otherwise nothing.
  std::vector<ResponsePartFrame> TakeRetransmissions(TimePoint now);

  /// Returns an empty part that confirms the arrival of the request.
  ResponsePartFrame MakeRequestAck() const;

  /// Returns true if the caller has made no progress for so long that it is
  /// considered lost.
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
  /// Unacknowledged bytes start at buffer_[buffer_offset_], which holds the
  /// byte at acknowledged_offset_ of the response.
  Bytes buffer_;
  size_t buffer_offset_ = 0;
  uint64_t acknowledged_offset_ = 0;
  /// Offset of the first byte that was never sent.
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
