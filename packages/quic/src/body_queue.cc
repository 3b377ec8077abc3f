#include "body_queue.h"

#include <algorithm>

namespace medlarwinch {

void BodyQueue::Append(ByteView piece, bool is_last) {
  if (!piece.empty()) {
    pieces_.emplace_back(piece.begin(), piece.end());
    bytes_ += piece.size();
  }
  is_ended_ = is_ended_ || is_last;
}

ByteView BodyQueue::Next() {
  if (next_ == pieces_.size()) return {};
  return pieces_[next_++];
}

void BodyQueue::Acknowledge(size_t count) {
  bytes_ -= std::min(count, bytes_);
  acknowledged_ += count;
  while (next_ > 0 && acknowledged_ >= pieces_.front().size()) {
    acknowledged_ -= pieces_.front().size();
    pieces_.pop_front();
    --next_;
  }
}

}  // namespace medlarwinch
