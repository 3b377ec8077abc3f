#include "medlarwinch/transport/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using SeverityLogger = boost::log::sources::severity_logger_mt<LogLevel>;
using TextBackend = boost::log::sinks::text_ostream_backend;
using TextSink = boost::log::sinks::synchronous_sink<TextBackend>;

// Bounds a line with one long value to PIPE_BUF also if each byte is escaped.
// The longest values of the program itself, lists of evacuated failure domains,
// have some 1,000 bytes.
constexpr size_t kMaxValueBytes = 1'280;

std::atomic<uint64_t> g_dropped_lines{0};

// Writes each line with a single call to a non-blocking descriptor. Writes of
// up to PIPE_BUF bytes to a pipe are atomic: they succeed completely or not at
// all.
class NonBlockingBackend
    : public boost::log::sinks::basic_formatted_sink_backend<
          char, boost::log::sinks::synchronized_feeding> {
 public:
  void consume(const boost::log::record_view& /*record*/,
               const std::string& text) {
    const std::string line = text + "\n";
    const ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) ++g_dropped_lines;
  }
};
using NonBlockingSink = boost::log::sinks::synchronous_sink<NonBlockingBackend>;

// Replaces all sinks with `sink`, formatted as the plain message.
template <typename Sink>
void InstallSink(const boost::shared_ptr<Sink>& sink, LogLevel level) {
  sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  const boost::shared_ptr<boost::log::core> core = boost::log::core::get();
  core->remove_all_sinks();
  core->add_sink(sink);
  core->set_filter(boost::log::expressions::attr<LogLevel>("Severity") >=
                   level);
}

SeverityLogger& Logger() {
  static SeverityLogger logger;
  return logger;
}

std::string& ProcessName() {
  static std::string name = "-";
  return name;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char character : value) {
    const bool is_plain = character > ' ' && character != '"' &&
                          character != '=' && character != '\\' &&
                          character != '\x7f';
    if (!is_plain) return true;
  }
  return false;
}

void AppendValue(std::string_view value, std::string& line) {
  const bool needs_quotes = NeedsQuotes(value);
  const bool is_cut = value.size() > kMaxValueBytes;
  if (needs_quotes) line += '"';
  for (const char character : value.substr(0, kMaxValueBytes)) {
    if (character == '\n') {
      line += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') line += '\\';
    const bool is_control = static_cast<unsigned char>(character) < ' ';
    line += is_control ? '?' : character;
  }
  if (is_cut) line += "...";
  if (needs_quotes) line += '"';
}

}  // namespace

void InitLog(LogLevel level, const std::string& process) {
  ProcessName() = process;
  const boost::shared_ptr<TextBackend> backend =
      boost::make_shared<TextBackend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  InstallSink(boost::make_shared<TextSink>(backend), level);
}

void InitNonBlockingLog(LogLevel level, const std::string& process) {
  ProcessName() = process;
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  InstallSink(boost::make_shared<NonBlockingSink>(
                  boost::make_shared<NonBlockingBackend>()),
              level);
}

uint64_t DroppedLogLines() { return g_dropped_lines; }

LogLevel ParseLogLevel(std::string_view text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "warning") return LogLevel::kWarning;
  if (text == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  std::string line = "time=" + FormatTime(WallNow());
  line += " level=";
  line += LevelName(level);
  line += " process=";
  AppendValue(ProcessName(), line);
  line += " event=";
  AppendValue(event, line);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(field.value, line);
  }
  BOOST_LOG_SEV(Logger(), level) << line;
}

}  // namespace medlarwinch
