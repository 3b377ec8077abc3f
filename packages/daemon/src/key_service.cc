#include "medlarwinch/daemon/key_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr Millis kTransferRetryInterval{200};
// After this many unanswered sends the receiver is considered lost; two other
// home agents still have the record.
constexpr int kMaxTransferSends = 10;
constexpr uint64_t kHighHashSeed = 1;
constexpr uint64_t kLowHashSeed = 2;

// Returns the verdict of a refusal that was made without querying another
// agent.
Verdict VerdictWithoutQuery(const KeyedRequest& request) {
  KeyAttemptStart start;
  start.attempt = request.attempt;
  start.resolved = request.highest_not_run_attempt;
  return IsEarlierResolved(start, {}) ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

}  // namespace

KeyHash HashIdempotencyKey(const std::string& service, const std::string& key) {
  const std::string text = service + '\0' + key;
  return KeyHash{HashKey(text, kHighHashSeed), HashKey(text, kLowHashSeed)};
}

KeyService::KeyService(AgentIdentity identity,
                       const AgentSharedState& shared_state,
                       KeyServiceCallbacks callbacks)
    : identity_(std::move(identity)),
      shared_state_(shared_state),
      callbacks_(std::move(callbacks)) {}

void KeyService::StartKeyedRequest(const CallerRequestId& id,
                                   const KeyedRequest& request, TimePoint now) {
  // A refused request does not run at this agent, so its homes do not matter.
  if (!shared_state_.is_roster_settled && !request.refusal.has_value()) {
    postponed_[id] = request;
    return;
  }
  StartWithSettledRoster(id, request, now);
}

void KeyService::StartPostponed(TimePoint now) {
  std::vector<std::pair<CallerRequestId, KeyedRequest>> ready;
  for (const auto& [id, request] : postponed_) {
    if (shared_state_.is_roster_settled || now >= request.deadline) {
      ready.emplace_back(id, request);
    }
  }
  for (const auto& [id, request] : ready) {
    postponed_.erase(id);
    if (shared_state_.is_roster_settled) {
      StartWithSettledRoster(id, request, now);
      continue;
    }
    callbacks_.refuse(id, VerdictWithoutQuery(request),
                      MakeReason(shared_state_.context, "roster_not_settled",
                                 "requests.timeout_ms"));
  }
}

void KeyService::StartWithSettledRoster(const CallerRequestId& id,
                                        const KeyedRequest& request,
                                        TimePoint now) {
  BeginStep begun = BeginRequest(std::move(ledger_), request.key,
                                 request.attempt, ledger_limits(), now);
  ledger_ = std::move(begun.ledger);
  const DocumentContext& context = shared_state_.context;
  if (begun.result == BeginResult::kKnown) {
    RespondFromLedger(id, request, begun.known);
    return;
  }
  if (begun.result == BeginResult::kFull) {
    callbacks_.refuse(
        id, VerdictWithoutQuery(request),
        MakeReason(context, "ledger_full", "idempotency.max_keys"));
    return;
  }
  KeyAttemptStart start;
  start.key = request.key;
  start.self = AgentBoot{identity_.data, BootTag(identity_.boot)};
  start.attempt = request.attempt;
  start.resolved = request.highest_not_run_attempt;
  start.homes = ChooseKeyHomes(request.key, shared_state_.ready_agents);
  start.refusal = request.refusal;
  start.deadline = request.deadline;
  const std::optional<FlowIdentifier> earlier = VerifyFlowIdentifier(
      *shared_state_.keys, identity_.service, request.earlier_flow);
  if (earlier.has_value()) {
    start.earlier = AgentBoot{earlier->agent, earlier->boot_tag};
  }
  const bool is_unverifiable =
      !earlier.has_value() && !request.earlier_flow.empty();
  const bool is_too_old =
      request.attempt > 1 &&
      request.age.value > context.document.idempotency.retention.value / 2;
  PendingAttempt& pending = attempts_[id];
  pending.query = next_query_id_++;
  attempts_by_query_[pending.query] = id;
  attempts_by_key_[request.key] = id;
  if (is_unverifiable || is_too_old) {
    pending.attempt.start = std::move(start);
    const char* rule = is_too_old ? "older_than_half_of_retention"
                                  : "earlier_flow_not_verifiable";
    PerformAction(
        id,
        RefuseAttempt{Verdict::kMayHaveRun,
                      MakeReason(context, rule, "idempotency.retention_ms")},
        now);
    return;
  }
  ApplyAttemptStep(id, StartKeyAttempt(std::move(start), context, now), now);
}

