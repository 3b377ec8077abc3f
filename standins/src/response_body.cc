#include "medlarwinch/standins/response_body.h"

#include <xxhash.h>

namespace medlarwinch {

std::string FormatResponseIdentity(const ResponseIdentity& identity) {
  return "service=" + identity.service + " upstream=" + identity.upstream +
         " token=" + identity.token;
}

std::optional<ResponseIdentity> ParseResponseIdentity(std::string_view line) {
  ResponseIdentity identity{std::string(FindField(line, "service")),
                            std::string(FindField(line, "upstream")),
                            std::string(FindField(line, "token"))};
  if (identity.service.empty() || identity.upstream.empty())
    return std::nullopt;
  return identity;
}

std::string_view FindField(std::string_view line, std::string_view name) {
  size_t begin = 0;
  while (begin < line.size()) {
    size_t end = line.find(' ', begin);
    if (end == std::string_view::npos) end = line.size();
    const std::string_view pair = line.substr(begin, end - begin);
    begin = end + 1;
    const bool is_field = pair.size() > name.size() &&
                          pair[name.size()] == '=' &&
                          pair.substr(0, name.size()) == name;
    if (is_field) return pair.substr(name.size() + 1);
  }
  return {};
}

char PatternByte(uint64_t token_hash, uint64_t index) {
  constexpr uint64_t kLetters = 26;
  return static_cast<char>('a' +
                           (token_hash + index * (index >> 8 | 1)) % kLetters);
}

uint64_t HashToken(std::string_view token) {
  return XXH64(token.data(), token.size(), 0) >> 8;
}

std::string PatternBody(std::string_view token, uint64_t size) {
  const uint64_t hash = HashToken(token);
  std::string body(size, '\0');
  for (uint64_t index = 0; index < size; ++index) {
    body[index] = PatternByte(hash, index);
  }
  return body;
}

}  // namespace medlarwinch
