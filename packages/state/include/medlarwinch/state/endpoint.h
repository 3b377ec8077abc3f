#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// An IPv4 address and a port, both in host byte order.
struct Endpoint {
  uint32_t ip = 0;
  uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// Parses "a.b.c.d:port". Returns kInvalidInput for any other text and for port
/// 0.
Result<Endpoint> ParseEndpoint(std::string_view text);

/// Formats an endpoint as "a.b.c.d:port".
std::string ToString(const Endpoint& endpoint);

}  // namespace medlarwinch
