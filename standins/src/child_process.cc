#include "medlarwinch/standins/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace medlarwinch {

Result<std::unique_ptr<ChildProcess>> ChildProcess::Spawn(
    const std::string& program, const std::vector<std::string>& arguments,
    const std::string& log_file) {
  std::vector<std::string> words{program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket inherited by the child would keep its address in use.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  pid_t pid = 0;
  const int error = posix_spawn(&pid, program.c_str(), &actions, &attributes,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  if (error != 0) {
    return Error{ErrorCode::kUnavailable,
                 "cannot start " + program + ": " + std::strerror(error)};
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(pid));
}

ChildProcess::~ChildProcess() {
  if (HasExited()) return;
  Signal(SIGKILL);
  waitpid(pid_, &status_, 0);
}

void ChildProcess::Signal(int signal) {
  if (!HasExited()) kill(pid_, signal);
}

bool ChildProcess::HasExited() {
  if (has_exited_) return true;
  has_exited_ = waitpid(pid_, &status_, WNOHANG) == pid_;
  return has_exited_;
}

}  // namespace medlarwinch
