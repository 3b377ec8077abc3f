#include "medlarwinch/cli/metrics_text.h"

#include <cstdlib>
#include <optional>
#include <sstream>
#include <string_view>

namespace medlarwinch {
namespace {

// Parses `name="value"` and a following comma, and removes them from `text`.
// Returns false when malformed.
bool ConsumeLabel(std::string_view& text, MetricSample& sample) {
  const size_t equals = text.find("=\"");
  if (equals == std::string_view::npos) return false;
  const std::string name(text.substr(0, equals));
  std::string value;
  size_t index = equals + 2;
  for (; index < text.size() && text[index] != '"'; ++index) {
    const bool is_escape = text[index] == '\\' && index + 1 < text.size();
    if (is_escape) ++index;
    value += is_escape && text[index] == 'n' ? '\n' : text[index];
  }
  if (index == text.size()) return false;
  sample.labels[name] = value;
  text.remove_prefix(index + 1);
  if (!text.empty() && text.front() == ',') text.remove_prefix(1);
  return true;
}

std::optional<MetricSample> ParseLine(const std::string& line) {
  if (line.empty() || line.front() == '#') return std::nullopt;
  const size_t name_end = line.find_first_of("{ ");
  if (name_end == std::string::npos) return std::nullopt;
  MetricSample sample;
  sample.name = line.substr(0, name_end);
  std::string_view rest = std::string_view(line).substr(name_end);
  if (rest.front() == '{') {
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '}') {
      if (!ConsumeLabel(rest, sample)) return std::nullopt;
    }
    if (rest.empty()) return std::nullopt;
    rest.remove_prefix(1);
  }
  const std::string number(rest);
  char* end = nullptr;
  sample.value = std::strtod(number.c_str(), &end);
  if (end == number.c_str()) return std::nullopt;
  return sample;
}

}  // namespace

std::vector<MetricSample> ParseMetrics(const std::string& text) {
  std::vector<MetricSample> samples;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::optional<MetricSample> sample = ParseLine(line);
    if (sample.has_value()) samples.push_back(std::move(*sample));
  }
  return samples;
}

}  // namespace medlarwinch
