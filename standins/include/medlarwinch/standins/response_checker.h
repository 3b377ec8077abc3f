#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/standins/response_body.h"

namespace medlarwinch {

/// What an answer is expected to contain.
enum class ResponseKind {
  /// Numbered lines, each with the head.
  kFeed,
  /// The head, then `bytes` of the pattern of the token.
  kPattern,
  /// The head, then the text that was sent.
  kEcho,
  /// The head only.
  kReceipt,
};

/// Checks the answer to one request while its pieces arrive.
class ResponseChecker {
 public:
  /// `content` is the text sent for kEcho; `bytes` the size asked for with
  /// kPattern.
  ResponseChecker(ResponseKind kind, std::string service, std::string token,
                  std::string content = "", uint64_t bytes = 0);

  /// Takes the next piece. A piece at offset 0 starts over, which is how a
  /// repeated request is answered.
  void OnPart(uint64_t offset, ByteView data);

  /// Who answers; empty before the first line has arrived.
  const std::optional<ResponseIdentity>& identity() const { return identity_; }

  /// The first fault: "service" (another service answered), "token" (an answer
  /// to another request), "gap" (missing bytes or lines), "content"; empty
  /// without a fault.
  const std::string& fault() const { return fault_; }

  /// True when everything that belongs to the answer has arrived. A feed that
  /// was asked for without an end is never whole.
  bool IsComplete() const;

  /// Lines of a feed so far.
  uint64_t lines() const { return lines_; }

 private:
  void CheckLine(const std::string& line);
  void CheckContent(const char* data, size_t size);
  void SetFault(const char* fault);

  ResponseKind kind_;
  std::string service_;
  std::string token_;
  std::string content_;
  uint64_t bytes_;
  uint64_t token_hash_;
  std::optional<ResponseIdentity> identity_;
  std::string fault_;
  uint64_t next_offset_ = 0;
  uint64_t lines_ = 0;
  uint64_t content_bytes_ = 0;
  std::string line_;
};

}  // namespace medlarwinch
