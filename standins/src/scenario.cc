#include "medlarwinch/standins/scenario.h"

#include <charconv>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace medlarwinch {
namespace {

using Words = std::vector<std::string>;

// Valid steps; "*" matches any word.
const std::vector<Words>& StepPatterns() {
  static const std::vector<Words> steps{{"kill", "balancer", "*"},
                                        {"stop", "balancer", "*"},
                                        {"start", "balancer", "*"},
                                        {"freeze", "balancer", "*"},
                                        {"replace", "balancers"},
                                        {"kill", "agent", "*"},
                                        {"stop", "agent", "*"},
                                        {"start", "agent", "*"},
                                        {"freeze", "agent", "*"},
                                        {"kill", "upstream", "*"},
                                        {"start", "upstream", "*"},
                                        {"drain", "upstream", "*"},
                                        {"restore", "upstream", "*"},
                                        {"replace", "upstreams", "*"},
                                        {"reassign", "upstream", "*", "*"},
                                        {"set", "upstream", "*", "*", "*"},
                                        {"apply", "*", "*"},
                                        {"race", "apply", "*", "*"},
                                        {"rotate", "keys"},
                                        {"platform", "down"},
                                        {"platform", "drops-answers"},
                                        {"platform", "slow", "*"},
                                        {"fabric", "*", "*"},
                                        {"cut", "balancer", "*"}};
  return steps;
}

// Steps that require a duration.
bool NeedsDuration(const Words& words) {
  return words[0] == "freeze" || words[0] == "platform" ||
         words[0] == "fabric" || words[0] == "cut" || words[0] == "replace";
}

bool Matches(const Words& words, const Words& pattern) {
  if (words.size() != pattern.size()) return false;
  for (size_t index = 0; index < words.size(); ++index) {
    if (pattern[index] != "*" && pattern[index] != words[index]) return false;
  }
  return true;
}

bool IsKnownStep(const Words& words) {
  for (const Words& pattern : StepPatterns()) {
    if (Matches(words, pattern)) return true;
  }
  return false;
}

bool ParseCount(const std::string& text, int64_t& number) {
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end && number >= 0;
}

bool ParseValue(const std::string& text, double& number) {
  char* end = nullptr;
  number = std::strtod(text.c_str(), &end);
  return !text.empty() && *end == '\0';
}

// Parses one line; returns an error message, or an empty string on success.
class LineParser {
 public:
  explicit LineParser(Scenario& scenario) : scenario_(scenario) {}

  std::string Parse(int line, const Words& words) {
    if (words[0] == "at" || words[0] == "from") return ParseStep(line, words);
    if (words[0] == "expect") return ParseExpectation(line, words);
    if (words[0] == "caller") return ParseSetting(words, scenario_.caller);
    if (words[0] == "upstream") return ParseSetting(words, scenario_.upstream);
    if (words[0] == "load") return ParseNamedCount(words, scenario_.load);
    if (words[0] == "hosts") return ParseNamedCount(words, scenario_.hosts);
    if (words.size() != 2) {
      return "unknown statement '" + words[0] + "' or wrong number of words";
    }
    return ParseOption(words[0], words[1]);
  }

 private:
  std::string ParseOption(const std::string& name, const std::string& value) {
    if (name == "topology") {
      scenario_.topology = value;
      if (value == "trinacria" || value == "bagmati") return "";
      return "expected topology trinacria or bagmati";
    }
    if (name == "balancers" || name == "connections") {
      int64_t& target =
          name == "balancers" ? scenario_.balancers : scenario_.connections;
      if (ParseCount(value, target)) return "";
      return "expected a whole number after " + name;
    }
    int64_t* const target = name == "duration" ? &scenario_.duration_ms
                            : name == "settle" ? &scenario_.settle_ms
                            : name == "warmup" ? &scenario_.warmup_ms
                            : name == "config_limit"
                                ? &scenario_.config_limit_ms
                                : nullptr;
    if (target == nullptr) return "unknown statement '" + name + "'";
    *target = ParseDuration(value);
    return *target < 0 ? "expected a time such as 250ms or 5s" : "";
  }

