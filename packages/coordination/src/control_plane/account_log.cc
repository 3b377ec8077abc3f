#include "medlarwinch/coordination/control_plane/account_log.h"

#include <algorithm>

namespace medlarwinch {
namespace {

constexpr int64_t kMinIntervalMillis = 2'000;
// With 100 account writes per second in total, each daemon may write every 10
// ms times the number of daemons.
constexpr int64_t kIntervalMillisPerDaemon = 10;

// Returns the part to which the next lines of `object` are added.
AccountPart NextPart(const AccountLog& log, const AccountObjectId& object,
                     const AccountLimits& limits) {
  const auto found = log.open_parts.find(object);
  if (found == log.open_parts.end()) return AccountPart{};
  if (found->second.text.size() < limits.max_rewrite_bytes) {
    return found->second;
  }
  return AccountPart{found->second.number + 1, 0, ""};
}

void EvictOldestParts(AccountLog& log, const AccountLimits& limits) {
  while (log.open_parts.size() > limits.max_open_parts) {
    log.open_parts.erase(log.open_parts.begin());
  }
}

}  // namespace

std::string AccountKey(const std::string& process,
                       const AccountObjectId& object, uint32_t part) {
  const std::string service =
      object.service.empty() ? kNoService : object.service;
  std::string key = "account/" + service + "/" + process + "-" +
                    std::to_string(object.minute);
  if (part > 1) key += "." + std::to_string(part);
  return key;
}

Millis AccountWriteInterval(size_t daemons) {
  return Millis{std::max(kMinIntervalMillis, static_cast<int64_t>(daemons) *
                                                 kIntervalMillisPerDaemon)};
}

AccountLog AppendAccountLine(AccountLog log, AccountLine line,
                             const AccountLimits& limits) {
  if (log.ring.size() >= limits.ring_capacity) {
    ++log.dropped[log.ring.front().service];
    log.ring.pop_front();
  }
  log.ring.push_back(std::move(line));
  return log;
}

std::pair<AccountLog, std::map<std::string, uint64_t>> TakeDroppedCounts(
    AccountLog log, const AccountLimits& limits) {
  std::map<std::string, uint64_t> counts;
  const size_t free =
      limits.ring_capacity - std::min(limits.ring_capacity, log.ring.size());
  while (counts.size() < free && !log.dropped.empty()) {
    counts.insert(log.dropped.extract(log.dropped.begin()));
  }
  return {std::move(log), std::move(counts)};
}

std::pair<AccountLog, std::optional<AccountWrite>> NextAccountWrite(
    AccountLog log, TimePoint now, bool is_stopping,
    const AccountLimits& limits) {
  if (log.ring.empty()) return {std::move(log), std::nullopt};
  if (now < log.next_write && !is_stopping) {
    return {std::move(log), std::nullopt};
  }
  AccountWrite write;
  write.object = {log.ring.front().minute, log.ring.front().service};
  write.part = NextPart(log, write.object, limits);
  std::deque<AccountLine> rest;
  bool is_full = false;
  for (AccountLine& line : log.ring) {
    const bool is_same = line.service == write.object.service &&
                         line.minute == write.object.minute;
    const size_t grown = write.part.text.size() + line.text.size() + 1;
    // A single line above the size limit gets a part of its own.
    const bool fits =
        grown <= limits.max_object_bytes || write.part.text.empty();
    // Once a line did not fit, later ones wait too, to preserve the order.
    is_full |= is_same && !fits;
    if (!is_same || is_full) {
      rest.push_back(std::move(line));
      continue;
    }
    write.part.text += line.text + "\n";
    write.lines.push_back(std::move(line));
  }
  log.ring = std::move(rest);
  return {std::move(log), std::move(write)};
}

AccountLog CompleteAccountWrite(AccountLog log, AccountWrite write,
                                AccountWriteResult result, uint64_t version,
                                TimePoint next_write,
                                const AccountLimits& limits) {
  log.next_write = next_write;
  if (result == AccountWriteResult::kWritten) {
    write.part.version = version;
    log.open_parts[write.object] = std::move(write.part);
    EvictOldestParts(log, limits);
    return log;
  }
  if (result == AccountWriteResult::kConflict) {
    // Padding the text to the limit makes the next write start a new part.
    write.part.text.assign(limits.max_rewrite_bytes, ' ');
    log.open_parts[write.object] = std::move(write.part);
    EvictOldestParts(log, limits);
  }
  while (!write.lines.empty()) {
    log.ring.push_front(std::move(write.lines.back()));
    write.lines.pop_back();
  }
  while (log.ring.size() > limits.ring_capacity) {
    ++log.dropped[log.ring.front().service];
    log.ring.pop_front();
  }
  return log;
}

}  // namespace medlarwinch
