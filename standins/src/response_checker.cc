#include <algorithm>
#include <utility>

#include "medlarwinch/standins/response_checker.h"

namespace medlarwinch {
namespace {

// Longer than any line of the stand-in upstream.
constexpr size_t kMaxLineBytes = 1'000;

}  // namespace

AnswerChecker::AnswerChecker(AnswerKind kind, std::string service,
                             std::string token, std::string content,
                             uint64_t bytes)
    : kind_(kind),
      service_(std::move(service)),
      token_(std::move(token)),
      content_(std::move(content)),
      bytes_(kind == AnswerKind::kEcho ? content_.size() : bytes),
      token_hash_(TokenHash(token_)) {}

void AnswerChecker::OnPart(uint64_t offset, ByteView data) {
  if (offset == 0) {
    next_offset_ = 0;
    lines_ = 0;
    content_bytes_ = 0;
    line_.clear();
    head_.reset();
  }
  if (offset != next_offset_) SetFault("gap");
  next_offset_ = offset + data.size();
  const char* next = reinterpret_cast<const char*>(data.data());
  const char* const end = next + data.size();
  while (next != end) {
    const bool is_content = kind_ != AnswerKind::kFeed && lines_ > 0;
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

bool AnswerChecker::IsWhole() const {
  if (!fault_.empty() || lines_ == 0) return false;
  if (kind_ == AnswerKind::kFeed) return false;
  if (kind_ == AnswerKind::kReceipt) return content_bytes_ == 0;
  return content_bytes_ == bytes_;
}

void AnswerChecker::CheckLine(const std::string& line) {
  const std::optional<AnswerHead> head = ParseAnswerHead(line);
  if (!head.has_value()) {
    SetFault("content");
    return;
  }
  if (head->service != service_) SetFault("service");
  if (head->token != token_) SetFault("token");
  if (head_.has_value() && head->upstream != head_->upstream) {
    SetFault("content");
  }
  if (kind_ == AnswerKind::kFeed &&
      FieldOf(line, "line") != std::to_string(lines_)) {
    SetFault("gap");
  }
  head_ = head;
  ++lines_;
}

void AnswerChecker::CheckContent(const char* data, size_t size) {
  for (size_t index = 0; index < size; ++index) {
    const uint64_t position = content_bytes_ + index;
    char expected = '\0';
    if (kind_ == AnswerKind::kLarge) {
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

void AnswerChecker::SetFault(const char* fault) {
  if (fault_.empty()) fault_ = fault;
}

}  // namespace medlarwinch
