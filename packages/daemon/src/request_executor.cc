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
// The upstream client enforces the deadline; this is the backstop for a
// response that is paused because its caller does not acknowledge.
constexpr Millis kDeadlineSlack{200};

// A token of RFC 9110, so that no method can end the request line.
bool IsToken(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return (character >= 'A' && character <= 'Z') ||
                  (character >= 'a' && character <= 'z') || character == '-';
         });
}

// Visible characters only: a space or a line end would change the request that
// the upstream reads.
bool IsVisible(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char character) {
    return character > 32 && character < 127;
  });
}

bool IsWellFormed(const RequestFrame& request) {
  const bool has_key = request.repeatable || !request.idempotency_key.empty();
  return has_key && IsToken(request.method) && !request.path.empty() &&
         request.path[0] == '/' && IsVisible(request.path) &&
         IsVisible(request.tenant) && IsVisible(request.idempotency_key);
}

std::string SubjectOf(const CallerRequestId& id) {
  return "flow " + std::to_string(id.flow) + " request " +
         std::to_string(id.number);
}

}  // namespace

RequestExecutor::RequestExecutor(AgentIdentity identity,
                                 const AgentSituation& situation,
                                 UpstreamClient& upstream,
                                 RequestExecutorPorts ports, Metrics& metrics)
    : identity_(identity),
      situation_(situation),
      upstream_(upstream),
      ports_(std::move(ports)),
      metrics_(metrics),
      keys_(
          identity, situation,
          KeyServicePorts{
              ports_.send,
              [this](const CallerRequestId& id, bool earlier_resolved) {
                requests_[id].earlier_resolved = earlier_resolved;
                HandOver(id);
              },
              [this](const CallerRequestId& id, uint16_t status,
                     const StoredAnswer& answer) { Relay(id, status, answer); },
              [this](const CallerRequestId& id, Verdict verdict,
                     const Reason& reason) {
                RefuseKeyed(id, verdict, reason);
              }}) {}

void RequestExecutor::OnRequest(const CallerRequestId& id,
                                RequestFrame request) {
  const TimePoint now = ports_.now();
  ActiveRequest& active = requests_[id];
  active.frame = std::move(request);
  active.frame.attempt = std::max<uint32_t>(1, active.frame.attempt);
  active.started = now;
  const Millis timeout = situation_.context.document.requests.timeout;
  active.deadline =
      now + (active.frame.deadline_ms > 0 ? Millis{active.frame.deadline_ms}
                                          : timeout);
  AdmissionStep admission = Admit(active, now);
  if (active.frame.repeatable) {
    if (!admission.refusal.has_value()) {
      HandOver(id);
      return;
    }
    ports_.decide("shed_request", SubjectOf(id), *admission.refusal);
    Finish(id, admission.status, Verdict::kNotRun);
    return;
  }
  if (admission.refusal.has_value()) active.status = admission.status;
  // Without a key there is nothing to look up, and what an attempt before this
  // one did is unknown.
  const bool has_key = !active.frame.idempotency_key.empty();
  const bool is_resolved = active.frame.resolved + 1 >= active.frame.attempt;
  if (admission.refusal.has_value() && (is_resolved || !has_key)) {
    ports_.decide("shed_request", SubjectOf(id), *admission.refusal);
    Finish(id, admission.status,
           is_resolved ? Verdict::kNotRun : Verdict::kMayHaveRun);
    return;
  }
  active.key =
      HashIdempotencyKey(identity_.service, active.frame.idempotency_key);
  KeyedRequest keyed;
  keyed.key = active.key;
  keyed.attempt = active.frame.attempt;
  keyed.resolved = active.frame.resolved;
  keyed.age = Millis{active.frame.age_ms};
  keyed.earlier_flow = active.frame.earlier_flow;
  keyed.refusal = std::move(admission.refusal);
  keyed.deadline = active.deadline;
  keys_.Begin(id, keyed, now);
}

