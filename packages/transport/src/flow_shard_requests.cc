// Requests and timers of FlowShard. See flow_shard.cc for its flows.
#include <algorithm>

#include "flow_shard.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Ping interval while a request is in progress and the agent sends nothing, so
// that a failed agent is detected within seconds.
constexpr Millis kBusyPingInterval{2'000};
constexpr Millis kPingRetryInterval{1'000};
constexpr Millis kRetryBackoff{50};
constexpr int64_t kMaxBackoffFactor = 8;
// Maximum number of out-of-order parts that are buffered. Covers the agent's
// send window.
constexpr size_t kMaxOutOfOrderParts = 256;

}  // namespace

void FlowShard::SendPendingRequests(FlowHandle handle, TimePoint now) {
  Flow* flow = FindFlow(handle);
  if (flow == nullptr) return;
  const Session* session = FindSession(flow->current_session);
  if (session == nullptr || session->identifier.empty()) return;
  std::vector<FlowRequestHandle> ready;
  for (const FlowRequestHandle pending : flow->pending_requests) {
    if (requests_[pending].due <= now) ready.push_back(pending);
  }
  for (const FlowRequestHandle request : ready) {
    flow->pending_requests.erase(request);
    SendAttempt(request, requests_[request], flow->current_session, now);
  }
}

void FlowShard::SendAttempt(FlowRequestHandle handle, Request& request,
                            SessionKey key, TimePoint now) {
  Session& session = *FindSession(key);
  request.session = key;
  request.number = session.next_number++;
  request.response_started = false;
  request.next_offset = 0;
  request.out_of_order_parts.clear();
  request.fin_received = false;
  request.backoff = options_.initial_resend_delay;
  if (request.first_sent.value < 0) request.first_sent = now;
  ++request.outcome.attempts;
  session.requests[request.number] = handle;
  ++counters_.requests_sent;
  SendRequestFrame(request, session, now);
  // A session with a request in progress uses the shorter Ping interval.
  Schedule(TimerKind::kSession, key, now + kBusyPingInterval);
  ScheduleRequest(handle, request);
}

void FlowShard::SendRequestFrame(Request& request, const Session& session,
                                 TimePoint now) {
  RequestFrame frame;
  frame.number = request.number;
  frame.method = request.request.method;
  frame.path = request.request.path;
  frame.tenant = request.request.tenant;
  frame.is_idempotent = request.request.is_idempotent;
  frame.idempotency_key = request.request.idempotency_key;
  frame.attempt = request.outcome.attempts;
  frame.age_ms = static_cast<uint32_t>((now - request.first_sent).value);
  frame.earlier_flow = request.earlier_flow;
  frame.highest_not_run_attempt = request.highest_not_run_attempt;
  if (request.request.deadline.value > 0) {
    const Millis remaining = request.request.deadline - (now - request.created);
    frame.deadline_ms =
        static_cast<uint32_t>(std::max<int64_t>(1, remaining.value));
  }
  frame.body = request.request.body;
  SendFrame(session, frame);
  request.due = now + request.backoff;
  request.backoff = std::min(request.backoff * 2,
                             options_.initial_resend_delay * kMaxBackoffFactor);
}

void FlowShard::OnPart(SessionKey key, Session& session,
                       const ResponsePartFrame& part, TimePoint now) {
  ++counters_.parts_received;
  const auto found = session.requests.find(part.number);
  if (found == session.requests.end()) {
    // The request has already ended, so the agent can stop sending its
    // response.
    SendFrame(session, CancelFrame{part.number});
    return;
  }
  const FlowRequestHandle handle = found->second;
  Request& request = requests_[handle];
  request.response_started = true;
  const bool is_request_ack = part.data.empty() && !part.fin;
  if (is_request_ack) return;
  DeliverInOrder(handle, request, part, now);
  const bool is_complete =
      request.fin_received && request.next_offset == request.fin_offset;
  SendFrame(session,
            ResponseAckFrame{part.number, request.next_offset, is_complete});
  if (!is_complete) return;
  session.requests.erase(part.number);
  OnVerdict(handle, now);
  RemoveSessionIfDone(key);
}

void FlowShard::DeliverInOrder(FlowRequestHandle /*handle*/, Request& request,
                               const ResponsePartFrame& part, TimePoint now) {
  if (part.fin) {
    request.fin_received = true;
    request.fin_offset = part.offset + part.data.size();
    request.status = part.status;
    request.verdict = part.verdict;
  }
  const uint64_t end = part.offset + part.data.size();
  if (end <= request.next_offset) {
    if (!part.data.empty()) ++counters_.duplicate_parts;
    return;
  }
  if (request.out_of_order_parts.size() < kMaxOutOfOrderParts) {
    Bytes& buffered = request.out_of_order_parts[part.offset];
    if (part.data.size() > buffered.size()) buffered = part.data;
  }
  while (!request.out_of_order_parts.empty()) {
    const auto first = request.out_of_order_parts.begin();
    if (first->first > request.next_offset) break;
    const uint64_t skip = request.next_offset - first->first;
    if (skip < first->second.size()) {
      Bytes data(first->second.begin() + static_cast<ptrdiff_t>(skip),
                 first->second.end());
      if (request.outcome.time_to_first_byte.value < 0) {
        request.outcome.time_to_first_byte = now - request.created;
      }
      const uint64_t offset = request.next_offset;
      request.next_offset += data.size();
      if (request.events.on_part) {
        callbacks_.emplace_back(
            [on_part = request.events.on_part, offset,
             bytes = std::move(data)] { on_part(offset, bytes); });
      }
    }
    request.out_of_order_parts.erase(first);
  }
}

void FlowShard::OnVerdict(FlowRequestHandle handle, TimePoint now) {
  Request& request = requests_[handle];
  request.outcome.status = request.status;
  request.is_verdict_unknown = false;
  const Verdict verdict = request.verdict;
  if (verdict == Verdict::kRan) {
    EndRequest(handle, verdict, true, false, now);
    return;
  }
  if (verdict == Verdict::kMayHaveRun) request.may_have_run = true;
  // For an idempotent request, "not run" covers only this attempt. It proves
  // nothing if an earlier attempt may have run.
  const bool is_proof = verdict == Verdict::kNotRun && !request.may_have_run;
  if (is_proof) request.highest_not_run_attempt = request.outcome.attempts;
  const bool may_retry =
      verdict == Verdict::kNotRun || request.request.is_idempotent;
  if (!may_retry || request.outcome.attempts >= request.request.max_attempts) {
    EndRequest(handle, verdict, true, false, now);
    return;
  }
  ScheduleRetry(handle, request, now);
}

void FlowShard::RetryLostAttempt(FlowRequestHandle handle, TimePoint now) {
  Request& request = requests_[handle];
  request.outcome.flow_broken = true;
  request.is_verdict_unknown = true;
  // An idempotent request is executed again. For any other one, the agents
  // determine the outcome of this attempt from the flow identifier in the
  // retry.
  if (request.request.is_idempotent) request.may_have_run = true;
  if (request.outcome.attempts >= request.request.max_attempts) {
    EndRequest(handle, Verdict::kMayHaveRun, false, false, now);
    return;
  }
  ScheduleRetry(handle, request, now);
}

void FlowShard::ScheduleRetry(FlowRequestHandle handle, Request& request,
                              TimePoint now) {
  const Session* session = FindSession(request.session);
  if (session != nullptr) request.earlier_flow = session->identifier;
  request.session = 0;
  ++counters_.retries;
  const int64_t factor = int64_t{1} << std::min(request.outcome.attempts, 6U);
  const int64_t jitter = static_cast<int64_t>(random_() % 50);
  request.due = now + kRetryBackoff * factor + Millis{jitter};
  Flow* flow = FindFlow(request.flow);
  if (flow != nullptr) flow->pending_requests.insert(handle);
  ScheduleRequest(handle, request);
}

void FlowShard::EndRequest(FlowRequestHandle handle, Verdict verdict,
                           bool complete, bool client_aborted, TimePoint now) {
  const auto found = requests_.find(handle);
  Request& request = found->second;
  FlowRequestOutcome outcome = request.outcome;
  // The verdict "not run" applies only to the last attempt. An earlier one may
  // have run.
  outcome.verdict = verdict == Verdict::kNotRun && request.may_have_run
                        ? Verdict::kMayHaveRun
                        : verdict;
  outcome.complete = complete;
  outcome.client_aborted = client_aborted;
  outcome.body_bytes = request.next_offset;
  outcome.total_time = now - request.created;
  if (request.events.on_end) {
    callbacks_.emplace_back([on_end = std::move(request.events.on_end),
                             outcome] { on_end(outcome); });
  }
  Flow* flow = FindFlow(request.flow);
  if (flow != nullptr) flow->pending_requests.erase(handle);
  requests_.erase(found);
}

void FlowShard::AbortRequest(FlowRequestHandle handle, TimePoint now) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  const SessionKey key = found->second.session;
  Session* session = FindSession(key);
  if (session != nullptr) {
    SendFrame(*session, CancelFrame{found->second.number});
    session->requests.erase(found->second.number);
  }
  // A request that is pending for the first time, or for a retry after "not
  // run", has not been executed.
  const Request& request = found->second;
  const bool is_not_run = request.session == 0 && !request.is_verdict_unknown;
  EndRequest(handle, is_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
             false, true, now);
  RemoveSessionIfDone(key);
}

