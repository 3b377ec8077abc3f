#include "medlarwinch/daemon/request_executor.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace medlarwinch {
namespace {

constexpr uint16_t kBadGateway = 502;
constexpr uint16_t kServiceUnavailable = 503;
constexpr uint16_t kGatewayTimeout = 504;
constexpr uint16_t kFirstServerError = 500;
// The upstream client enforces the deadline. This additional limit covers
// responses that are paused because their caller does not acknowledge.
constexpr Millis kDeadlineGrace{200};

// Accepts the letters and '-' of an RFC 9110 token, so that a method can't
// terminate the request line.
bool IsToken(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return (character >= 'A' && character <= 'Z') ||
                  (character >= 'a' && character <= 'z') || character == '-';
         });
}

// Accepts visible ASCII only: a space or a line end would alter the request
// that the upstream reads.
bool IsVisibleAscii(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return character > 32 && character < 127;
  });
}

bool IsWellFormed(const RequestFrame& request) {
  const bool has_key =
      request.is_idempotent || !request.idempotency_key.empty();
  return has_key && IsToken(request.method) && !request.path.empty() &&
         request.path[0] == '/' && IsVisibleAscii(request.path) &&
         IsVisibleAscii(request.tenant) &&
         IsVisibleAscii(request.idempotency_key);
}

std::string RequestSubject(const CallerRequestId& id) {
  return "flow " + std::to_string(id.flow_number) + " request " +
         std::to_string(id.request_number);
}

}  // namespace

RequestExecutor::RequestExecutor(AgentIdentity identity,
                                 const AgentSharedState& shared_state,
                                 UpstreamClient& upstream,
                                 RequestExecutorCallbacks callbacks,
                                 Metrics& metrics)
    : identity_(identity),
      shared_state_(shared_state),
      upstream_(upstream),
      callbacks_(std::move(callbacks)),
      metrics_(metrics),
      key_service_(
          identity, shared_state,
          KeyServiceCallbacks{
              callbacks_.send,
              [this](const CallerRequestId& id, bool earlier_resolved) {
                requests_[id].earlier_resolved = earlier_resolved;
                ForwardToUpstream(id);
              },
              [this](const CallerRequestId& id, uint16_t status,
                     const StoredResponse& response) {
                SendStoredResponse(id, status, response);
              },
              [this](const CallerRequestId& id, Verdict verdict,
                     const Reason& reason) {
                RefuseKeyedRequest(id, verdict, reason);
              }}) {}

void RequestExecutor::OnRequest(const CallerRequestId& id,
                                RequestFrame request) {
  const TimePoint now = callbacks_.now();
  ActiveRequest& active = requests_[id];
  active.frame = std::move(request);
  active.frame.attempt = std::max<uint32_t>(1, active.frame.attempt);
  active.started = now;
  const Millis timeout = shared_state_.context.document.requests.timeout;
  active.deadline =
      now + (active.frame.deadline_ms > 0 ? Millis{active.frame.deadline_ms}
                                          : timeout);
  AdmissionStep admission = Admit(active, now);
  if (active.frame.is_idempotent) {
    if (!admission.refusal.has_value()) {
      ForwardToUpstream(id);
      return;
    }
    callbacks_.report_decision("shed_request", RequestSubject(id),
                               *admission.refusal);
    FinishRequest(id, admission.status, Verdict::kNotRun);
    return;
  }
  if (admission.refusal.has_value()) active.status = admission.status;
  // Without a key there is nothing to look up, so whether an earlier attempt
  // ran is unknown.
  const bool has_key = !active.frame.idempotency_key.empty();
  const bool is_resolved =
      active.frame.highest_not_run_attempt + 1 >= active.frame.attempt;
  if (admission.refusal.has_value() && (is_resolved || !has_key)) {
    callbacks_.report_decision("shed_request", RequestSubject(id),
                               *admission.refusal);
    FinishRequest(id, admission.status,
                  is_resolved ? Verdict::kNotRun : Verdict::kMayHaveRun);
    return;
  }
  active.key =
      HashIdempotencyKey(identity_.service, active.frame.idempotency_key);
  KeyedRequest keyed;
  keyed.key = active.key;
  keyed.attempt = active.frame.attempt;
  keyed.highest_not_run_attempt = active.frame.highest_not_run_attempt;
  keyed.age = Millis{active.frame.age_ms};
  keyed.earlier_flow = active.frame.earlier_flow;
  keyed.refusal = std::move(admission.refusal);
  keyed.deadline = active.deadline;
  key_service_.StartKeyedRequest(id, keyed, now);
}

