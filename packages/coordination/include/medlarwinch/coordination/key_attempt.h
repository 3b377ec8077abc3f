#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/coordination/document_context.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/key_state.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// One boot of an agent as a flow identifier names it.
struct AgentBoot {
  Endpoint agent;
  /// 16-bit hash of the boot time; see FlowIdentifier::boot_tag.
  uint16_t boot_tag = 0;

  friend auto operator<=>(const AgentBoot&, const AgentBoot&) = default;
};

/// What an attempt to run a request that may not be repeated starts with. The
/// ledger has begun the key.
struct KeyAttemptStart {
  KeyHash key;
  AgentBoot self;
  /// 1 for the first attempt.
  uint32_t attempt = 1;
  /// Highest attempt that the caller knows as "not run"; 0 when there is none.
  uint32_t resolved = 0;
  /// Agent of the earlier attempt, when the request names one and its
  /// identifier could be verified.
  std::optional<AgentBoot> earlier;
  /// Home agents by the roster of this agent.
  std::vector<Endpoint> homes;
  /// Set when admission refuses the request: the earlier attempt is resolved
  /// nevertheless, since only that tells "not run" from "may have run".
  std::optional<Reason> refusal;
  /// Time by which the request must be handed over.
  TimePoint deadline;
};

enum class KeyAttemptStage : uint8_t {
  /// Asking the agent of an earlier attempt, or a holder that a home named.
  kAsking,
  kReserving,
  kEnded,
};

/// The progress of one attempt at one agent.
struct KeyAttempt {
  KeyAttemptStart start;
  KeyAttemptStage stage = KeyAttemptStage::kEnded;
  std::optional<AgentBoot> asked;
  std::set<Endpoint> granted;
  /// Holders that said that they never run the key, by the home that named
  /// them.
  std::map<Endpoint, KeyHolder> superseded;
  std::set<AgentBoot> cancelled;
  /// True once another agent was told that the key never runs here.
  bool aborted = false;
  TimePoint next_send;
  TimePoint stage_ends;
};

/// True when no attempt before this one ran or ever will: the caller knows all
/// of them as "not run", or all but the last one, whose agent has said that it
/// never runs the key.
bool IsEarlierResolved(const KeyAttemptStart& start,
                       const std::set<AgentBoot>& cancelled);

/// Sends KeyQuery to `to`.
struct SendKeyQuery {
  AgentBoot to;
};

/// Sends KeyReservationRequest to `home`.
struct SendKeyReserve {
  Endpoint home;
  std::optional<KeyHolder> superseded;
};

/// Hands the request to the upstream: all homes have granted the key.
struct HandOverKey {};

/// Relays the answer that the agent which ran the request has stored.
struct RelayStoredAnswer {};

/// Ends the attempt without handing it over.
struct RefuseKey {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason;
};

using KeyAttemptAction = std::variant<SendKeyQuery, SendKeyReserve, HandOverKey,
                                      RelayStoredAnswer, RefuseKey>;

struct KeyAttemptStep {
  KeyAttempt attempt;
  std::vector<KeyAttemptAction> actions;
};

/// Starts the attempt: asks the agent of the earlier one, or reserves.
KeyAttemptStep StartKeyAttempt(KeyAttemptStart start,
                               const DocumentContext& context, TimePoint now);

/// Takes the answer of an agent that was asked. Answers of others are ignored.
KeyAttemptStep OnKeyAnswer(KeyAttempt attempt, const AgentBoot& from,
                           KeyState state, bool has_answer,
                           const DocumentContext& context, TimePoint now);

/// Takes the answer of a home. `holder` and `holder_tag` count only when the
/// state is kHeldElsewhere.
KeyAttemptStep OnReserveAnswer(KeyAttempt attempt, const Endpoint& home,
                               ReserveState state, const KeyHolder& holder,
                               uint16_t holder_tag,
                               const DocumentContext& context, TimePoint now);

/// Sends again what was not answered, and ends an attempt whose time is over.
KeyAttemptStep OnKeyAttemptTick(KeyAttempt attempt,
                                const DocumentContext& context, TimePoint now);

/// True when this agent goes on reserving although `asker` reserves the same
/// key: of two agents that meet, the one with the lower address wins, so that
/// one of them runs the key.
bool WinsReservation(const KeyAttempt& attempt, const AgentBoot& asker);

/// Stops reserving because `asker` was told that the key never runs here, and
/// may run it now; the attempt relays what becomes of it there.
KeyAttemptStep AbortKeyAttempt(KeyAttempt attempt, const AgentBoot& asker,
                               TimePoint now);

}  // namespace medlarwinch
