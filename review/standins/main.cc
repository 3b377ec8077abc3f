// Plays one case of the review against the project's daemons.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "cases.h"
#include "deployment.h"
#include "record.h"

namespace medlarwinch::review {
namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;
constexpr Millis kLongestRun{110'000};

int Play(const std::string& name, const std::string& program,
         const std::string& record_path) {
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble =
      trouble == nullptr || std::string(trouble) != std::string("0");
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return kExitNotRun;
  Record record(record_path);
  record.Line("case " + name + (has_trouble ? "" : " without the disruption"));
  {
    boost::asio::io_context loop(1);
    Deployment deployment(loop, program, folder, record);
    const Result<Ok> begun =
        BeginCase(name, has_trouble, CaseContext{loop, deployment, record});
    boost::asio::signal_set signals(loop, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
      if (error) return;
      record.Invalid("stopped by a signal");
      loop.stop();
    });
    After(loop, kLongestRun, [&] {
      record.Invalid("the case takes too long");
      loop.stop();
    });
    if (!IsOk(begun)) {
      record.Invalid(ErrorOf(begun).message);
    } else {
      loop.run();
    }
    record.Line("requests sent " +
                std::to_string(deployment.consumers().sent()) + ", answered " +
                std::to_string(deployment.consumers().answered()) +
                ", without an answer " +
                std::to_string(deployment.consumers().failed()));
  }
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << "logs are in " << folder << "\n";
  }
  for (const std::string& text : record.invalid()) {
    std::cout << "could not run: " << text << "\n";
  }
  for (const std::string& text : record.broken()) std::cout << text << "\n";
  if (!record.invalid().empty()) return kExitNotRun;
  std::cout << (record.broken().empty() ? "held\n" : "broken\n");
  return record.broken().empty() ? kExitHeld : kExitBroken;
}

}  // namespace
}  // namespace medlarwinch::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: review_case CASE DAEMON RECORD\n";
    return medlarwinch::review::kExitNotRun;
  }
  return medlarwinch::review::Play(argv[1], argv[2], argv[3]);
}
