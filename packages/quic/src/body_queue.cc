#include "body_queue.h"

#include <algorithm>

namespace medlarwinch {

void BodyQueue::Append(ByteView chunk, bool is_last) {
  if (!chunk.empty()) {
    chunks_.emplace_back(chunk.begin(), chunk.end());
    unacknowledged_bytes_ += chunk.size();
  }
  is_ended_ = is_ended_ || is_last;
}

ByteView BodyQueue::Next() {
  if (next_chunk_ == chunks_.size()) return {};
  return chunks_[next_chunk_++];
}

void BodyQueue::Acknowledge(size_t count) {
  unacknowledged_bytes_ -= std::min(count, unacknowledged_bytes_);
  acknowledged_in_first_ += count;
  while (next_chunk_ > 0 && acknowledged_in_first_ >= chunks_.front().size()) {
    acknowledged_in_first_ -= chunks_.front().size();
    chunks_.pop_front();
    --next_chunk_;
  }
}

}  // namespace medlarwinch