void FlowShard::OnRequestTimer(FlowRequestHandle handle, TimePoint now) {
  const auto found = requests_.find(handle);
  if (found == requests_.end()) return;
  Request& request = found->second;
  const Millis deadline = request.request.deadline;
  if (deadline.value > 0 &&
      now >= request.created + deadline + options_.deadline_grace) {
    AbortRequest(handle, now);
    return;
  }
  const Session* session = FindSession(request.session);
  if (now >= request.due && request.session == 0) {
    SendPendingRequests(request.flow, now);
  } else if (now >= request.due && !request.response_started &&
             session != nullptr) {
    ++counters_.requests_resent;
    SendRequestFrame(request, *session, now);
  }
  ScheduleRequest(handle, request);
}

void FlowShard::ScheduleRequest(FlowRequestHandle handle,
                                const Request& request) {
  const Millis deadline = request.request.deadline;
  if (deadline.value > 0) {
    Schedule(TimerKind::kRequest, handle,
             request.created + deadline + options_.deadline_grace);
  }
  // A request that waits for its flow needs no timer: it is sent when the flow
  // opens.
  const bool is_timed = request.session == 0 ? request.due > MonotonicNow()
                                             : !request.response_started;
  if (is_timed) Schedule(TimerKind::kRequest, handle, request.due);
}

