#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A process that this one started; it is killed at the latest with the object.
class ChildProcess {
 public:
  /// Starts `program` with `arguments`; both of its output streams are appended
  /// to `log_file`. Fails with kUnavailable.
  static Result<std::unique_ptr<ChildProcess>> Spawn(
      const std::string& program, const std::vector<std::string>& arguments,
      const std::string& log_file);

  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }

  /// Sends a signal unless the process has ended.
  void Signal(int signal);

  /// True when the process has ended.
  bool HasEnded();

  /// Wait status once HasEnded() is true.
  int status() const { return status_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  bool has_ended_ = false;
  int status_ = 0;
};

}  // namespace medlarwinch
