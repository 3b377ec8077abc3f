#include "medlarwinch/cli/report_text.h"

#include <algorithm>
#include <charconv>
#include <ctime>

namespace medlarwinch {
namespace {

constexpr int64_t kMillisPerSecond = 1'000;
constexpr int64_t kMillisPerMinute = 60 * kMillisPerSecond;
constexpr int64_t kMillisPerHour = 60 * kMillisPerMinute;
constexpr int64_t kMillisPerDay = 24 * kMillisPerHour;

// Parses a number of exactly `digits` digits at the front of `text` and removes
// it.
bool ConsumeDigits(std::string_view& text, size_t digits, int& number) {
  if (text.size() < digits) return false;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + digits, number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + digits) {
    return false;
  }
  text.remove_prefix(digits);
  return true;
}

bool ConsumeChar(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected) return false;
  text.remove_prefix(1);
  return true;
}

// Parses "HH:MM[:SS[.mmm]][Z]" and returns it in ms; nullopt when anything
// else follows.
std::optional<int64_t> ParseTimeOfDay(std::string_view text) {
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millis = 0;
  if (!ConsumeDigits(text, 2, hour) || !ConsumeChar(text, ':') ||
      !ConsumeDigits(text, 2, minute)) {
    return std::nullopt;
  }
  if (ConsumeChar(text, ':') && !ConsumeDigits(text, 2, second))
    return std::nullopt;
  if (ConsumeChar(text, '.') && !ConsumeDigits(text, 3, millis))
    return std::nullopt;
  ConsumeChar(text, 'Z');
  const bool is_time = text.empty() && hour >= 0 && hour < 24 && minute >= 0 &&
                       minute < 60 && second >= 0 && second < 60 && millis >= 0;
  if (!is_time) return std::nullopt;
  return hour * kMillisPerHour + minute * kMillisPerMinute +
         second * kMillisPerSecond + millis;
}

// Parses and removes "YYYY-MM-DDT"; returns midnight UTC of that day in ms
// since the epoch.
std::optional<int64_t> ConsumeDate(std::string_view& text) {
  int year = 0;
  int month = 0;
  int day = 0;
  const bool is_date = ConsumeDigits(text, 4, year) && ConsumeChar(text, '-') &&
                       ConsumeDigits(text, 2, month) &&
                       ConsumeChar(text, '-') && ConsumeDigits(text, 2, day) &&
                       ConsumeChar(text, 'T');
  if (!is_date || month < 1 || month > 12 || day < 1 || day > 31) {
    return std::nullopt;
  }
  std::tm parts{};
  parts.tm_year = year - 1900;
  parts.tm_mon = month - 1;
  parts.tm_mday = day;
  const std::time_t seconds = timegm(&parts);
  if (parts.tm_mday != day) return std::nullopt;
  return static_cast<int64_t>(seconds) * kMillisPerSecond;
}

}  // namespace

Result<TimePoint> ParseTime(std::string_view text, TimePoint now) {
  std::string_view rest = text;
  int64_t midnight = now.value - now.value % kMillisPerDay;
  if (text.find('T') != std::string_view::npos) {
    const std::optional<int64_t> date = ConsumeDate(rest);
    if (!date.has_value()) rest = "";
    midnight = date.value_or(0);
  }
  const std::optional<int64_t> time_of_day = ParseTimeOfDay(rest);
  if (time_of_day.has_value()) return TimePoint{midnight + *time_of_day};
  return Error{ErrorCode::kInvalidInput,
               "'" + std::string(text) +
                   "' is not a time such as 2026-01-31T12:00:00Z or 12:00"};
}

Result<Millis> ParseDuration(std::string_view text) {
  int64_t number = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const std::string_view unit =
      text.substr(static_cast<size_t>(parsed.ptr - text.data()));
  constexpr int64_t kMaxNumber = 1'000'000'000;
  const bool is_number =
      parsed.ec == std::errc() && number >= 0 && number <= kMaxNumber;
  if (is_number && unit == "ms") return Millis{number};
  if (is_number && unit == "s") return Millis{number * kMillisPerSecond};
  if (is_number && unit == "m") return Millis{number * kMillisPerMinute};
  if (is_number && unit == "h") return Millis{number * kMillisPerHour};
  return Error{ErrorCode::kInvalidInput,
               "'" + std::string(text) +
                   "' is not a duration such as 500ms, 90s, 15m or 2h"};
}

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const std::vector<std::string>& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows) {
    std::string line;
    for (size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line += std::string(widths[column] - row[column].size() + 2, ' ');
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

std::string FormatChanges(const std::vector<FieldChange>& changes) {
  std::string text;
  for (const FieldChange& change : changes) {
    text += "  " + change.path + ": " +
            (change.before.empty() ? "(absent)" : change.before) + " -> " +
            (change.after.empty() ? "(absent)" : change.after) + "\n";
  }
  return text;
}

}  // namespace medlarwinch
