#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Stands for the service in the keys of entries that concern none. No service
/// can have this name.
inline constexpr const char* kNoService = "_system";

/// Bounds of one process's account.
struct AccountLimits {
  /// Entries kept in memory while the platform does not take them.
  size_t ring_entries = 4'096;
  /// Largest object; more entries of the same minute go to a new part.
  size_t max_object_bytes = 65'536;
  /// An object of at least this size is not written again with more entries,
  /// so that rewriting stays within the control traffic of 4 KB/s.
  size_t max_rewrite_bytes = 8'192;
  /// Minutes and services whose newest part is remembered.
  size_t max_open_parts = 256;

  friend bool operator==(const AccountLimits&, const AccountLimits&) = default;
};

/// One entry as it stands in an object.
struct AccountLine {
  std::string service;
  /// Wall-clock time of the entry in minutes since 1970.
  int64_t minute = 0;
  /// The entry without a line end.
  std::string text;

  friend bool operator==(const AccountLine&, const AccountLine&) = default;
};

/// The objects of one service and minute of this process.
struct AccountObjectId {
  int64_t minute = 0;
  std::string service;

  friend auto operator<=>(const AccountObjectId&,
                          const AccountObjectId&) = default;
};

/// The newest part of such an object.
struct AccountPart {
  /// Counts from 1.
  uint32_t number = 1;
  /// Version on the platform; 0 when the part was not written yet.
  uint64_t version = 0;
  std::string text;

  friend bool operator==(const AccountPart&, const AccountPart&) = default;
};

/// A conditional write of one part.
struct AccountWrite {
  AccountObjectId object;
  AccountPart part;
  /// The entries that this write adds.
  std::vector<AccountLine> lines;

  friend bool operator==(const AccountWrite&, const AccountWrite&) = default;
};

/// Entries that wait, and what was written.
struct AccountLog {
  std::deque<AccountLine> ring;
  /// Entries lost by service since the last record of the loss.
  std::map<std::string, uint64_t> dropped;
  std::map<AccountObjectId, AccountPart> open_parts;
  TimePoint next_write{0};

  friend bool operator==(const AccountLog&, const AccountLog&) = default;
};

/// How a write ended.
enum class AccountWriteResult {
  kWritten,
  /// The part exists already, from an earlier run of this process or from a
  /// write whose answer was lost.
  kConflict,
  kFailed,
};

/// Returns the key of a part, "account/SERVICE/PROCESS-MINUTE" and for later
/// parts "account/SERVICE/PROCESS-MINUTE.NUMBER".
std::string AccountKey(const std::string& process,
                       const AccountObjectId& object, uint32_t part);

/// Smallest time between two writes of one process, so that `daemons` processes
/// make at most 100 account writes per second, and never below 2 s.
Millis AccountWriteInterval(size_t daemons);

/// Adds an entry; when the ring is full, the oldest one is dropped and counted.
AccountLog AppendAccountLine(AccountLog log, AccountLine line,
                             const AccountLimits& limits);

/// Takes the counts of dropped entries, so that the caller records them. Takes
/// nothing while the ring is full, because the record would be dropped.
std::pair<AccountLog, std::map<std::string, uint64_t>> TakeDroppedCounts(
    AccountLog log, const AccountLimits& limits);

/// Takes the entries of the oldest service and minute that fit into one object,
/// in the order in which they were added. Nothing when none waits or, unless
/// `is_stopping`, before the time of the next write.
std::pair<AccountLog, std::optional<AccountWrite>> NextAccountWrite(
    AccountLog log, TimePoint now, bool is_stopping,
    const AccountLimits& limits);

/// Enters the result of a write: `version` is the new version of the part when
/// it was written. Entries that were not written return to the ring.
AccountLog CompleteAccountWrite(AccountLog log, AccountWrite write,
                                AccountWriteResult result, uint64_t version,
                                TimePoint next_write,
                                const AccountLimits& limits);

}  // namespace medlarwinch
