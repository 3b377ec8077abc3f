#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarwinch {

/// First line of every response of the simulated upstream: which service and
/// upstream responded to which request. Callers detect responses of another
/// service or to another request by it, independently of the daemons in
/// between.
struct ResponseIdentity {
  std::string service;
  std::string upstream;
  /// The token from the query of the request.
  std::string token;

  friend bool operator==(const ResponseIdentity&,
                         const ResponseIdentity&) = default;
};

/// Formats "service=S upstream=U token=T" without a newline.
std::string FormatResponseIdentity(const ResponseIdentity& identity);

/// Parses a line that starts with the output of FormatResponseIdentity().
std::optional<ResponseIdentity> ParseResponseIdentity(std::string_view line);

/// Returns the value of `name` in a line of key=value pairs, or an empty view.
std::string_view FindField(std::string_view line, std::string_view name);

/// Returns byte `index` of the pattern body for a token.
char PatternByte(uint64_t token_hash, uint64_t index);

/// Hash of a token, input of PatternByte().
uint64_t HashToken(std::string_view token);

/// Returns the first `size` bytes of the pattern for `token`.
std::string PatternBody(std::string_view token, uint64_t size);

}  // namespace medlarwinch
