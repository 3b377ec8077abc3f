#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace medlarwinch {

/// Runs tasks after a delay, one at a time, on a dedicated thread.
class TaskTimer {
 public:
  using Task = std::function<void()>;

  TaskTimer();
  /// Discards pending tasks.
  ~TaskTimer();
  TaskTimer(const TaskTimer&) = delete;
  TaskTimer& operator=(const TaskTimer&) = delete;

  void RunAfter(std::chrono::milliseconds delay, Task task);

  /// Discards pending tasks and stops the thread; tasks added later are
  /// ignored.
  void Stop();

 private:
  using Clock = std::chrono::steady_clock;

  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Clock::time_point, Task> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace medlarwinch
