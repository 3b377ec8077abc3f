// Conversion of HTTP/3 requests to the frames of the thin protocol.
#include <charconv>

#include "medlarwinch/daemon/quic_transport.h"

namespace medlarwinch {
namespace {

std::string HeaderValue(const Http3Request& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

uint32_t HeaderNumber(const Http3Request& request, const std::string& name,
                      uint32_t fallback) {
  const std::string text = HeaderValue(request, name);
  uint32_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Bytes DecodeHex(const std::string& text) {
  Bytes bytes;
  if (text.size() != 2 * kFlowIdentifierBytes) return bytes;
  for (size_t index = 0; index < text.size(); index += 2) {
    uint8_t byte = 0;
    const char* end = text.data() + index + 2;
    if (std::from_chars(text.data() + index, end, byte, 16).ptr != end) {
      return {};
    }
    bytes.push_back(byte);
  }
  return bytes;
}

}  // namespace

RequestFrame ToRequestFrame(const Http3Request& request, uint32_t number,
                            const std::string& unique_key) {
  RequestFrame frame;
  frame.number = number;
  frame.method = request.method;
  frame.path = request.path;
  frame.tenant = HeaderValue(request, "x-tenant");
  frame.is_idempotent = request.method == "GET" || request.method == "HEAD" ||
                        request.method == "OPTIONS";
  frame.idempotency_key = HeaderValue(request, "idempotency-key");
  if (!frame.is_idempotent && frame.idempotency_key.empty()) {
    frame.idempotency_key = unique_key;
  }
  frame.attempt = HeaderNumber(request, "x-attempt", 1);
  frame.age_ms = HeaderNumber(request, "x-age-ms", 0);
  frame.deadline_ms = HeaderNumber(request, "x-deadline-ms", 0);
  frame.earlier_flow = DecodeHex(HeaderValue(request, "x-earlier-flow"));
  frame.body = request.body;
  return frame;
}

}  // namespace medlarwinch
