#include "medlarwinch/standins/task_timer.h"

#include <utility>

namespace medlarwinch {

TaskTimer::TaskTimer() : thread_([this] { Run(); }) {}

TaskTimer::~TaskTimer() { Stop(); }

void TaskTimer::RunAfter(std::chrono::milliseconds delay, Task task) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_) return;
  tasks_.emplace(Clock::now() + delay, std::move(task));
  changed_.notify_one();
}

void TaskTimer::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_one();
  }
  if (thread_.joinable()) thread_.join();
}

void TaskTimer::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (tasks_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const Clock::time_point due = tasks_.begin()->first;
    if (due > Clock::now()) {
      changed_.wait_until(lock, due);
      continue;
    }
    const Task task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace medlarwinch
