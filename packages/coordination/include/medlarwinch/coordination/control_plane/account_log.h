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

/// Service name in the keys of entries that belong to no service. A service
/// cannot have this name.
inline constexpr const char* kNoService = "_system";

/// Limits of one process's account log.
struct AccountLimits {
  /// Capacity of the in-memory ring, which holds entries until the platform has
  /// stored them.
  size_t ring_capacity = 4'096;
  /// Maximum object size in bytes. Further entries of the same minute go to a
  /// new part.
  size_t max_object_bytes = 65'536;
  /// A part of at least this size is not rewritten to add entries, so that
  /// rewrites stay within the 4 KB/s for control traffic.
  size_t max_rewrite_bytes = 8'192;
  /// Maximum number of objects whose newest part is kept in memory for
  /// rewriting.
  size_t max_open_parts = 256;

  friend bool operator==(const AccountLimits&, const AccountLimits&) = default;
};

/// One serialized entry.
struct AccountLine {
  std::string service;
  /// Wall-clock time of the entry, in minutes since 1970.
  int64_t minute = 0;
  /// The entry without the newline.
  std::string text;

  friend bool operator==(const AccountLine&, const AccountLine&) = default;
};

/// Identifies the object of one service and minute of this process; it consists
/// of one or more parts.
struct AccountObjectId {
  int64_t minute = 0;
  std::string service;

  friend auto operator<=>(const AccountObjectId&,
                          const AccountObjectId&) = default;
};

/// One part of such an object.
struct AccountPart {
  /// Counts from 1.
  uint32_t number = 1;
  /// Version on the platform; 0 when the part has not been written yet.
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

/// Queued entries, and the parts to which entries may still be added.
struct AccountLog {
  std::deque<AccountLine> ring;
  /// Number of entries dropped by service since the last time it was taken with
  /// TakeDroppedCounts().
  std::map<std::string, uint64_t> dropped;
  std::map<AccountObjectId, AccountPart> open_parts;
  TimePoint next_write{0};

  friend bool operator==(const AccountLog&, const AccountLog&) = default;
};

/// Result of a write.
enum class AccountWriteResult {
  kWritten,
  /// The part already exists, from an earlier run of this process or from a
  /// write whose response was lost.
  kConflict,
  kFailed,
};

/// Returns the key of a part: "account/SERVICE/PROCESS-MINUTE", and for parts
/// after the first "account/SERVICE/PROCESS-MINUTE.NUMBER".
std::string AccountKey(const std::string& process,
                       const AccountObjectId& object, uint32_t part);

/// Minimum interval between two writes of one process: at least 2 s, and long
/// enough that `daemons` processes together make at most 100 account writes per
/// second.
Millis AccountWriteInterval(size_t daemons);

/// Appends an entry. When the ring is full, drops the oldest one and counts it.
AccountLog AppendAccountLine(AccountLog log, AccountLine line,
                             const AccountLimits& limits);

/// Removes and returns the counts of dropped entries, for the caller to record.
/// Returns none while the ring is full, because their record would be dropped
/// too.
std::pair<AccountLog, std::map<std::string, uint64_t>> TakeDroppedCounts(
    AccountLog log, const AccountLimits& limits);

/// Removes the entries of the oldest service and minute that fit into one
/// object, in the order in which they were added, and returns the write for
/// them. Returns no write when the ring is empty or, unless `is_stopping`,
/// before `next_write`.
std::pair<AccountLog, std::optional<AccountWrite>> NextAccountWrite(
    AccountLog log, TimePoint now, bool is_stopping,
    const AccountLimits& limits);

/// Applies the result of a write. `version` is the new version of the part if
/// it was written. Entries that were not written return to the front of the
/// ring.
AccountLog CompleteAccountWrite(AccountLog log, AccountWrite write,
                                AccountWriteResult result, uint64_t version,
                                TimePoint next_write,
                                const AccountLimits& limits);

}  // namespace medlarwinch