AdmissionStep RequestExecutor::Admit(const ActiveRequest& request,
                                     TimePoint now) {
  AdmissionRequest admission;
  admission.tenant = request.frame.tenant;
  admission.body_bytes = request.frame.body.size();
  admission.well_formed = IsWellFormed(request.frame);
  admission.draining = situation_.draining;
  admission.slots = situation_.slots;
  admission.requests_in_flight = unanswered_;
  admission.deadline = request.deadline;
  AdmissionStep step =
      AdmitRequest(std::move(admission_), admission, situation_.context, now);
  admission_ = std::move(step.state);
  if (step.refusal.has_value() || request.frame.attempt <= 1) return step;
  const RetryStep retry = TakeRetry(retries_, situation_.context, now);
  retries_ = retry.budget;
  if (retry.refusal.has_value()) {
    step.refusal = retry.refusal;
    step.status = kServiceUnavailable;
  }
  return step;
}

void RequestExecutor::HandOver(const CallerRequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ActiveRequest& active = found->second;
  UpstreamRequest request;
  request.method = active.frame.method;
  request.target = active.frame.path;
  request.body = std::move(active.frame.body);
  request.fresh_connection = !active.frame.repeatable;
  request.head_deadline = active.deadline;
  request.deadline_covers_body = active.frame.deadline_ms > 0;
  if (!active.frame.tenant.empty()) {
    request.headers.emplace_back("x-tenant", active.frame.tenant);
  }
  if (!active.frame.idempotency_key.empty()) {
    request.headers.emplace_back("x-idempotency-key",
                                 active.frame.idempotency_key);
  }
  // The events name the exchange by a shared number, since Start() returns it
  // after they are made.
  const std::shared_ptr<uint64_t> number = std::make_shared<uint64_t>(0);
  UpstreamEvents events;
  events.on_head = [this, id, number](int status, bool not_run) {
    ports_.locked([&] { OnHead(id, *number, status, not_run); });
  };
  events.on_data = [this, id, number](ByteView data) {
    bool go_on = true;
    ports_.locked([&] { go_on = OnData(id, *number, data); });
    return go_on;
  };
  events.on_end = [this, id, number](UpstreamEnd end) {
    ports_.locked([&] { OnEnd(id, *number, end); });
  };
  *number = upstream_.Start(std::move(request), std::move(events));
  active.exchange = *number;
  ++unanswered_;
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
  --unanswered_;
  // A request that the upstream refused is answered with its verdict alone.
  if (!not_run) transport_->Begin(id, active->status, ports_.now());
}

bool RequestExecutor::OnData(const CallerRequestId& id, uint64_t exchange,
                             ByteView data) {
  ActiveRequest* active = FindExchange(id, exchange);
  if (active == nullptr) return true;
  if (active->frame.repeatable ||
      active->answer.size() + data.size() > kMaxStoredAnswerBytes) {
    active->is_storable = false;
    active->answer.clear();
  }
  if (active->is_storable) {
    active->answer.insert(active->answer.end(), data.begin(), data.end());
  }
  return transport_->Write(id, data, ports_.now());
}

void RequestExecutor::OnEnd(const CallerRequestId& id, uint64_t exchange,
                            UpstreamEnd end) {
  ActiveRequest* active = FindExchange(id, exchange);
  if (active == nullptr) return;
  CountOutcomeOf(*active, end);
  Verdict verdict = Verdict::kMayHaveRun;
  uint16_t status = active->status;
  switch (end) {
    case UpstreamEnd::kComplete:
      verdict = active->not_run ? Verdict::kNotRun : Verdict::kRan;
      break;
    case UpstreamEnd::kNotHandedOver:
      verdict = Verdict::kNotRun;
      status = ports_.now() >= active->deadline ? kGatewayTimeout : kBadGateway;
      break;
    case UpstreamEnd::kBroken:
      status = kBadGateway;
      break;
    case UpstreamEnd::kTimedOut:
      status = kGatewayTimeout;
      break;
  }
  active->status = status;
  Finish(id, status, EndInLedger(*active, verdict));
}

void RequestExecutor::CountOutcomeOf(const ActiveRequest& request,
                                     UpstreamEnd end) {
  // An upstream that sheds load or is handed an outdated request is not at
  // fault.
  const bool is_late =
      end == UpstreamEnd::kNotHandedOver && ports_.now() >= request.deadline;
  if (request.not_run || is_late) return;
  const bool failed =
      end != UpstreamEnd::kComplete || request.status >= kFirstServerError;
  ++finished_;
  if (failed) ++failed_;
  const ServiceDocument& document = situation_.context.document;
  outlier_ = RecordOutcome(std::move(outlier_), failed, document.health.outlier,
                           ports_.now());
  if (!failed) retries_ = OnSuccess(retries_, document.retry);
}

