#pragma once

#include <fstream>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A key=value pair in an EventLog line.
struct EventField {
  std::string_view key;
  std::string value;
};

/// A log file of lines "time=MS event=E key=value ...", evaluated by the
/// invariant checks. `time` is wall-clock milliseconds. Each line is flushed,
/// so that killing the process loses none.
class EventLog {
 public:
  /// Opens `file` for appending. Fails with kUnavailable.
  static Result<std::unique_ptr<EventLog>> Open(const std::string& file);

  /// Writes one line; whitespace and control characters in values are replaced
  /// by '_'.
  void Write(std::string_view event, std::initializer_list<EventField> fields);

 private:
  explicit EventLog(const std::string& file);

  std::mutex mutex_;
  std::ofstream stream_;
};

}  // namespace medlarwinch
