#include "medlarwinch/coordination/request_path/request_ledger.h"

namespace medlarwinch {
namespace {

bool HasCapacity(const RequestLedger& ledger, const LedgerLimits& limits) {
  return ledger.entries.size() < limits.max_keys;
}

// Sets the final state of an entry and starts its retention.
void End(RequestLedger& ledger, const KeyHash& key, LedgerEntry& entry,
         LedgerState state, const LedgerLimits& limits, TimePoint now) {
  entry.state = state;
  entry.expires = now + limits.retention;
  ledger.expiry.emplace_back(entry.expires, key);
}

}  // namespace

BeginStep BeginRequest(RequestLedger ledger, const KeyHash& key,
                       uint32_t attempt, const LedgerLimits& limits,
                       TimePoint now) {
  ledger = ExpireRequests(std::move(ledger), now);
  BeginStep step;
  const auto found = ledger.entries.find(key);
  if (found != ledger.entries.end()) {
    LedgerEntry& entry = found->second;
    if (entry.state == LedgerState::kWithdrawn && attempt > entry.attempt) {
      entry.state = LedgerState::kReserving;
      entry.attempt = attempt;
      step.result = BeginResult::kBegun;
    } else {
      step.result = BeginResult::kKnown;
      step.known = entry;
    }
  } else if (HasCapacity(ledger, limits)) {
    LedgerEntry entry;
    entry.attempt = attempt;
    ledger.entries.emplace(key, std::move(entry));
    step.result = BeginResult::kBegun;
  }
  step.ledger = std::move(ledger);
  return step;
}

DispatchStep MarkDispatched(RequestLedger ledger, const KeyHash& key) {
  DispatchStep step;
  const auto found = ledger.entries.find(key);
  if (found != ledger.entries.end() &&
      found->second.state == LedgerState::kReserving) {
    found->second.state = LedgerState::kRunning;
    step.may_run = true;
  }
  step.ledger = std::move(ledger);
  return step;
}

RequestLedger EndRequest(RequestLedger ledger, const KeyHash& key,
                         LedgerState state, uint16_t status,
                         StoredResponse response, const LedgerLimits& limits,
                         TimePoint now) {
  const auto found = ledger.entries.find(key);
  if (found == ledger.entries.end() ||
      found->second.state != LedgerState::kRunning) {
    return ledger;
  }
  LedgerEntry& entry = found->second;
  entry.status = status;
  if (response != nullptr &&
      ledger.response_bytes + response->size() <= limits.max_response_bytes) {
    ledger.response_bytes += response->size();
    entry.response = std::move(response);
  }
  End(ledger, key, entry, state, limits, now);
  return ledger;
}

WithdrawStep WithdrawRequest(RequestLedger ledger, const KeyHash& key,
                             uint32_t attempt, const LedgerLimits& limits,
                             TimePoint now) {
  WithdrawStep step;
  const auto found = ledger.entries.find(key);
  if (found == ledger.entries.end()) {
    if (HasCapacity(ledger, limits)) {
      LedgerEntry& entry = ledger.entries[key];
      entry.attempt = attempt;
      End(ledger, key, entry, LedgerState::kWithdrawn, limits, now);
      step.is_proven = true;
    }
  } else {
    LedgerEntry& entry = found->second;
    if (entry.state == LedgerState::kReserving ||
        entry.state == LedgerState::kRunning ||
        entry.state == LedgerState::kWithdrawn) {
      if (attempt > entry.attempt) entry.attempt = attempt;
      End(ledger, key, entry, LedgerState::kWithdrawn, limits, now);
      step.is_proven = true;
    }
  }
  step.ledger = std::move(ledger);
  return step;
}

QueryStep QueryRequest(RequestLedger ledger, const KeyHash& key,
                       const LedgerLimits& limits, TimePoint now) {
  ledger = ExpireRequests(std::move(ledger), now);
  QueryStep step;
  const auto found = ledger.entries.find(key);
  if (found == ledger.entries.end()) {
    if (HasCapacity(ledger, limits)) {
      End(ledger, key, ledger.entries[key], LedgerState::kCancelled, limits,
          now);
      step.state = KeyState::kCancelled;
    }
    step.ledger = std::move(ledger);
    return step;
  }
  LedgerEntry& entry = found->second;
  switch (entry.state) {
    case LedgerState::kReserving:
      step.aborted = true;
      [[fallthrough]];
    case LedgerState::kWithdrawn:
    case LedgerState::kCancelled:
      // Every reply restarts the retention, because the querying agent may rely
      // on it.
      End(ledger, key, entry, LedgerState::kCancelled, limits, now);
      step.state = KeyState::kCancelled;
      break;
    case LedgerState::kRunning:
      step.state = KeyState::kRunning;
      break;
    case LedgerState::kRan:
      step.state = KeyState::kRan;
      step.status = entry.status;
      step.response = entry.response;
      break;
    case LedgerState::kMayHaveRun:
      step.state = KeyState::kMayHaveRun;
      break;
  }
  step.ledger = std::move(ledger);
  return step;
}

RequestLedger ExpireRequests(RequestLedger ledger, TimePoint now) {
  while (!ledger.expiry.empty() && ledger.expiry.front().first <= now) {
    const KeyHash key = ledger.expiry.front().second;
    ledger.expiry.pop_front();
    const auto found = ledger.entries.find(key);
    if (found == ledger.entries.end()) continue;
    const LedgerEntry& entry = found->second;
    const bool is_open = entry.state == LedgerState::kReserving ||
                         entry.state == LedgerState::kRunning;
    // An entry whose retention was restarted has a later place in the queue.
    if (is_open || entry.expires > now) continue;
    if (entry.response != nullptr)
      ledger.response_bytes -= entry.response->size();
    ledger.entries.erase(found);
  }
  return ledger;
}

}  // namespace medlarwinch
