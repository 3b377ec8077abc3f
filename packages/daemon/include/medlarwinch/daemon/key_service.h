#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/key_attempt.h"
#include "medlarwinch/coordination/key_homes.h"
#include "medlarwinch/coordination/request_ledger.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/caller_transport.h"
#include "medlarwinch/protocol/data_messages.h"

namespace medlarwinch {

/// Hash under which a service's idempotency key is known to all its agents.
KeyHash HashIdempotencyKey(const std::string& service, const std::string& key);

/// How a KeyService reaches its surroundings; called from within its functions.
struct KeyServiceCallbacks {
  std::function<void(const Endpoint& to, const DataMessage& message)> send;
  /// All homes have granted the key and the ledger says that it runs.
  /// `earlier_resolved` is IsEarlierResolved() of the attempt.
  std::function<void(const CallerRequestId& id, bool earlier_resolved)>
      forward_to_upstream;
  /// The request ran elsewhere or in an earlier attempt; its answer is known.
  std::function<void(const CallerRequestId& id, uint16_t status,
                     const StoredAnswer& answer)>
      send_stored_response;
  /// The request is not handed over.
  std::function<void(const CallerRequestId& id, Verdict verdict,
                     const Reason& reason)>
      refuse;
};

/// A request that may not be repeated, as the KeyService needs it.
struct KeyedRequest {
  KeyHash key;
  uint32_t attempt = 1;
  /// See RequestFrame::resolved.
  uint32_t resolved = 0;
  Millis age{0};
  /// Identifier of the earlier attempt's flow as the request carried it.
  Bytes earlier_flow;
  /// Set when admission refuses the request.
  std::optional<Reason> refusal;
  TimePoint deadline;
};

/// Makes requests that may not be repeated run at most once: drives the ledger,
/// the records of key homes and the messages between agents. Not thread-safe.
class KeyService {
 public:
  /// `situation` outlives the service.
  KeyService(AgentIdentity identity, const AgentSharedState& shared_state,
             KeyServiceCallbacks callbacks);

  /// Starts an attempt; exactly one of the ports forward_to_upstream, relay and
  /// refuse follows, at once or later, unless AbandonKeyedRequest() comes
  /// first.
  void StartKeyedRequest(const CallerRequestId& id, const KeyedRequest& request,
                         TimePoint now);

  /// The caller no longer waits for a request that was not handed over.
  void AbandonKeyedRequest(const CallerRequestId& id, TimePoint now);

  /// Ends a request that was handed over; `answer` may be empty.
  void FinishKeyedRequest(const KeyHash& key, LedgerState state,
                          uint16_t status, StoredAnswer answer, TimePoint now);

  /// Takes back a request that was handed over, with the proof that it did not
  /// run. Returns false when there is no proof after all.
  bool WithdrawKeyedRequest(const KeyHash& key, uint32_t attempt,
                            TimePoint now);

  /// Takes any data message but ForwardedPacket.
  void OnMessage(const Endpoint& from, const DataMessage& message,
                 TimePoint now);

  /// Hands records to new homes after a change of the ready agents.
  void OnReadyChanged(const std::vector<Endpoint>& before,
                      const std::vector<Endpoint>& after, TimePoint now);

  void Tick(TimePoint now);

  size_t ledger_size() const { return ledger_.entries.size(); }
  size_t home_records() const { return home_.records.size(); }
  /// Batches of records that their new home has not acknowledged.
  size_t pending_transfers() const { return transfers_.size(); }

 private:
  struct OpenAttempt {
    KeyAttempt attempt;
    uint64_t query = 0;
  };
  // A request that waits for another one with the same key to end here.
  struct Waiter {
    KeyHash key;
    TimePoint deadline;
  };
  struct Transfer {
    Endpoint to;
    KeyTransfer message;
    TimePoint next_send;
    int send_count = 0;
  };

  void Handle(const Endpoint& from, const KeyReserve& message, TimePoint now);
  void Handle(const Endpoint& from, const KeyReserveReply& message,
              TimePoint now);
  void Handle(const Endpoint& from, const KeyQuery& message, TimePoint now);
  void Handle(const Endpoint& from, const KeyQueryReply& message,
              TimePoint now);
  void Handle(const Endpoint& from, const KeyTransfer& message, TimePoint now);
  void Handle(const Endpoint& from, const KeyTransferReply& message,
              TimePoint now);

  void StartWithSettledRoster(const CallerRequestId& id,
                              const KeyedRequest& request, TimePoint now);
  void StartPostponed(TimePoint now);
  void ApplyAttemptStep(const CallerRequestId& id, KeyAttemptStep step,
                        TimePoint now);
  void PerformAction(const CallerRequestId& id, const SendKeyQuery& action,
                     TimePoint now);
  void PerformAction(const CallerRequestId& id, const SendKeyReserve& action,
                     TimePoint now);
  void PerformAction(const CallerRequestId& id, const HandOverKey& action,
                     TimePoint now);
  void PerformAction(const CallerRequestId& id, const RelayStoredAnswer& action,
                     TimePoint now);
  void PerformAction(const CallerRequestId& id, const RefuseKey& action,
                     TimePoint now);
  void AnswerFromLedger(const CallerRequestId& id, const KeyedRequest& request,
                        const LedgerEntry& entry);
  void AnswerWaiters(TimePoint now);
  ReserveStep ReserveLocally(const KeyHash& key, const KeyHolder& holder,
                             const std::optional<KeyHolder>& superseded,
                             TimePoint now);
  void StartTransfers(const std::map<Endpoint, std::vector<MovedKey>>& plan,
                      TimePoint now);
  KeyAttempt* FindAttempt(const KeyHash& key);
  LedgerLimits ledger_limits() const;
  KeyHomeLimits home_limits() const;

  AgentIdentity identity_;
  const AgentSharedState& shared_state_;
  KeyServiceCallbacks callbacks_;
  RequestLedger ledger_;
  KeyHome home_;
  std::map<CallerRequestId, OpenAttempt> attempts_;
  std::map<KeyHash, CallerRequestId> attempts_by_key_;
  std::map<uint64_t, CallerRequestId> attempts_by_query_;
  std::map<CallerRequestId, Waiter> waiters_;
  /// Requests that wait for the roster to settle.
  std::map<CallerRequestId, KeyedRequest> postponed_;
  std::map<uint64_t, Transfer> transfers_;
  /// Answer that a RelayStoredAnswer action relays.
  uint16_t relayed_status_ = 0;
  StoredAnswer relayed_answer_;
  uint64_t next_query_id_ = 1;
};

}  // namespace medlarwinch
