#include "medlarwinch/standins/response_checker.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

// Longer than any line that the simulated upstream writes.
constexpr size_t kMaxLineBytes = 1'000;

}  // namespace

ResponseChecker::ResponseChecker(ResponseKind kind, std::string service,
                                 std::string token, std::string content,
                                 uint64_t bytes)
    : kind_(kind),
      service_(std::move(service)),
      token_(std::move(token)),
      content_(std::move(content)),
      bytes_(kind == ResponseKind::kEcho ? content_.size() : bytes),
      token_hash_(HashToken(token_)) {}

void ResponseChecker::OnPart(uint64_t offset, ByteView data) {
  if (offset == 0) {
    next_offset_ = 0;
    lines_ = 0;
    content_bytes_ = 0;
    line_.clear();
    identity_.reset();
  }
  if (offset != next_offset_) SetFault("gap");
  next_offset_ = offset + data.size();
  const char* next = reinterpret_cast<const char*>(data.data());
  const char* const end = next + data.size();
  while (next != end) {
    const bool is_content = kind_ != ResponseKind::kFeed && lines_ > 0;
    if (is_content) {
      CheckContent(next, static_cast<size_t>(end - next));
      return;
    }
    const char* const line_end = std::find(next, end, '\n');
    line_.append(next, line_end);
    if (line_.size() > kMaxLineBytes) {
      SetFault("content");
      return;
    }
    if (line_end == end) return;
    CheckLine(line_);
    line_.clear();
    next = line_end + 1;
  }
}

bool ResponseChecker::IsComplete() const {
  if (!fault_.empty() || lines_ == 0) return false;
  if (kind_ == ResponseKind::kFeed) return false;
  if (kind_ == ResponseKind::kReceipt) return content_bytes_ == 0;
  return content_bytes_ == bytes_;
}

void ResponseChecker::CheckLine(const std::string& line) {
  const std::optional<ResponseIdentity> identity = ParseResponseIdentity(line);
  if (!identity.has_value()) {
    SetFault("content");
    return;
  }
  if (identity->service != service_) SetFault("service");
  if (identity->token != token_) SetFault("token");
  if (identity_.has_value() && identity->upstream != identity_->upstream) {
    SetFault("content");
  }
  if (kind_ == ResponseKind::kFeed &&
      FindField(line, "line") != std::to_string(lines_)) {
    SetFault("gap");
  }
  identity_ = identity;
  ++lines_;
}

void ResponseChecker::CheckContent(const char* data, size_t size) {
  for (size_t index = 0; index < size; ++index) {
    const uint64_t position = content_bytes_ + index;
    char expected = '\0';
    if (kind_ == ResponseKind::kPattern) {
      expected = PatternByte(token_hash_, position);
    } else if (position < content_.size()) {
      expected = content_[position];
    }
    if (position >= bytes_ || data[index] != expected) {
      SetFault("content");
      break;
    }
  }
  content_bytes_ += size;
}

void ResponseChecker::SetFault(const char* fault) {
  if (fault_.empty()) fault_ = fault;
}

}  // namespace medlarwinch