AdmissionStep RequestExecutor::Admit(const ActiveRequest& request,
                                     TimePoint now) {
  AdmissionRequest admission;
  admission.tenant = request.frame.tenant;
  admission.body_bytes = request.frame.body.size();
  admission.well_formed = IsWellFormed(request.frame);
  admission.draining = shared_state_.draining;
  admission.slots = shared_state_.slots;
  admission.requests_in_flight = awaiting_head_;
  admission.deadline = request.deadline;
  AdmissionStep step = AdmitRequest(std::move(admission_state_), admission,
                                    shared_state_.context, now);
  admission_state_ = std::move(step.state);
  if (step.refusal.has_value() || request.frame.attempt <= 1) return step;
  const RetryStep retry = TakeRetry(retry_budget_, shared_state_.context, now);
  retry_budget_ = retry.budget;
  if (retry.refusal.has_value()) {
    step.refusal = retry.refusal;
    step.status = kServiceUnavailable;
  }
  return step;
}

void RequestExecutor::ForwardToUpstream(const CallerRequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ActiveRequest& active = found->second;
  UpstreamRequest request;
  request.method = active.frame.method;
  request.target = active.frame.path;
  request.body = std::move(active.frame.body);
  request.use_new_connection = !active.frame.is_idempotent;
  request.head_deadline = active.deadline;
  request.deadline_covers_body = active.frame.deadline_ms > 0;
  if (!active.frame.tenant.empty()) {
    request.headers.emplace_back("x-tenant", active.frame.tenant);
  }
  if (!active.frame.idempotency_key.empty()) {
    request.headers.emplace_back("x-idempotency-key",
                                 active.frame.idempotency_key);
  }
  // The handlers get the exchange number through a shared pointer, because
  // Start() returns it after they are created.
  const std::shared_ptr<uint64_t> exchange_number =
      std::make_shared<uint64_t>(0);
  UpstreamEvents events;
  events.on_head = [this, id, exchange_number](int status, bool not_run) {
    callbacks_.run_locked(
        [&] { OnHead(id, *exchange_number, status, not_run); });
  };
  events.on_data = [this, id, exchange_number](ByteView data) {
    bool keep_reading = true;
    callbacks_.run_locked(
        [&] { keep_reading = OnData(id, *exchange_number, data); });
    return keep_reading;
  };
  events.on_end = [this, id, exchange_number](ExchangeResult result) {
    callbacks_.run_locked([&] { OnEnd(id, *exchange_number, result); });
  };
  *exchange_number = upstream_.Start(std::move(request), std::move(events));
  active.exchange = *exchange_number;
  ++awaiting_head_;
}

RequestExecutor::ActiveRequest* RequestExecutor::FindExchange(
    const CallerRequestId& id, uint64_t exchange) {
  const auto found = requests_.find(id);
  const bool is_current =
      found != requests_.end() && found->second.exchange == exchange;
  return is_current ? &found->second : nullptr;
}

void RequestExecutor::OnHead(const CallerRequestId& id, uint64_t exchange,
                             int status, bool not_run) {
  ActiveRequest* active = FindExchange(id, exchange);
  if (active == nullptr) return;
  active->status = static_cast<uint16_t>(status);
  active->not_run = not_run;
  active->head_arrived = true;
  --awaiting_head_;
  // A request that the upstream shed is answered with the verdict only.
  if (!not_run) transport_->BeginResponse(id, active->status, callbacks_.now());
}

bool RequestExecutor::OnData(const CallerRequestId& id, uint64_t exchange,
                             ByteView data) {
  ActiveRequest* active = FindExchange(id, exchange);
  if (active == nullptr) return true;
  if (active->frame.is_idempotent ||
      active->response_body.size() + data.size() > kMaxStoredResponseBytes) {
    active->is_storable = false;
    active->response_body.clear();
  }
  if (active->is_storable) {
    active->response_body.insert(active->response_body.end(), data.begin(),
                                 data.end());
  }
  return transport_->WriteResponse(id, data, callbacks_.now());
}

void RequestExecutor::OnEnd(const CallerRequestId& id, uint64_t exchange,
                            ExchangeResult result) {
  ActiveRequest* active = FindExchange(id, exchange);
  if (active == nullptr) return;
  RecordExchangeOutcome(*active, result);
  Verdict verdict = Verdict::kMayHaveRun;
  uint16_t status = active->status;
  switch (result) {
    case ExchangeResult::kComplete:
      verdict = active->not_run ? Verdict::kNotRun : Verdict::kRan;
      break;
    case ExchangeResult::kNotSent:
      verdict = Verdict::kNotRun;
      status =
          callbacks_.now() >= active->deadline ? kGatewayTimeout : kBadGateway;
      break;
    case ExchangeResult::kConnectionLost:
      status = kBadGateway;
      break;
    case ExchangeResult::kTimedOut:
      status = kGatewayTimeout;
      break;
  }
  active->status = status;
  FinishRequest(id, status, RecordInLedger(*active, verdict));
}

void RequestExecutor::RecordExchangeOutcome(const ActiveRequest& request,
                                            ExchangeResult result) {
  // Shedding, or receiving a request past its deadline, is not a fault of the
  // upstream.
  const bool is_late = result == ExchangeResult::kNotSent &&
                       callbacks_.now() >= request.deadline;
  if (request.not_run || is_late) return;
  const bool failed = result != ExchangeResult::kComplete ||
                      request.status >= kFirstServerError;
  ++finished_count_;
  if (failed) ++failed_count_;
  const ServiceDocument& document = shared_state_.context.document;
  outlier_ = RecordOutcome(std::move(outlier_), failed, document.health.outlier,
                           callbacks_.now());
  if (!failed) retry_budget_ = RecordSuccess(retry_budget_, document.retry);
}

