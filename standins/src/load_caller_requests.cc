// The requests of a LoadCaller, and the checks of their answers.
#include <algorithm>
#include <utility>

#include "medlarwinch/standins/load_caller.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReopenFeedAfter{200};
// The second of two flows with the same key follows within this time.
constexpr int64_t kMaxTwinDelayMs = 120;
constexpr uint32_t kMaxAttempts = 3;

Bytes ToBytes(const std::string& text) {
  return Bytes(text.begin(), text.end());
}

}  // namespace

void LoadCaller::SendFeed(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  request->checker = std::make_unique<AnswerChecker>(
      AnswerKind::kFeed, settings_.service, request->token);
  FlowRequest message;
  message.path =
      "/feed?interval_ms=" + std::to_string(settings_.feed_interval_ms) +
      "&token=" + request->token;
  // The tool reopens a feed itself, so that each break is seen.
  message.max_attempts = 1;
  const FlowRequestHandle handle = Send(request, std::move(message));
  const std::lock_guard<std::mutex> lock(flows_mutex_);
  flow->feed = handle;
  feeds_[handle] = request;
}

void LoadCaller::SendUpload(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  request->key = "k-" + request->token;
  request->checker = std::make_unique<AnswerChecker>(
      AnswerKind::kReceipt, settings_.service, request->token);
  FlowRequest message;
  message.method = "POST";
  message.path = settings_.upload_path + "?token=" + request->token;
  if (settings_.upload_work_ms >= 0) {
    message.path += "&work_ms=" + std::to_string(settings_.upload_work_ms);
  }
  message.is_idempotent = false;
  message.idempotency_key = request->key;
  message.body = ToBytes("moisture=" + std::to_string(RandomBelow(100)) +
                         ";key=" + request->key);
  message.max_attempts = kMaxAttempts;
  message.deadline = Millis{settings_.request_deadline_ms};
  FlowRequest twin_message = message;
  // Tells the two requests of a key apart in the upstream's log.
  twin_message.path += "&copy=2";
  Send(request, std::move(message));
  if (flow->flow_class != FlowClass::kStubborn) return;
  const std::shared_ptr<LoadRequest> twin = NewRequest(flow);
  twin->handle = flow->twin;
  twin->flow_name += "t";
  twin->key = request->key;
  twin->copy = 2;
  // The answer to a repeated key may be the stored one of the first request,
  // so the token of the first one is expected.
  twin->token = request->token;
  twin->checker = std::make_unique<AnswerChecker>(
      AnswerKind::kReceipt, settings_.service, twin->token);
  timer_.RunAfter(milliseconds(RandomBelow(kMaxTwinDelayMs)),
                  [this, twin, twin_message] { Send(twin, twin_message); });
}

void LoadCaller::SendDownload(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  request->checker = std::make_unique<AnswerChecker>(
      AnswerKind::kLarge, settings_.service, request->token, "",
      static_cast<uint64_t>(settings_.download_bytes));
  FlowRequest message;
  message.path = settings_.download_path +
                 "?bytes=" + std::to_string(settings_.download_bytes) +
                 "&token=" + request->token;
  message.max_attempts = kMaxAttempts;
  message.deadline = Millis{settings_.request_deadline_ms};
  Send(request, std::move(message));
}

void LoadCaller::SendEcho(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  const std::string text = "echo " + request->token;
  request->checker = std::make_unique<AnswerChecker>(
      AnswerKind::kEcho, settings_.service, request->token, text);
  FlowRequest message;
  message.method = "POST";
  message.path = "/echo?token=" + request->token;
  message.body = ToBytes(text);
  message.max_attempts = kMaxAttempts;
  message.deadline = Millis{settings_.request_deadline_ms};
  Send(request, std::move(message));
}

std::shared_ptr<LoadCaller::LoadRequest> LoadCaller::NewRequest(
    const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = std::make_shared<LoadRequest>();
  request->flow = flow;
  request->flow_name = flow->name + "." + std::to_string(flow->generation);
  request->handle = flow->handle;
  request->token = settings_.service + "-" + std::to_string(settings_.seed) +
                   "-" + std::to_string(next_number_++);
  return request;
}

FlowRequestHandle LoadCaller::Send(const std::shared_ptr<LoadRequest>& request,
                                   FlowRequest message) {
  if (stopping_) return 0;
  message.tenant = settings_.tenant;
  log_->Write("request", {{"service", settings_.service},
                          {"flow", request->flow_name},
                          {"token", request->token},
                          {"key", request->key},
                          {"repeatable", message.is_idempotent ? "1" : "0"}});
  FlowRequestEvents events;
  events.on_part = [this, request](uint64_t offset, ByteView data) {
    OnPart(*request, offset, data);
  };
  events.on_end = [this, request](const FlowRequestOutcome& outcome) {
    OnEnd(request, outcome);
  };
  ++in_progress_;
  request->last_part_ms = MonotonicNow().value;
  const FlowRequestHandle handle = client_->SendRequest(
      request->handle, std::move(message), std::move(events));
  if (handle == 0) {
    --in_progress_;
    log_->Write("refused_by_client", {{"service", settings_.service},
                                      {"flow", request->flow_name},
                                      {"token", request->token}});
  }
  return handle;
}

void LoadCaller::OnPart(LoadRequest& request, uint64_t offset, ByteView data) {
  const TimePoint now = MonotonicNow();
  const bool is_feed = request.flow->flow_class == FlowClass::kFeed;
  if (is_feed) {
    const Millis silence = now - TimePoint{request.last_part_ms};
    if (silence.value > settings_.feed_interval_ms + kFeedGapMs) {
      log_->Write("feed_gap", {{"service", settings_.service},
                               {"flow", request.flow_name},
                               {"token", request.token},
                               {"ms", std::to_string(silence.value)}});
    }
  }
  request.last_part_ms = now.value;
  AnswerChecker& checker = *request.checker;
  checker.OnPart(offset, data);
  if (checker.head().has_value() && !request.is_head_logged) {
    request.is_head_logged = true;
    log_->Write("head", {{"service", settings_.service},
                         {"flow", request.flow_name},
                         {"token", request.token},
                         {"answered_by", checker.head()->service},
                         {"upstream", checker.head()->upstream},
                         {"agent", AgentOf(request.handle)}});
  }
  const bool is_new_fault =
      !checker.fault().empty() && !request.is_fault_logged;
  if (!is_new_fault) return;
  request.is_fault_logged = true;
  // Errors that the agent itself answers have a body of its own; the verdict
  // line tells by the status whether this fault counts.
  log_->Write("answer_fault", {{"service", settings_.service},
                               {"flow", request.flow_name},
                               {"token", request.token},
                               {"fault", checker.fault()}});
}

void LoadCaller::OnEnd(const std::shared_ptr<LoadRequest>& request,
                       const FlowRequestOutcome& outcome) {
  LogVerdict(*request, outcome);
  --in_progress_;
  if (stopping_) return;
  const std::shared_ptr<LoadFlow>& flow = request->flow;
  if (flow->flow_class == FlowClass::kFeed) {
    {
      const std::lock_guard<std::mutex> lock(flows_mutex_);
      std::erase_if(feeds_,
                    [&](const auto& entry) { return entry.second == request; });
    }
    timer_.RunAfter(kReopenFeedAfter, [this, flow] { SendNext(flow); });
    return;
  }
  const bool is_twin = request->handle == flow->twin;
  if (!is_twin) ScheduleNext(flow);
}

}  // namespace medlarwinch