void FlowShard::OnSessionTimer(SessionKey key, TimePoint now) {
  Session* session = FindSession(key);
  if (session == nullptr) return;
  if (session->identifier.empty()) {
    if (now < session->due) {
      Schedule(TimerKind::kSession, key, session->due);
      return;
    }
    if (now - session->opened < options_.open_timeout) {
      SendOpen(*session, now);
      Schedule(TimerKind::kSession, key, session->due);
      return;
    }
    const FlowHandle handle = session->flow;
    ++counters_.open_timeouts;
    Notify(handle, FlowEvent::kOpenTimedOut);
    RemoveSession(key);
    StartSession(handle, now);
    return;
  }
  const bool is_busy = !session->requests.empty();
  const bool has_pings = options_.ping_interval.value > 0;
  if (!is_busy && !has_pings) return;
  Millis interval = options_.ping_interval;
  if (is_busy)
    interval =
        has_pings ? std::min(interval, kBusyPingInterval) : kBusyPingInterval;
  TimePoint next = session->last_received + interval;
  if (session->pings_unanswered > 0) {
    next = std::max(next, session->due);
  }
  if (now < next) {
    Schedule(TimerKind::kSession, key, next);
    return;
  }
  if (session->pings_unanswered >= options_.max_unanswered_pings) {
    FailSession(key, now);
    return;
  }
  ++session->pings_unanswered;
  session->due = now + kPingRetryInterval;
  SendFrame(*session, PingFrame{});
  Schedule(TimerKind::kSession, key, session->due);
}

void FlowShard::OnFlowTimer(FlowHandle handle, TimePoint now) {
  const Flow* flow = FindFlow(handle);
  if (flow == nullptr || flow->current_session != 0) return;
  if (now < flow->reopen_at) {
    Schedule(TimerKind::kFlow, handle, flow->reopen_at);
    return;
  }
  StartSession(handle, now);
}

int64_t* FlowShard::TimerDueOf(TimerKind kind, uint64_t id) {
  if (kind == TimerKind::kFlow) {
    Flow* flow = FindFlow(id);
    return flow == nullptr ? nullptr : &flow->timer_due;
  }
  if (kind == TimerKind::kSession) {
    Session* session = FindSession(id);
    return session == nullptr ? nullptr : &session->timer_due;
  }
  const auto request = requests_.find(id);
  return request == requests_.end() ? nullptr : &request->second.timer_due;
}

void FlowShard::Schedule(TimerKind kind, uint64_t id, TimePoint due) {
  int64_t* timer_due = TimerDueOf(kind, id);
  if (timer_due == nullptr || *timer_due <= due.value) return;
  *timer_due = due.value;
  timers_.push(Timer{due.value, kind, id});
}

void FlowShard::Tick(TimePoint now) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    while (!timers_.empty() && timers_.top().due <= now.value) {
      const Timer timer = timers_.top();
      timers_.pop();
      int64_t* timer_due = TimerDueOf(timer.kind, timer.id);
      if (timer_due == nullptr || *timer_due != timer.due) continue;
      *timer_due = INT64_MAX;
      switch (timer.kind) {
        case TimerKind::kSession:
          OnSessionTimer(timer.id, now);
          break;
        case TimerKind::kFlow:
          OnFlowTimer(timer.id, now);
          break;
        case TimerKind::kRequest:
          OnRequestTimer(timer.id, now);
          break;
      }
    }
  }
  RunCallbacks();
}

}  // namespace medlarwinch
