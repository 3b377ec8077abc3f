#pragma once

#include <cstddef>
#include <deque>

#include "medlarwinch/protocol/bytes.h"

namespace medlarwinch {

/// The outgoing body of one stream: pieces are kept until they are
/// acknowledged, since the HTTP/3 library holds pointers into them.
class BodyQueue {
 public:
  void Append(ByteView piece, bool is_last);

  /// Returns the next piece that was not handed out, or an empty view.
  ByteView Next();

  /// Drops `count` acknowledged bytes from the front.
  void Acknowledge(size_t count);

  bool is_last_handed_out() const {
    return is_ended_ && next_ == pieces_.size();
  }
  size_t unacknowledged_bytes() const { return bytes_; }

 private:
  std::deque<Bytes> pieces_;
  // Index of the first piece that was not handed out.
  size_t next_ = 0;
  // Acknowledged bytes of the first piece.
  size_t acknowledged_ = 0;
  size_t bytes_ = 0;
  bool is_ended_ = false;
};

}  // namespace medlarwinch