void KeyService::RespondFromLedger(const CallerRequestId& id,
                                   const KeyedRequest& request,
                                   const LedgerEntry& entry) {
  const DocumentContext& context = shared_state_.context;
  switch (entry.state) {
    case LedgerState::kReserving:
    case LedgerState::kRunning:
      waiters_[id] = Waiter{request.key, request.deadline};
      return;
    case LedgerState::kRan:
      if (entry.response != nullptr) {
        callbacks_.send_stored_response(id, entry.status, entry.response);
        return;
      }
      callbacks_.refuse(id, Verdict::kMayHaveRun,
                        MakeReason(context, "answer_not_stored", ""));
      return;
    case LedgerState::kMayHaveRun:
      callbacks_.refuse(
          id, Verdict::kMayHaveRun,
          MakeReason(context, "earlier_attempt_may_have_run", ""));
      return;
    case LedgerState::kWithdrawn:
      // The proof covers this agent only; whether earlier attempts ran at other
      // agents is not known here.
      callbacks_.refuse(id, VerdictWithoutQuery(request),
                        MakeReason(context, "attempt_withdrawn", ""));
      return;
    case LedgerState::kCancelled:
      callbacks_.refuse(id, Verdict::kMayHaveRun,
                        MakeReason(context, "cancelled_by_later_attempt", ""));
      return;
  }
}

void KeyService::RespondToWaiters(TimePoint now) {
  std::vector<std::pair<CallerRequestId, Waiter>> ready;
  for (const auto& [id, waiter] : waiters_) {
    const auto found = ledger_.entries.find(waiter.key);
    const bool is_open = found != ledger_.entries.end() &&
                         (found->second.state == LedgerState::kReserving ||
                          found->second.state == LedgerState::kRunning);
    if (is_open && now < waiter.deadline) continue;
    ready.emplace_back(id, waiter);
  }
  for (const auto& [id, waiter] : ready) {
    waiters_.erase(id);
    const auto found = ledger_.entries.find(waiter.key);
    const bool is_open = found == ledger_.entries.end() ||
                         found->second.state == LedgerState::kReserving ||
                         found->second.state == LedgerState::kRunning;
    // The awaited attempt did not run, but a later one may.
    const bool is_withdrawn =
        !is_open && found->second.state == LedgerState::kWithdrawn;
    if (is_open || is_withdrawn) {
      callbacks_.refuse(
          id, Verdict::kMayHaveRun,
          MakeReason(shared_state_.context, "waited_for_other_attempt",
                     "requests.timeout_ms"));
      continue;
    }
    KeyedRequest request;
    request.key = waiter.key;
    RespondFromLedger(id, request, found->second);
  }
}

void KeyService::AbandonKeyedRequest(const CallerRequestId& id, TimePoint now) {
  waiters_.erase(id);
  postponed_.erase(id);
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  const KeyAttemptStart start = found->second.attempt.start;
  attempts_by_query_.erase(found->second.query);
  attempts_by_key_.erase(start.key);
  attempts_.erase(found);
  Withdraw(start.key, start.attempt, now);
}

void KeyService::FinishKeyedRequest(const KeyHash& key, LedgerState state,
                                    uint16_t status, StoredResponse response,
                                    TimePoint now) {
  ledger_ = EndRequest(std::move(ledger_), key, state, status,
                       std::move(response), ledger_limits(), now);
}

bool KeyService::Withdraw(const KeyHash& key, uint32_t attempt, TimePoint now) {
  WithdrawStep step =
      WithdrawRequest(std::move(ledger_), key, attempt, ledger_limits(), now);
  ledger_ = std::move(step.ledger);
  return step.is_proven;
}

void KeyService::OnReadyChanged(const std::vector<Endpoint>& before,
                                const std::vector<Endpoint>& after,
                                TimePoint now) {
  StartTransfers(PlanKeyTransfers(home_, before, after, now), now);
}

void KeyService::StartTransfers(
    const std::map<Endpoint, std::vector<TransferredKey>>& plan,
    TimePoint now) {
  for (const auto& [receiver, keys] : plan) {
    if (receiver == identity_.data) continue;
    for (size_t first = 0; first < keys.size();
         first += kMaxTransferredRecords) {
      const size_t last =
          std::min<size_t>(keys.size(), first + kMaxTransferredRecords);
      PendingTransfer transfer;
      transfer.to = receiver;
      transfer.message.query_id = next_query_id_++;
      transfer.message.service = identity_.service;
      transfer.next_send = now;
      for (size_t index = first; index < last; ++index) {
        const TransferredKey& transferred = keys[index];
        transfer.message.records.push_back(KeyRecord{
            transferred.key, transferred.holder.agent, transferred.holder.boot,
            static_cast<uint32_t>(transferred.remaining.value)});
      }
      transfers_.emplace(transfer.message.query_id, std::move(transfer));
    }
  }
}

