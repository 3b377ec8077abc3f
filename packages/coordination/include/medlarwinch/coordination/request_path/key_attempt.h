#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/coordination/control_plane/document_context.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/key_state.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// One boot of an agent, as a flow identifier encodes it.
struct AgentBoot {
  Endpoint agent;
  /// 16-bit hash of the boot time; see FlowIdentifier::boot_tag.
  uint16_t boot_tag = 0;

  friend auto operator<=>(const AgentBoot&, const AgentBoot&) = default;
};

/// The input of an attempt to run a non-repeatable request. The ledger must
/// already contain the key as begun.
struct KeyAttemptStart {
  KeyHash key;
  AgentBoot self;
  /// Number of the attempt, starting at 1.
  uint32_t attempt = 1;
  /// Highest attempt that the caller knows to be "not run"; 0 if there is none.
  uint32_t resolved = 0;
  /// Agent of the previous attempt, if the request names one and its identifier
  /// was verified.
  std::optional<AgentBoot> earlier;
  /// Home agents of the key according to this agent's roster.
  std::vector<Endpoint> homes;
  /// Set when admission refused the request. The previous attempt is resolved
  /// nevertheless, because only its outcome distinguishes "not run" from "may
  /// have run".
  std::optional<Reason> refusal;
  /// Time by which the request must be dispatched to the upstream.
  TimePoint deadline;
};

enum class KeyAttemptStage : uint8_t {
  /// Querying the agent of an earlier attempt, or a holder that a home named.
  kQuerying,
  kReserving,
  kEnded,
};

/// The progress of one attempt at one agent.
struct KeyAttempt {
  KeyAttemptStart start;
  KeyAttemptStage stage = KeyAttemptStage::kEnded;
  std::optional<AgentBoot> queried;
  std::set<Endpoint> granted;
  /// Holders that guaranteed never to run the key, by the home that named them.
  std::map<Endpoint, KeyHolder> superseded;
  std::set<AgentBoot> cancelled;
  /// True once a reply to another agent has guaranteed that the key never runs
  /// here.
  bool aborted = false;
  TimePoint next_send_at;
  TimePoint stage_deadline;
};

/// Returns true if no earlier attempt ran or will ever run: the caller knows
/// all of them as "not run", or all but the last one, whose agent has
/// guaranteed that it never runs the key.
bool IsEarlierResolved(const KeyAttemptStart& start,
                       const std::set<AgentBoot>& cancelled);

/// Sends KeyQuery to `to`.
struct SendKeyQuery {
  AgentBoot to;
};

/// Sends KeyReservationRequest to `home`.
struct SendKeyReservation {
  Endpoint home;
  std::optional<KeyHolder> superseded;
};

/// Dispatches the request to the upstream: all homes have granted the key.
struct DispatchRequest {};

/// Relays the response stored by the agent that ran the request.
struct RelayStoredResponse {};

/// Ends the attempt without dispatching the request.
struct RefuseAttempt {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason;
};

using KeyAttemptAction =
    std::variant<SendKeyQuery, SendKeyReservation, DispatchRequest,
                 RelayStoredResponse, RefuseAttempt>;

struct KeyAttemptStep {
  KeyAttempt attempt;
  std::vector<KeyAttemptAction> actions;
};

/// Starts the attempt: queries the agent of the earlier attempt, or reserves
/// the key.
KeyAttemptStep StartKeyAttempt(KeyAttemptStart start,
                               const DocumentContext& context, TimePoint now);

/// Processes the reply to a key query. Replies from agents that were not
/// queried are ignored.
KeyAttemptStep HandleKeyQueryReply(KeyAttempt attempt, const AgentBoot& from,
                                   KeyState state, bool has_response,
                                   const DocumentContext& context,
                                   TimePoint now);

/// Processes a home's reply to a reservation. `holder` and `holder_boot_tag`
/// are used only when the state is kHeldElsewhere.
KeyAttemptStep HandleKeyReservationReply(
    KeyAttempt attempt, const Endpoint& home, ReserveState state,
    const KeyHolder& holder, uint16_t holder_boot_tag,
    const DocumentContext& context, TimePoint now);

/// Resends unanswered messages, and ends the attempt when its time is over.
KeyAttemptStep HandleKeyAttemptTick(KeyAttempt attempt,
                                    const DocumentContext& context,
                                    TimePoint now);

/// Returns true if this agent continues its reservation although `contender`
/// reserves the same key. Of two competing agents the one with the lower
/// address wins, so that one of them runs the key.
bool WinsReservation(const KeyAttempt& attempt, const AgentBoot& contender);

/// Cancels the reservation because a reply to `contender` has guaranteed that
/// the key never runs here; `contender` may run it now. The attempt then relays
/// the outcome at `contender`.
KeyAttemptStep AbortKeyAttempt(KeyAttempt attempt, const AgentBoot& contender,
                               TimePoint now);

}  // namespace medlarwinch
