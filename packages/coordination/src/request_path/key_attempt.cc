#include "medlarwinch/coordination/request_path/key_attempt.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

constexpr Millis kResendInterval{100};
// An agent that does not reply to ten queries in a row is considered failed.
constexpr Millis kReplyTimeout{1'000};
// Interval at which a request that runs at another agent is queried until it
// ends.
constexpr Millis kRunningPollInterval{250};

KeyAttemptStep End(KeyAttempt attempt, KeyAttemptAction action) {
  attempt.stage = KeyAttemptStage::kEnded;
  KeyAttemptStep step{std::move(attempt), {}};
  step.actions.push_back(std::move(action));
  return step;
}

KeyAttemptStep Refuse(KeyAttempt attempt, Verdict verdict, Reason reason) {
  reason.facts["attempt"] = std::to_string(attempt.start.attempt);
  return End(std::move(attempt), RefuseAttempt{verdict, std::move(reason)});
}

// Returns the verdict of an attempt that is not dispatched.
Verdict RefusalVerdict(const KeyAttempt& attempt) {
  return IsEarlierResolved(attempt.start, attempt.cancelled)
             ? Verdict::kNotRun
             : Verdict::kMayHaveRun;
}

KeyAttemptStep SendQuery(KeyAttempt attempt, const AgentBoot& agent,
                         TimePoint now) {
  attempt.stage = KeyAttemptStage::kQuerying;
  attempt.queried = agent;
  attempt.next_send_at = now + kResendInterval;
  attempt.stage_deadline = now + kReplyTimeout;
  KeyAttemptStep step{std::move(attempt), {}};
  step.actions.emplace_back(SendKeyQuery{agent});
  return step;
}

// Sends a reservation to every home that has not granted the key.
void SendReservations(KeyAttemptStep& step, TimePoint now) {
  step.attempt.next_send_at = now + kResendInterval;
  for (const Endpoint& home : step.attempt.start.homes) {
    if (step.attempt.granted.contains(home)) continue;
    const auto superseded = step.attempt.superseded.find(home);
    step.actions.emplace_back(SendKeyReservation{
        home, superseded == step.attempt.superseded.end()
                  ? std::nullopt
                  : std::optional<KeyHolder>(superseded->second)});
  }
}

KeyAttemptStep Reserve(KeyAttempt attempt, const DocumentContext& context,
                       TimePoint now) {
  if (attempt.aborted) {
    return Refuse(std::move(attempt), Verdict::kMayHaveRun,
                  MakeReason(context, "cancelled_by_later_attempt", ""));
  }
  if (attempt.start.refusal.has_value()) {
    const Verdict verdict = RefusalVerdict(attempt);
    Reason reason = *attempt.start.refusal;
    return Refuse(std::move(attempt), verdict, std::move(reason));
  }
  if (attempt.start.homes.empty()) {
    const Verdict verdict = RefusalVerdict(attempt);
    return Refuse(std::move(attempt), verdict,
                  MakeReason(context, "no_key_home", ""));
  }
  attempt.stage = KeyAttemptStage::kReserving;
  attempt.stage_deadline = now + kReplyTimeout;
  KeyAttemptStep step{std::move(attempt), {}};
  SendReservations(step, now);
  return step;
}

KeyAttemptStep FailStage(KeyAttempt attempt, const DocumentContext& context,
                         const char* rule, const char* path) {
  const Verdict verdict = attempt.stage == KeyAttemptStage::kReserving
                              ? RefusalVerdict(attempt)
                              : Verdict::kMayHaveRun;
  return Refuse(std::move(attempt), verdict, MakeReason(context, rule, path));
}

KeyAttemptStep OnHeldElsewhere(KeyAttempt attempt, const Endpoint& home,
                               const KeyHolder& holder,
                               uint16_t holder_boot_tag,
                               const DocumentContext& context, TimePoint now) {
  const AgentBoot boot{holder.agent, holder_boot_tag};
  if (holder.agent == attempt.start.self.agent) {
    // An earlier boot of this agent held the key; it is unknown whether the
    // request ran.
    return Refuse(std::move(attempt), Verdict::kMayHaveRun,
                  MakeReason(context, "key_held_by_earlier_boot", ""));
  }
  attempt.superseded[home] = holder;
  if (!attempt.cancelled.contains(boot)) {
    return SendQuery(std::move(attempt), boot, now);
  }
  KeyAttemptStep step{std::move(attempt), {}};
  step.actions.emplace_back(SendKeyReservation{home, holder});
  return step;
}

}  // namespace

bool IsEarlierResolved(const KeyAttemptStart& start,
                       const std::set<AgentBoot>& cancelled) {
  const uint32_t known = std::min(start.resolved, start.attempt - 1);
  const uint32_t unresolved = start.attempt - 1 - known;
  if (unresolved == 0) return true;
  return unresolved == 1 && start.earlier.has_value() &&
         cancelled.contains(*start.earlier);
}

