#include "medlarwinch/standins/event_log.h"

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

Result<std::unique_ptr<EventLog>> EventLog::Open(const std::string& file) {
  std::unique_ptr<EventLog> log(new EventLog(file));
  if (!log->stream_) {
    return Error{ErrorCode::kUnavailable, file + ": cannot be opened"};
  }
  return log;
}

EventLog::EventLog(const std::string& file) : stream_(file, std::ios::app) {}

void EventLog::Write(std::string_view event,
                     std::initializer_list<EventField> fields) {
  std::string line = "time=" + std::to_string(WallNow().value) + " event=";
  line += event;
  for (const EventField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    for (const char character : field.value) {
      const bool is_plain = character > ' ' && character != '\x7f';
      line += is_plain ? character : '_';
    }
  }
  line += '\n';
  const std::lock_guard<std::mutex> lock(mutex_);
  stream_ << line;
  stream_.flush();
}

}  // namespace medlarwinch