void KeyService::Tick(TimePoint now) {
  StartPostponed(now);
  std::vector<CallerRequestId> pending;
  pending.reserve(attempts_.size());
  for (const auto& entry : attempts_) pending.push_back(entry.first);
  for (const CallerRequestId& id : pending) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    ApplyAttemptStep(id,
                     HandleKeyAttemptTick(std::move(found->second.attempt),
                                          shared_state_.context, now),
                     now);
  }
  RespondToWaiters(now);
  for (auto entry = transfers_.begin(); entry != transfers_.end();) {
    PendingTransfer& transfer = entry->second;
    if (now >= transfer.next_send) {
      if (transfer.send_count >= kMaxTransferSends) {
        entry = transfers_.erase(entry);
        continue;
      }
      ++transfer.send_count;
      transfer.next_send = now + kTransferRetryInterval;
      callbacks_.send(transfer.to, transfer.message);
    }
    ++entry;
  }
}

void KeyService::ApplyAttemptStep(const CallerRequestId& id,
                                  KeyAttemptStep step, TimePoint now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  found->second.attempt = std::move(step.attempt);
  for (const KeyAttemptAction& action : step.actions) {
    // An earlier action may have ended the attempt.
    if (!attempts_.contains(id)) return;
    std::visit([&](const auto& content) { PerformAction(id, content, now); },
               action);
  }
}

void KeyService::PerformAction(const CallerRequestId& id,
                               const SendKeyQuery& action, TimePoint /*now*/) {
  const PendingAttempt& pending = attempts_[id];
  callbacks_.send(
      action.to.agent,
      KeyQuery{pending.query, identity_.service, pending.attempt.start.key,
               action.to.boot_tag, BootTag(identity_.boot)});
}

void KeyService::PerformAction(const CallerRequestId& id,
                               const SendKeyReservation& action,
                               TimePoint now) {
  PendingAttempt& pending = attempts_[id];
  const KeyHolder self{identity_.data, identity_.boot};
  const KeyHash key = pending.attempt.start.key;
  if (action.home == identity_.data) {
    const ReserveStep step = ReserveLocally(key, self, action.superseded, now);
    ApplyAttemptStep(
        id,
        HandleKeyReservationReply(
            std::move(pending.attempt), action.home, step.state, step.holder,
            BootTag(step.holder.boot), shared_state_.context, now),
        now);
    return;
  }
  KeyReservationRequest message{
      pending.query, identity_.service, key, self.agent, self.boot, {}, 0};
  if (action.superseded.has_value()) {
    message.superseded_holder = action.superseded->agent;
    message.superseded_holder_boot = action.superseded->boot;
  }
  callbacks_.send(action.home, message);
}

void KeyService::PerformAction(const CallerRequestId& id,
                               const DispatchRequest& /*action*/,
                               TimePoint /*now*/) {
  const PendingAttempt pending = std::move(attempts_[id]);
  attempts_by_query_.erase(pending.query);
  attempts_by_key_.erase(pending.attempt.start.key);
  attempts_.erase(id);
  DispatchStep step =
      MarkDispatched(std::move(ledger_), pending.attempt.start.key);
  ledger_ = std::move(step.ledger);
  if (step.may_run) {
    callbacks_.forward_to_upstream(
        id,
        IsEarlierResolved(pending.attempt.start, pending.attempt.cancelled));
    return;
  }
  callbacks_.refuse(
      id, Verdict::kMayHaveRun,
      MakeReason(shared_state_.context, "cancelled_by_later_attempt", ""));
}

void KeyService::PerformAction(const CallerRequestId& id,
                               const RelayStoredResponse& /*action*/,
                               TimePoint now) {
  const uint16_t status = stored_response_status_;
  const StoredResponse response = stored_response_;
  AbandonKeyedRequest(id, now);
  callbacks_.send_stored_response(id, status, response);
}

void KeyService::PerformAction(const CallerRequestId& id,
                               const RefuseAttempt& action, TimePoint now) {
  const PendingAttempt pending = std::move(attempts_[id]);
  const KeyAttemptStart& start = pending.attempt.start;
  attempts_by_query_.erase(pending.query);
  attempts_by_key_.erase(start.key);
  attempts_.erase(id);
  const bool is_proof = Withdraw(start.key, start.attempt, now);
  const bool is_not_run = action.verdict == Verdict::kNotRun && is_proof;
  callbacks_.refuse(id, is_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
                    action.reason);
}

LedgerLimits KeyService::ledger_limits() const {
  const IdempotencyPolicy& policy = shared_state_.context.document.idempotency;
  LedgerLimits limits;
  limits.retention = policy.retention;
  limits.max_keys = policy.max_keys;
  return limits;
}

KeyHomeLimits KeyService::home_limits() const {
  const IdempotencyPolicy& policy = shared_state_.context.document.idempotency;
  return KeyHomeLimits{policy.retention, policy.max_keys};
}

}  // namespace medlarwinch
