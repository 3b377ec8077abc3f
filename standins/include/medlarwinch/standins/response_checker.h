#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/standins/response_body.h"

namespace medlarwinch {

/// Expected content of a response.
enum class ResponseKind {
  /// Numbered lines, each starting with the identity.
  kFeed,
  /// The identity line, then `bytes` bytes of the token's pattern.
  kPattern,
  /// The identity line, then the request body.
  kEcho,
  /// The identity line only.
  kReceipt,
};

/// Validates the response to one request incrementally as its parts arrive.
class ResponseChecker {
 public:
  /// `content` is the request body for kEcho, `bytes` the requested size for
  /// kPattern.
  ResponseChecker(ResponseKind kind, std::string service, std::string token,
                  std::string content = "", uint64_t bytes = 0);

  /// Processes the next part. A part at offset 0 restarts the check, since a
  /// response to a retried request begins from the start.
  void OnPart(uint64_t offset, ByteView data);

  /// Identity of the responder; empty before the first line has arrived.
  const std::optional<ResponseIdentity>& identity() const { return identity_; }

  /// The first fault: "service" (response of another service), "token"
  /// (response to another request), "gap" (missing bytes or lines) or
  /// "content"; empty without a fault.
  const std::string& fault() const { return fault_; }

  /// Returns whether the entire response has arrived. A feed is never complete.
  bool IsComplete() const;

  /// Number of lines received so far.
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
