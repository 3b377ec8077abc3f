#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "medlarwinch/coordination/request_path/outlier_detection.h"
#include "medlarwinch/coordination/request_path/request_admission.h"
#include "medlarwinch/daemon/agent_shared_state.h"
#include "medlarwinch/daemon/caller_transport.h"
#include "medlarwinch/daemon/key_service.h"
#include "medlarwinch/daemon/upstream_client.h"
#include "medlarwinch/protocol/control_messages.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Functions that a RequestExecutor calls.
struct RequestExecutorCallbacks {
  std::function<void(const Endpoint& to, const DataMessage& message)> send;
  /// Runs a function under the engine's lock; called from other threads.
  std::function<void(const std::function<void()>& function)> run_locked;
  std::function<TimePoint()> now;
  DecisionReporter report_decision;
};

/// Admits or refuses requests, sends admitted ones to the upstream and passes
/// the responses to the transport. Not thread-safe.
class RequestExecutor : public CallerRequestHandler {
 public:
  /// `shared_state`, `upstream` and `metrics` must outlive the executor.
  RequestExecutor(AgentIdentity identity, const AgentSharedState& shared_state,
                  UpstreamClient& upstream, RequestExecutorCallbacks callbacks,
                  Metrics& metrics);

  /// Must be called once before any other function.
  void SetTransport(CallerTransport* transport) { transport_ = transport; }

  void OnRequest(const CallerRequestId& id, RequestFrame request) override;
  void OnCancelled(const CallerRequestId& id) override;
  void OnWritable(const CallerRequestId& id) override;

  /// Aborts every request in progress.
  void AbortAll(const Reason& reason);

  void Tick(TimePoint now);

  KeyService& key_service() { return key_service_; }
  const KeyService& key_service() const { return key_service_; }
  OutlierState& outlier_state() { return outlier_; }
  size_t requests_in_progress() const { return requests_.size(); }

  /// Returns the counts since the previous call.
  UpstreamLoad CollectLoad();

 private:
  struct ActiveRequest {
    RequestFrame frame;
    KeyHash key;
    TimePoint started;
    TimePoint deadline;
    /// 0 until the request is sent to the upstream.
    uint64_t exchange = 0;
    bool head_arrived = false;
    bool not_run = false;
    /// False if an earlier attempt may have run, so that the result of this one
    /// cannot prove "not run".
    bool earlier_resolved = true;
    uint16_t status = 0;
    /// Body received so far, kept while it is small enough for the ledger.
    Bytes response_body;
    bool is_storable = true;
  };

  void ForwardToUpstream(const CallerRequestId& id);
  void SendStoredResponse(const CallerRequestId& id, uint16_t status,
                          const StoredResponse& response_body);
  void RefuseKeyedRequest(const CallerRequestId& id, Verdict verdict,
                          const Reason& reason);
  void OnHead(const CallerRequestId& id, uint64_t exchange, int status,
              bool not_run);
  bool OnData(const CallerRequestId& id, uint64_t exchange, ByteView data);
  void OnEnd(const CallerRequestId& id, uint64_t exchange,
             ExchangeResult result);
  Verdict RecordInLedger(ActiveRequest& request, Verdict verdict);
  void FinishRequest(const CallerRequestId& id, uint16_t status,
                     Verdict verdict);
  void RecordExchangeOutcome(const ActiveRequest& request,
                             ExchangeResult result);
  AdmissionStep Admit(const ActiveRequest& request, TimePoint now);
  ActiveRequest* FindExchange(const CallerRequestId& id, uint64_t exchange);

  AgentIdentity identity_;
  const AgentSharedState& shared_state_;
  UpstreamClient& upstream_;
  RequestExecutorCallbacks callbacks_;
  Metrics& metrics_;
  CallerTransport* transport_ = nullptr;
  KeyService key_service_;
  AdmissionState admission_state_;
  RetryBudget retry_budget_;
  OutlierState outlier_;
  std::map<CallerRequestId, ActiveRequest> requests_;
  /// Number of requests sent to the upstream whose response head has not
  /// arrived.
  uint32_t awaiting_head_ = 0;
  uint32_t finished_count_ = 0;
  uint32_t failed_count_ = 0;
};

}  // namespace medlarwinch
