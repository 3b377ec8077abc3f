#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A spawned child process, killed by the destructor if it is still running.
class ChildProcess {
 public:
  /// Starts `program` with `arguments` and appends its standard output and
  /// standard error to `log_file`. Fails with kUnavailable.
  static Result<std::unique_ptr<ChildProcess>> Spawn(
      const std::string& program, const std::vector<std::string>& arguments,
      const std::string& log_file);

  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }

  /// Sends a signal unless the process has exited.
  void Signal(int signal);

  /// Returns whether the process has exited.
  bool HasExited();

  /// Wait status, valid once HasExited() returns true.
  int status() const { return status_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  bool has_exited_ = false;
  int status_ = 0;
};

}  // namespace medlarwinch
