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

/// What the agent knows of a request that may not be repeated.
enum class LedgerState : uint8_t {
  /// Its key is being reserved; the upstream has not got it.
  kReserving,
  /// It was handed to the upstream.
  kRunning,
  kRan,
  kMayHaveRun,
  /// Attempts up to LedgerEntry::attempt were answered "not run" and never run
  /// here; a later attempt may.
  kWithdrawn,
  /// Another agent was told that the key never runs here. This is final.
  kCancelled,
};

/// A response body as the ledger stores it.
using StoredResponse = std::shared_ptr<const std::vector<uint8_t>>;

struct LedgerEntry {
  LedgerState state = LedgerState::kReserving;
  uint16_t status = 0;
  uint32_t attempt = 1;
  /// Meaningful once the request is neither reserving nor running.
  TimePoint expires;
  /// Empty when the answer was too large to store.
  StoredResponse response;

  friend bool operator==(const LedgerEntry&, const LedgerEntry&) = default;
};

/// Bounds of a ledger.
struct LedgerLimits {
  /// Time for which an ended request is remembered.
  Millis retention{600'000};
  size_t max_keys = 100'000;
  /// Bytes of all stored answers together. Above it an answer is not stored,
  /// and its retry is answered "may have run".
  size_t max_response_bytes = 8 * 1'024 * 1'024;
};

/// The requests of one agent that may not be repeated, by key. Entries leave
/// only when their retention has passed or with proof that they did not run.
struct RequestLedger {
  std::unordered_map<KeyHash, LedgerEntry, KeyHashHasher> entries;
  /// Ended entries in the order in which they expire.
  std::deque<std::pair<TimePoint, KeyHash>> expiry;
  size_t response_bytes = 0;
};

enum class BeginResult : uint8_t {
  /// The entry is new, or was withdrawn by an earlier attempt; the key may be
  /// reserved.
  kBegun,
  /// The key is known; the entry says what became of it.
  kKnown,
  /// The ledger has no room; shed the request.
  kFull,
};

struct BeginStep {
  RequestLedger ledger;
  BeginResult result = BeginResult::kFull;
  /// The entry found when the result is kKnown.
  LedgerEntry known;
};

/// Starts an attempt to run `key`.
BeginStep BeginRequest(RequestLedger ledger, const KeyHash& key,
                       uint32_t attempt, const LedgerLimits& limits,
                       TimePoint now);

struct DispatchStep {
  RequestLedger ledger;
  /// False when the reservation was cancelled meanwhile; the request must not
  /// be handed over.
  bool may_run = false;
};

/// Marks the request as handed to the upstream.
DispatchStep MarkDispatched(RequestLedger ledger, const KeyHash& key);

/// Ends a running request as kRan or kMayHaveRun.
RequestLedger EndRequest(RequestLedger ledger, const KeyHash& key,
                         LedgerState state, uint16_t status,
                         StoredResponse response, const LedgerLimits& limits,
                         TimePoint now);

struct WithdrawStep {
  RequestLedger ledger;
  /// True when no attempt up to the given one runs here, ever.
  bool is_proven = false;
};

/// Records with proof that attempts up to `attempt` did not run and never will.
/// There is no proof when the ledger has no room to remember it, or when the
/// key is in another state than reserving, running or withdrawn. A running
/// request is withdrawn only on the upstream's own proof.
WithdrawStep WithdrawRequest(RequestLedger ledger, const KeyHash& key,
                             uint32_t attempt, const LedgerLimits& limits,
                             TimePoint now);

struct QueryStep {
  RequestLedger ledger;
  KeyState state = KeyState::kMayHaveRun;
  uint16_t status = 0;
  StoredResponse response;
  /// True when the query ended a reservation in progress, whose attempt must be
  /// aborted.
  bool aborted = false;
};

/// Answers another agent's question about `key`. A key that is unknown, being
/// reserved or withdrawn is recorded as cancelled; when there is no room for
/// that record the answer is kMayHaveRun.
QueryStep QueryRequest(RequestLedger ledger, const KeyHash& key,
                       const LedgerLimits& limits, TimePoint now);

/// Drops the entries whose retention has passed.
RequestLedger ExpireRequests(RequestLedger ledger, TimePoint now);

}  // namespace medlarwinch
