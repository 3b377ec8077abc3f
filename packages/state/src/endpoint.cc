#include "medlarwinch/state/endpoint.h"

#include <charconv>

namespace medlarwinch {
namespace {

constexpr uint32_t kMaxOctet = 255;
constexpr uint32_t kMaxPort = 65535;

// Consumes a decimal number of at most `max` from the front of `text`. Returns
// false when there is none.
bool ConsumeNumber(std::string_view& text, uint32_t max, uint32_t& number) {
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || number > max) return false;
  text.remove_prefix(static_cast<size_t>(parsed.ptr - text.data()));
  return true;
}

bool ConsumeChar(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected) return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const Error error{
      ErrorCode::kInvalidInput,
      "'" + std::string(text) + "' is not an address of the form a.b.c.d:port"};
  std::string_view rest = text;
  Endpoint endpoint;
  for (int octet_index = 0; octet_index < 4; ++octet_index) {
    if (octet_index > 0 && !ConsumeChar(rest, '.')) return error;
    uint32_t octet = 0;
    if (!ConsumeNumber(rest, kMaxOctet, octet)) return error;
    endpoint.ip = (endpoint.ip << 8) | octet;
  }
  uint32_t port = 0;
  if (!ConsumeChar(rest, ':')) return error;
  if (!ConsumeNumber(rest, kMaxPort, port) || port == 0) return error;
  if (!rest.empty()) return error;
  endpoint.port = static_cast<uint16_t>(port);
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string((endpoint.ip >> shift) & kMaxOctet);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(endpoint.port);
}

}  // namespace medlarwinch
