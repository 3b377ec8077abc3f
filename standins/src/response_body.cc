#include <xxhash.h>

#include "medlarwinch/standins/response_body.h"

namespace medlarwinch {

std::string FormatAnswerHead(const AnswerHead& head) {
  return "service=" + head.service + " upstream=" + head.upstream +
         " token=" + head.token;
}

std::optional<AnswerHead> ParseAnswerHead(std::string_view line) {
  AnswerHead head{std::string(FieldOf(line, "service")),
                  std::string(FieldOf(line, "upstream")),
                  std::string(FieldOf(line, "token"))};
  if (head.service.empty() || head.upstream.empty()) return std::nullopt;
  return head;
}

std::string_view FieldOf(std::string_view line, std::string_view name) {
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

uint64_t TokenHash(std::string_view token) {
  return XXH64(token.data(), token.size(), 0) >> 8;
}

std::string PatternBody(std::string_view token, uint64_t size) {
  const uint64_t hash = TokenHash(token);
  std::string body(size, '\0');
  for (uint64_t index = 0; index < size; ++index) {
    body[index] = PatternByte(hash, index);
  }
  return body;
}

}  // namespace medlarwinch
