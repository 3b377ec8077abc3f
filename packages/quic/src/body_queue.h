#pragma once

#include <cstddef>
#include <deque>

#include "medlarwinch/protocol/bytes.h"

namespace medlarwinch {

/// Outgoing body of one stream. Chunks are kept until they are acknowledged,
/// because nghttp3 holds pointers into them.
class BodyQueue {
 public:
  void Append(ByteView chunk, bool is_last);

  /// Returns the next unread chunk, or an empty view if there is none.
  ByteView Next();

  /// Releases `count` acknowledged bytes from the front.
  void Acknowledge(size_t count);

  bool is_fully_read() const {
    return is_ended_ && next_chunk_ == chunks_.size();
  }
  size_t unacknowledged_bytes() const { return unacknowledged_bytes_; }

 private:
  std::deque<Bytes> chunks_;
  // Index of the first unread chunk.
  size_t next_chunk_ = 0;
  // Acknowledged bytes of the first chunk.
  size_t acknowledged_in_first_ = 0;
  size_t unacknowledged_bytes_ = 0;
  bool is_ended_ = false;
};

}  // namespace medlarwinch
