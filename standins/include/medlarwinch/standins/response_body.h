#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarwinch {

/// First line of every answer of the stand-in upstream: who answered which
/// request. Callers recognize answers of another service or to another request
/// by it, independently of the daemons in between.
struct ResponseIdentity {
  std::string service;
  std::string upstream;
  /// The token that the request carried in its query.
  std::string token;

  friend bool operator==(const ResponseIdentity&,
                         const ResponseIdentity&) = default;
};

/// Formats "service=S upstream=U token=T" without a line end.
std::string FormatResponseIdentity(const ResponseIdentity& identity);

/// Parses a line that starts as FormatResponseIdentity() writes it.
std::optional<ResponseIdentity> ParseResponseIdentity(std::string_view line);

/// Returns the value of "name=" in a line of key=value pairs, or an empty view.
std::string_view FindField(std::string_view line, std::string_view name);

/// Byte `index` of the large body that belongs to `token`.
char PatternByte(uint64_t token_hash, uint64_t index);

/// Hash of a token for PatternByte().
uint64_t HashToken(std::string_view token);

/// Returns `size` bytes of the pattern of `token`.
std::string PatternBody(std::string_view token, uint64_t size);

}  // namespace medlarwinch
