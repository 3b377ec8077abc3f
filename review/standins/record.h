#pragma once

#include <fstream>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"

namespace medlarwinch::review {

/// Writes what was sent, answered and run, with the time since the start, and
/// collects the broken rules.
class Record {
 public:
  explicit Record(const std::string& path);

  void Line(const std::string& text);
  /// Records a broken rule.
  void Broken(const std::string& text);
  /// Records that the case could not run as intended.
  void Invalid(const std::string& text);

  const std::vector<std::string>& broken() const { return broken_; }
  const std::vector<std::string>& invalid() const { return invalid_; }

 private:
  std::ofstream file_;
  TimePoint started_;
  std::vector<std::string> broken_;
  std::vector<std::string> invalid_;
};

}  // namespace medlarwinch::review