Verdict RequestExecutor::EndInLedger(ActiveRequest& request, Verdict verdict) {
  if (request.frame.repeatable) return verdict;
  const TimePoint now = ports_.now();
  if (verdict == Verdict::kNotRun) {
    const bool is_proof =
        keys_.Withdraw(request.key, request.frame.attempt, now);
    return is_proof && request.earlier_resolved ? verdict
                                                : Verdict::kMayHaveRun;
  }
  const bool ran = verdict == Verdict::kRan;
  StoredAnswer answer;
  if (ran && request.is_storable) {
    answer =
        std::make_shared<const std::vector<uint8_t>>(std::move(request.answer));
  }
  keys_.End(request.key, ran ? LedgerState::kRan : LedgerState::kMayHaveRun,
            request.status, std::move(answer), now);
  return verdict;
}

void RequestExecutor::Relay(const CallerRequestId& id, uint16_t status,
                            const StoredAnswer& answer) {
  transport_->Begin(id, status, ports_.now());
  transport_->Write(id, *answer, ports_.now());
  Finish(id, status, Verdict::kRan);
}

void RequestExecutor::RefuseKeyed(const CallerRequestId& id, Verdict verdict,
                                  const Reason& reason) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ports_.decide("refuse_request", SubjectOf(id), reason);
  const uint16_t status =
      found->second.status != 0 ? found->second.status : kServiceUnavailable;
  Finish(id, status, verdict);
}

void RequestExecutor::Finish(const CallerRequestId& id, uint16_t status,
                             Verdict verdict) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const ActiveRequest& active = found->second;
  const TimePoint now = ports_.now();
  if (active.exchange != 0 && !active.head_arrived) --unanswered_;
  metrics_.Add(
      "medlarwinch_requests_total",
      {{"tenant", active.frame.tenant}, {"verdict", VerdictName(verdict)}});
  metrics_.Observe("medlarwinch_request_latency_ms",
                   {{"tenant", active.frame.tenant}},
                   static_cast<double>((now - active.started).value));
  requests_.erase(found);
  transport_->Finish(id, status, verdict, now);
}

void RequestExecutor::OnCancelled(const CallerRequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ActiveRequest& active = found->second;
  if (active.exchange != 0) {
    upstream_.Cancel(active.exchange);
    EndInLedger(active, Verdict::kMayHaveRun);
    if (!active.head_arrived) --unanswered_;
  } else {
    keys_.Abandon(id, ports_.now());
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

void RequestExecutor::CutAll(const Reason& reason) {
  std::vector<CallerRequestId> open;
  open.reserve(requests_.size());
  for (const auto& entry : requests_) open.push_back(entry.first);
  for (const CallerRequestId& id : open) {
    ActiveRequest& active = requests_[id];
    Verdict verdict = Verdict::kMayHaveRun;
    if (active.exchange != 0) {
      upstream_.Cancel(active.exchange);
      verdict = EndInLedger(active, verdict);
    } else {
      keys_.Abandon(id, ports_.now());
    }
    Finish(id, kServiceUnavailable, verdict);
  }
  ports_.decide("cut_requests", std::to_string(open.size()) + " requests",
                reason);
}

void RequestExecutor::Tick(TimePoint now) {
  keys_.Tick(now);
  std::vector<CallerRequestId> late;
  for (const auto& [id, active] : requests_) {
    const bool is_bounded =
        active.frame.deadline_ms > 0 && active.exchange != 0;
    if (is_bounded && now > active.deadline + kDeadlineSlack)
      late.push_back(id);
  }
  for (const CallerRequestId& id : late) {
    ActiveRequest& active = requests_[id];
    upstream_.Cancel(active.exchange);
    CountOutcomeOf(active, UpstreamEnd::kTimedOut);
    const Verdict verdict = EndInLedger(active, Verdict::kMayHaveRun);
    Finish(id, kGatewayTimeout, verdict);
  }
}

UpstreamLoad RequestExecutor::TakeLoad() {
  UpstreamLoad load;
  load.requests_in_flight = static_cast<uint32_t>(requests_.size());
  load.finished = std::exchange(finished_, 0);
  load.failed = std::exchange(failed_, 0);
  return load;
}

}  // namespace medlarwinch
