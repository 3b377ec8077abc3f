#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/key_state.h"

namespace medlarwinch {

/// State of a non-repeatable request at the agent.
enum class LedgerState : uint8_t {
  /// The key is being reserved; the request was not sent to the upstream.
  kReserving,
  /// The request was dispatched to the upstream.
  kRunning,
  kRan,
  kMayHaveRun,
  /// Attempts up to LedgerEntry::attempt got the verdict "not run" and never
  /// run
  /// here; a later attempt may run.
  kWithdrawn,
  /// A reply to another agent has guaranteed that the key never runs here. This
  /// is final.
  kCancelled,
};

/// A stored response body.
using StoredResponse = std::shared_ptr<const std::vector<uint8_t>>;

struct LedgerEntry {
  LedgerState state = LedgerState::kReserving;
  uint16_t status = 0;
  uint32_t attempt = 1;
  /// Valid only when the request is neither reserving nor running.
  TimePoint expires;
  /// Null when the response was too large to store.
  StoredResponse response;

  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

/// Limits of a ledger.
struct LedgerLimits {
  /// How long the entry of an ended request is retained.
  Millis retention{600'000};
  size_t max_keys = 100'000;
  /// Maximum total size of the stored responses. A response above it is not
  /// stored, and its retry gets the verdict "may have run".
  size_t max_response_bytes = 8 * 1'024 * 1'024;
};

/// The non-repeatable requests of one agent, by key. Entries are removed only
/// when their retention has passed, or with proof that the request did not run.
struct RequestLedger {
  std::unordered_map<KeyHash, LedgerEntry, KeyHashHasher> entries;
  /// Ended entries in order of expiry.
  std::deque<std::pair<TimePoint, KeyHash>> expiry;
  size_t response_bytes = 0;
};

enum class BeginResult : uint8_t {
  /// The entry is new, or an earlier attempt was withdrawn; the key may be
  /// reserved.
  kBegun,
  /// The key is known; the entry contains its state.
  kKnown,
  /// The ledger is full; the request must be shed.
  kFull,
};

struct BeginStep {
  RequestLedger ledger;
  BeginResult result = BeginResult::kFull;
  /// The existing entry when the result is kKnown.
  LedgerEntry known;
};

/// Begins an attempt to run `key`.
BeginStep BeginRequest(RequestLedger ledger, const KeyHash& key,
                       uint32_t attempt, const LedgerLimits& limits,
                       TimePoint now);

struct DispatchStep {
  RequestLedger ledger;
  /// False when the reservation was cancelled in the meantime; the request must
  /// not be dispatched.
  bool may_run = false;
};

/// Marks the request as dispatched to the upstream.
DispatchStep MarkDispatched(RequestLedger ledger, const KeyHash& key);

/// Ends a running request as kRan or kMayHaveRun.
RequestLedger EndRequest(RequestLedger ledger, const KeyHash& key,
                         LedgerState state, uint16_t status,
                         StoredResponse response, const LedgerLimits& limits,
                         TimePoint now);

struct WithdrawStep {
  RequestLedger ledger;
  /// True when it is proven that no attempt up to the given one ever runs here.
  bool is_proven = false;
};

/// Records that attempts up to `attempt` did not run and never will. This is
/// not proven when the ledger has no capacity to record it, or when the key is
/// in a state other than reserving, running or withdrawn. A running request may
/// be withdrawn only when the upstream has proven that it did not run.
WithdrawStep WithdrawRequest(RequestLedger ledger, const KeyHash& key,
                             uint32_t attempt, const LedgerLimits& limits,
                             TimePoint now);

struct QueryStep {
  RequestLedger ledger;
  KeyState state = KeyState::kMayHaveRun;
  uint16_t status = 0;
  StoredResponse response;
  /// True when the query cancelled a reservation in progress, whose attempt
  /// must be aborted.
  bool aborted = false;
};

/// Replies to another agent's query about `key`. A key that is unknown, being
/// reserved or withdrawn is recorded as cancelled; when the ledger has no
/// capacity for that record the reply is kMayHaveRun.
QueryStep QueryRequest(RequestLedger ledger, const KeyHash& key,
                       const LedgerLimits& limits, TimePoint now);

/// Removes the entries whose retention has passed.
RequestLedger ExpireRequests(RequestLedger ledger, TimePoint now);

}  // namespace medlarwinch
