#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

namespace medlarwinch {

/// Ends the process with a message if `condition` does not hold, which
/// libFuzzer reports as a finding.
inline void Require(bool condition, const char* property) {
  if (condition) return;
  std::fprintf(stderr, "violated: %s\n", property);
  std::abort();
}

inline std::string ToText(const uint8_t* data, size_t size) {
  return std::string(reinterpret_cast<const char*>(data), size);
}

/// Splits an input at its first line break: what goes with the text that is
/// decoded, such as a name or a status, and that text.
inline std::pair<std::string, std::string> SplitFirstLine(
    const std::string& text) {
  const size_t end = text.find('\n');
  if (end == std::string::npos) return {text, ""};
  return {text.substr(0, end), text.substr(end + 1)};
}

}  // namespace medlarwinch

/// Entry point that libFuzzer calls with each input.
extern "C" int LLVMFuzzerTestOneInput(  // NOLINT(readability-identifier-naming)
    const uint8_t* data, size_t size);