Verdict RequestExecutor::RecordInLedger(ActiveRequest& request,
                                        Verdict verdict) {
  if (request.frame.is_idempotent) return verdict;
  const TimePoint now = callbacks_.now();
  if (verdict == Verdict::kNotRun) {
    const bool is_proof =
        key_service_.Withdraw(request.key, request.frame.attempt, now);
    return is_proof && request.earlier_resolved ? verdict
                                                : Verdict::kMayHaveRun;
  }
  const bool ran = verdict == Verdict::kRan;
  StoredResponse response;
  if (ran && request.is_storable) {
    response = std::make_shared<const std::vector<uint8_t>>(
        std::move(request.response_body));
  }
  key_service_.FinishKeyedRequest(
      request.key, ran ? LedgerState::kRan : LedgerState::kMayHaveRun,
      request.status, std::move(response), now);
  return verdict;
}

void RequestExecutor::SendStoredResponse(const CallerRequestId& id,
                                         uint16_t status,
                                         const StoredResponse& response) {
  transport_->BeginResponse(id, status, callbacks_.now());
  transport_->WriteResponse(id, *response, callbacks_.now());
  FinishRequest(id, status, Verdict::kRan);
}

void RequestExecutor::RefuseKeyedRequest(const CallerRequestId& id,
                                         Verdict verdict,
                                         const Reason& reason) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  callbacks_.report_decision("refuse_request", RequestSubject(id), reason);
  const uint16_t status =
      found->second.status != 0 ? found->second.status : kServiceUnavailable;
  FinishRequest(id, status, verdict);
}

void RequestExecutor::FinishRequest(const CallerRequestId& id, uint16_t status,
                                    Verdict verdict) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const ActiveRequest& active = found->second;
  const TimePoint now = callbacks_.now();
  if (active.exchange != 0 && !active.head_arrived) --awaiting_head_;
  metrics_.Add(
      "medlarwinch_requests_total",
      {{"tenant", active.frame.tenant}, {"verdict", VerdictName(verdict)}});
  metrics_.Observe("medlarwinch_request_latency_ms",
                   {{"tenant", active.frame.tenant}},
                   static_cast<double>((now - active.started).value));
  requests_.erase(found);
  transport_->FinishResponse(id, status, verdict, now);
}

void RequestExecutor::OnCancelled(const CallerRequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ActiveRequest& active = found->second;
  if (active.exchange != 0) {
    upstream_.Cancel(active.exchange);
    RecordInLedger(active, Verdict::kMayHaveRun);
    if (!active.head_arrived) --awaiting_head_;
  } else {
    key_service_.AbandonKeyedRequest(id, callbacks_.now());
  }
  metrics_.Add("medlarwinch_requests_total",
               {{"tenant", active.frame.tenant}, {"verdict", "cancelled"}});
  requests_.erase(found);
}

void RequestExecutor::OnWritable(const CallerRequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.exchange == 0) return;
  upstream_.Resume(found->second.exchange);
}

void RequestExecutor::AbortAll(const Reason& reason) {
  std::vector<CallerRequestId> open;
  open.reserve(requests_.size());
  for (const auto& entry : requests_) open.push_back(entry.first);
  for (const CallerRequestId& id : open) {
    ActiveRequest& active = requests_[id];
    Verdict verdict = Verdict::kMayHaveRun;
    if (active.exchange != 0) {
      upstream_.Cancel(active.exchange);
      verdict = RecordInLedger(active, verdict);
    } else {
      key_service_.AbandonKeyedRequest(id, callbacks_.now());
    }
    FinishRequest(id, kServiceUnavailable, verdict);
  }
  callbacks_.report_decision("cut_requests",
                             std::to_string(open.size()) + " requests", reason);
}

void RequestExecutor::Tick(TimePoint now) {
  key_service_.Tick(now);
  std::vector<CallerRequestId> overdue;
  for (const auto& [id, active] : requests_) {
    const bool is_bounded =
        active.frame.deadline_ms > 0 && active.exchange != 0;
    if (is_bounded && now > active.deadline + kDeadlineGrace)
      overdue.push_back(id);
  }
  for (const CallerRequestId& id : overdue) {
    ActiveRequest& active = requests_[id];
    upstream_.Cancel(active.exchange);
    RecordExchangeOutcome(active, ExchangeResult::kTimedOut);
    const Verdict verdict = RecordInLedger(active, Verdict::kMayHaveRun);
    FinishRequest(id, kGatewayTimeout, verdict);
  }
}

UpstreamLoad RequestExecutor::CollectLoad() {
  UpstreamLoad load;
  load.requests_in_flight = static_cast<uint32_t>(requests_.size());
  load.finished = std::exchange(finished_count_, 0);
  load.failed = std::exchange(failed_count_, 0);
  return load;
}

}  // namespace medlarwinch