KeyAttemptStep StartKeyAttempt(KeyAttemptStart start,
                               const DocumentContext& context, TimePoint now) {
  KeyAttempt attempt;
  attempt.start = std::move(start);
  const std::optional<AgentBoot> earlier = attempt.start.earlier;
  if (!earlier.has_value()) return Reserve(std::move(attempt), context, now);
  if (*earlier == attempt.start.self) {
    // The ledger of this agent did not know the key, so the request did not run
    // here.
    attempt.cancelled.insert(*earlier);
    return Reserve(std::move(attempt), context, now);
  }
  if (earlier->agent == attempt.start.self.agent) {
    return Refuse(std::move(attempt), Verdict::kMayHaveRun,
                  MakeReason(context, "earlier_attempt_at_other_boot", ""));
  }
  return SendQuery(std::move(attempt), *earlier, now);
}

KeyAttemptStep HandleKeyQueryReply(KeyAttempt attempt, const AgentBoot& from,
                                   KeyState state, bool has_response,
                                   const DocumentContext& context,
                                   TimePoint now) {
  if (attempt.stage != KeyAttemptStage::kQuerying || attempt.queried != from) {
    return KeyAttemptStep{std::move(attempt), {}};
  }
  switch (state) {
    case KeyState::kCancelled:
      attempt.cancelled.insert(from);
      return Reserve(std::move(attempt), context, now);
    case KeyState::kRunning:
      attempt.next_send_at = now + kRunningPollInterval;
      attempt.stage_deadline = now + kRunningPollInterval + kReplyTimeout;
      return KeyAttemptStep{std::move(attempt), {}};
    case KeyState::kRan:
      if (has_response) return End(std::move(attempt), RelayStoredResponse{});
      return Refuse(std::move(attempt), Verdict::kMayHaveRun,
                    MakeReason(context, "answer_not_stored", ""));
    case KeyState::kMayHaveRun:
      return Refuse(std::move(attempt), Verdict::kMayHaveRun,
                    MakeReason(context, "earlier_attempt_may_have_run", ""));
    case KeyState::kOtherBoot:
      return Refuse(std::move(attempt), Verdict::kMayHaveRun,
                    MakeReason(context, "earlier_attempt_at_other_boot", ""));
  }
  return KeyAttemptStep{std::move(attempt), {}};
}

KeyAttemptStep HandleKeyReservationReply(
    KeyAttempt attempt, const Endpoint& home, ReserveState state,
    const KeyHolder& holder, uint16_t holder_boot_tag,
    const DocumentContext& context, TimePoint now) {
  const std::vector<Endpoint>& homes = attempt.start.homes;
  if (attempt.stage != KeyAttemptStage::kReserving ||
      std::find(homes.begin(), homes.end(), home) == homes.end() ||
      attempt.granted.contains(home)) {
    return KeyAttemptStep{std::move(attempt), {}};
  }
  switch (state) {
    case ReserveState::kGranted:
      attempt.granted.insert(home);
      if (attempt.granted.size() < homes.size()) {
        return KeyAttemptStep{std::move(attempt), {}};
      }
      return End(std::move(attempt), DispatchRequest{});
    case ReserveState::kHeldElsewhere:
      return OnHeldElsewhere(std::move(attempt), home, holder, holder_boot_tag,
                             context, now);
    case ReserveState::kFull:
      return FailStage(std::move(attempt), context, "key_home_full",
                       "idempotency.max_keys");
  }
  return KeyAttemptStep{std::move(attempt), {}};
}

KeyAttemptStep HandleKeyAttemptTick(KeyAttempt attempt,
                                    const DocumentContext& context,
                                    TimePoint now) {
  if (attempt.stage == KeyAttemptStage::kEnded) {
    return KeyAttemptStep{std::move(attempt), {}};
  }
  if (now >= attempt.start.deadline) {
    return FailStage(std::move(attempt), context, "deadline_passed",
                     "requests.timeout_ms");
  }
  if (now >= attempt.stage_deadline) {
    const bool is_querying = attempt.stage == KeyAttemptStage::kQuerying;
    return FailStage(
        std::move(attempt), context,
        is_querying ? "earlier_agent_unanswered" : "key_home_unanswered", "");
  }
  KeyAttemptStep step{std::move(attempt), {}};
  if (now < step.attempt.next_send_at) return step;
  if (step.attempt.stage == KeyAttemptStage::kReserving) {
    SendReservations(step, now);
    return step;
  }
  step.attempt.next_send_at = now + kResendInterval;
  step.actions.emplace_back(SendKeyQuery{*step.attempt.queried});
  return step;
}

bool WinsReservation(const KeyAttempt& attempt, const AgentBoot& contender) {
  return attempt.stage != KeyAttemptStage::kEnded && !attempt.aborted &&
         attempt.start.self.agent < contender.agent;
}

KeyAttemptStep AbortKeyAttempt(KeyAttempt attempt, const AgentBoot& contender,
                               TimePoint now) {
  attempt.aborted = true;
  return SendQuery(std::move(attempt), contender, now);
}

}  // namespace medlarwinch
