#include "record.h"

#include <iomanip>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {

Record::Record(const std::string& path)
    : file_(path), started_(MonotonicNow()) {}

void Record::Line(const std::string& text) {
  const double seconds =
      static_cast<double>((MonotonicNow() - started_).value) / 1'000;
  file_ << std::fixed << std::setprecision(3) << seconds << " " << text << "\n"
        << std::flush;
}

void Record::Broken(const std::string& text) {
  broken_.push_back(text);
  Line("BROKEN " + text);
}

void Record::Invalid(const std::string& text) {
  invalid_.push_back(text);
  Line("INVALID " + text);
}

}  // namespace medlarwinch::review
