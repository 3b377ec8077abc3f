#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/request_path/key_attempt.h"
#include "medlarwinch/coordination/request_path/key_homes.h"
#include "medlarwinch/coordination/request_path/request_ledger.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/caller_transport.h"
#include "medlarwinch/protocol/data_messages.h"

namespace medlarwinch {

/// Returns the hash under which all agents of a service know an idempotency
/// key.
KeyHash HashIdempotencyKey(const std::string& service, const std::string& key);

/// Functions that a KeyService calls from within its own functions.
struct KeyServiceCallbacks {
  std::function<void(const Endpoint& to, const DataMessage& message)> send;
  /// All home agents have granted the key and the ledger marks it as running.
  /// `earlier_resolved` is IsEarlierResolved() of the attempt.
  std::function<void(const CallerRequestId& id, bool earlier_resolved)>
      forward_to_upstream;
  /// The request ran at another agent or in an earlier attempt; its response is
  /// known.
  std::function<void(const CallerRequestId& id, uint16_t status,
                     const StoredResponse& response)>
      send_stored_response;
  /// The request is not sent to the upstream.
  std::function<void(const CallerRequestId& id, Verdict verdict,
                     const Reason& reason)>
      refuse;
};

/// The fields of a non-idempotent request that the KeyService needs.
struct KeyedRequest {
  KeyHash key;
  uint32_t attempt = 1;
  /// Highest attempt that the caller knows as "not run"; 0 if there is none.
  uint32_t highest_not_run_attempt = 0;
  Millis age{0};
  /// Flow identifier of the earlier attempt, as carried by the request.
  Bytes earlier_flow;
  /// Set if admission refuses the request.
  std::optional<Reason> refusal;
  TimePoint deadline;
};

/// Ensures that non-idempotent requests run at most once: manages the ledger,
/// the records of key homes and the messages between agents. Not thread-safe.
class KeyService {
 public:
  /// `shared_state` must outlive the service.
  KeyService(AgentIdentity identity, const AgentSharedState& shared_state,
             KeyServiceCallbacks callbacks);

  /// Starts an attempt. Exactly one of the callbacks forward_to_upstream,
  /// send_stored_response and refuse follows, at once or later, unless
  /// AbandonKeyedRequest() is called first.
  void StartKeyedRequest(const CallerRequestId& id, const KeyedRequest& request,
                         TimePoint now);

  /// Drops a request that was not sent to the upstream and whose caller no
  /// longer waits for it.
  void AbandonKeyedRequest(const CallerRequestId& id, TimePoint now);

  /// Finishes a request that was sent to the upstream; `response` may be empty.
  void FinishKeyedRequest(const KeyHash& key, LedgerState state,
                          uint16_t status, StoredResponse response,
                          TimePoint now);

  /// Withdraws a request that was sent to the upstream, on proof that it did
  /// not run. Returns false when the proof does not hold.
  bool Withdraw(const KeyHash& key, uint32_t attempt, TimePoint now);

  /// Handles any data message other than ForwardedPacket.
  void OnMessage(const Endpoint& from, const DataMessage& message,
                 TimePoint now);

  /// Transfers key records to their new homes after the set of ready agents
  /// changed.
  void OnReadyChanged(const std::vector<Endpoint>& before,
                      const std::vector<Endpoint>& after, TimePoint now);

  void Tick(TimePoint now);

  size_t ledger_size() const { return ledger_.entries.size(); }
  size_t home_record_count() const { return home_.records.size(); }
  /// Number of record batches that their new home has not acknowledged.
  size_t pending_transfer_count() const { return transfers_.size(); }

 private:
  struct PendingAttempt {
    KeyAttempt attempt;
    uint64_t query = 0;
  };
  // A request that waits for another request with the same key to finish at
  // this agent.
  struct Waiter {
    KeyHash key;
    TimePoint deadline;
  };
  struct PendingTransfer {
    Endpoint to;
    KeyTransfer message;
    TimePoint next_send;
    int send_count = 0;
  };

  void Handle(const Endpoint& from, const KeyReservationRequest& message,
              TimePoint now);
  void Handle(const Endpoint& from, const KeyReservationReply& message,
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
  void PerformAction(const CallerRequestId& id,
                     const SendKeyReservation& action, TimePoint now);
  void PerformAction(const CallerRequestId& id, const DispatchRequest& action,
                     TimePoint now);
  void PerformAction(const CallerRequestId& id,
                     const RelayStoredResponse& action, TimePoint now);
  void PerformAction(const CallerRequestId& id, const RefuseAttempt& action,
                     TimePoint now);
  void RespondFromLedger(const CallerRequestId& id, const KeyedRequest& request,
                         const LedgerEntry& entry);
  void RespondToWaiters(TimePoint now);
  ReserveStep ReserveLocally(const KeyHash& key, const KeyHolder& holder,
                             const std::optional<KeyHolder>& superseded,
                             TimePoint now);
  void StartTransfers(
      const std::map<Endpoint, std::vector<TransferredKey>>& plan,
      TimePoint now);
  KeyAttempt* FindAttempt(const KeyHash& key);
  LedgerLimits ledger_limits() const;
  KeyHomeLimits home_limits() const;

  AgentIdentity identity_;
  const AgentSharedState& shared_state_;
  KeyServiceCallbacks callbacks_;
  RequestLedger ledger_;
  KeyHome home_;
  std::map<CallerRequestId, PendingAttempt> attempts_;
  std::map<KeyHash, CallerRequestId> attempts_by_key_;
  std::map<uint64_t, CallerRequestId> attempts_by_query_;
  std::map<CallerRequestId, Waiter> waiters_;
  /// Requests postponed until the roster has settled.
  std::map<CallerRequestId, KeyedRequest> postponed_;
  std::map<uint64_t, PendingTransfer> transfers_;
  /// Response that the next RelayStoredResponse action sends.
  uint16_t stored_response_status_ = 0;
  StoredResponse stored_response_;
  uint64_t next_query_id_ = 1;
};

}  // namespace medlarwinch
