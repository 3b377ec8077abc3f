#include "medlarwinch/standins/delay_queue.h"

#include <utility>

namespace medlarwinch {

DelayQueue::DelayQueue() : thread_([this] { Run(); }) {}

DelayQueue::~DelayQueue() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  thread_.join();
}

void DelayQueue::Send(const UdpSocket& socket, const Endpoint& to,
                      Bytes datagram, std::chrono::microseconds delay) {
  if (delay.count() <= 0) {
    socket.Send(to, datagram);
    return;
  }
  const Clock::time_point due = Clock::now() + delay;
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool is_first = pending_.empty() || due < pending_.top().due;
  pending_.push(
      PendingDatagram{due, next_sequence_++, &socket, to, std::move(datagram)});
  if (is_first) changed_.notify_one();
}

void DelayQueue::Run() {
  std::vector<PendingDatagram> due;
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (pending_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const Clock::time_point now = Clock::now();
    while (!pending_.empty() && pending_.top().due <= now) {
      // Moving out of the constant top() is safe, since the next statement
      // removes the element.
      due.push_back(std::move(const_cast<PendingDatagram&>(pending_.top())));
      pending_.pop();
    }
    if (due.empty()) {
      const Clock::time_point next = pending_.top().due;
      changed_.wait_until(lock, next);
      continue;
    }
    lock.unlock();
    for (const PendingDatagram& item : due)
      item.socket->Send(item.to, item.datagram);
    due.clear();
    lock.lock();
  }
}

}  // namespace medlarwinch