  static std::string ParseSetting(
      const Words& words, std::map<std::string, std::string>& settings) {
    if (words.size() != 3) return "expected a name and a value";
    settings[words[1]] = words[2];
    return "";
  }

  static std::string ParseNamedCount(const Words& words,
                                     std::map<std::string, int64_t>& counts) {
    int64_t number = 0;
    if (words.size() != 3 || !ParseCount(words[2], number)) {
      return "expected a name and a whole number";
    }
    counts[words[1]] = number;
    return "";
  }

  std::string ParseStep(int line, Words words) {
    ScenarioStep step;
    step.line = line;
    if (words.size() < 3) return "expected a time and a step";
    step.at_ms = ParseDuration(words[1]);
    if (step.at_ms < 0) return "expected a time such as 250ms or 5s";
    const bool is_period = words[0] == "from";
    words.erase(words.begin(), words.begin() + 2);
    // "from T for D STEP" and "at T STEP for D" are equivalent.
    const size_t position = is_period ? 0 : words.size() - 2;
    const bool has_duration = words.size() >= 3 && (words[position] == "for" ||
                                                    words[position] == "over");
    if (has_duration) {
      step.for_ms = ParseDuration(words[position + 1]);
      if (step.for_ms < 0)
        return "expected a time after '" + words[position] + "'";
      const auto begin = words.begin() + static_cast<ptrdiff_t>(position);
      words.erase(begin, begin + 2);
    }
    if (is_period && !has_duration) return "expected 'from TIME for TIME ...'";
    if (!IsKnownStep(words)) return "unknown step";
    if (NeedsDuration(words) && step.for_ms == 0) {
      return "this step needs 'for TIME'";
    }
    step.words = std::move(words);
    scenario_.steps.push_back(std::move(step));
    return "";
  }

  std::string ParseExpectation(int line, const Words& words) {
    Expectation expectation;
    expectation.line = line;
    if (words.size() != 4) return "expected 'expect NAME COMPARISON NUMBER'";
    expectation.metric = words[1];
    expectation.comparison = words[2];
    const bool is_known = words[2] == "==" || words[2] == "<=" ||
                          words[2] == ">=" || words[2] == "<" ||
                          words[2] == ">";
    if (!is_known) return "expected ==, <=, >=, < or >";
    if (!ParseValue(words[3], expectation.value)) return "expected a number";
    scenario_.expectations.push_back(std::move(expectation));
    return "";
  }

  Scenario& scenario_;
};

}  // namespace

Result<Scenario> ParseScenario(const std::string& file,
                               const std::string& text) {
  Scenario scenario;
  LineParser parser(scenario);
  std::string errors;
  std::istringstream lines(text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    std::istringstream stream(line.substr(0, line.find('#')));
    Words words;
    for (std::string word; stream >> word;) words.push_back(word);
    if (words.empty()) continue;
    const std::string error = parser.Parse(number, words);
    if (error.empty()) continue;
    if (!errors.empty()) errors += "\n";
    errors += file + ":" + std::to_string(number) + ": " + error;
  }
  if (!errors.empty()) return Error{ErrorCode::kInvalidInput, errors};
  return scenario;
}

int64_t ParseDuration(const std::string& text) {
  constexpr int64_t kMaxMillis = 3'600'000;
  int64_t number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  const std::string unit(parsed.ptr, end);
  const int64_t factor = unit == "ms"  ? 1
                         : unit == "s" ? 1'000
                         : unit == "m" ? 60'000
                                       : -1;
  const bool is_valid = parsed.ec == std::errc() && factor > 0 && number >= 0 &&
                        number <= kMaxMillis;
  return is_valid ? number * factor : -1;
}

bool IsSatisfied(const Expectation& expectation, double value) {
  const std::string& comparison = expectation.comparison;
  if (comparison == "==") return value == expectation.value;
  if (comparison == "<=") return value <= expectation.value;
  if (comparison == ">=") return value >= expectation.value;
  if (comparison == "<") return value < expectation.value;
  return value > expectation.value;
}

}  // namespace medlarwinch
