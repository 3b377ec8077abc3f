// Requests of the LoadGenerator and validation of their responses.
#include <algorithm>
#include <utility>

#include "medlarwinch/standins/load_generator.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFeedReopenDelay{200};
// The duplicate upload follows the first one within this time.
constexpr int64_t kMaxDuplicateDelayMs = 120;
constexpr uint32_t kMaxAttempts = 3;

Bytes ToBytes(const std::string& text) {
  return Bytes(text.begin(), text.end());
}

}  // namespace

void LoadGenerator::SendFeed(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  request->checker = std::make_unique<ResponseChecker>(
      ResponseKind::kFeed, settings_.service, request->token);
  FlowRequest message;
  message.path =
      "/feed?interval_ms=" + std::to_string(settings_.feed_interval_ms) +
      "&token=" + request->token;
  // The load generator reopens a feed itself, so that each break is logged.
  message.max_attempts = 1;
  const FlowRequestHandle handle = Send(request, std::move(message));
  const std::lock_guard<std::mutex> lock(flows_mutex_);
  flow->feed = handle;
  feeds_[handle] = request;
}

void LoadGenerator::SendUpload(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  request->key = "k-" + request->token;
  request->checker = std::make_unique<ResponseChecker>(
      ResponseKind::kReceipt, settings_.service, request->token);
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
  FlowRequest duplicate_message = message;
  // Distinguishes the two requests of a key in the upstream's log.
  duplicate_message.path += "&copy=2";
  Send(request, std::move(message));
  if (flow->flow_class != FlowClass::kDuplicateUpload) return;
  const std::shared_ptr<LoadRequest> duplicate = NewRequest(flow);
  duplicate->handle = flow->duplicate;
  duplicate->flow_name += "t";
  duplicate->key = request->key;
  duplicate->copy = 2;
  // The response to a repeated key may be the stored one of the first request,
  // so the token of the first request is expected.
  duplicate->token = request->token;
  duplicate->checker = std::make_unique<ResponseChecker>(
      ResponseKind::kReceipt, settings_.service, duplicate->token);
  timer_.RunAfter(milliseconds(RandomBelow(kMaxDuplicateDelayMs)),
                  [this, duplicate, duplicate_message] {
                    Send(duplicate, duplicate_message);
                  });
}

void LoadGenerator::SendDownload(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  request->checker = std::make_unique<ResponseChecker>(
      ResponseKind::kPattern, settings_.service, request->token, "",
      static_cast<uint64_t>(settings_.download_bytes));
  FlowRequest message;
  message.path = settings_.download_path +
                 "?bytes=" + std::to_string(settings_.download_bytes) +
                 "&token=" + request->token;
  message.max_attempts = kMaxAttempts;
  message.deadline = Millis{settings_.request_deadline_ms};
  Send(request, std::move(message));
}

void LoadGenerator::SendEcho(const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = NewRequest(flow);
  const std::string text = "echo " + request->token;
  request->checker = std::make_unique<ResponseChecker>(
      ResponseKind::kEcho, settings_.service, request->token, text);
  FlowRequest message;
  message.method = "POST";
  message.path = "/echo?token=" + request->token;
  message.body = ToBytes(text);
  message.max_attempts = kMaxAttempts;
  message.deadline = Millis{settings_.request_deadline_ms};
  Send(request, std::move(message));
}

std::shared_ptr<LoadGenerator::LoadRequest> LoadGenerator::NewRequest(
    const std::shared_ptr<LoadFlow>& flow) {
  const std::shared_ptr<LoadRequest> request = std::make_shared<LoadRequest>();
  request->flow = flow;
  request->flow_name = flow->name + "." + std::to_string(flow->generation);
  request->handle = flow->handle;
  request->token = settings_.service + "-" + std::to_string(settings_.seed) +
                   "-" + std::to_string(next_token_number_++);
  return request;
}

FlowRequestHandle LoadGenerator::Send(
    const std::shared_ptr<LoadRequest>& request, FlowRequest message) {
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
  request->last_received_ms = MonotonicNow().value;
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

void LoadGenerator::OnPart(LoadRequest& request, uint64_t offset,
                           ByteView data) {
  const TimePoint now = MonotonicNow();
  const bool is_feed = request.flow->flow_class == FlowClass::kFeed;
  if (is_feed) {
    const Millis gap = now - TimePoint{request.last_received_ms};
    if (gap.value > settings_.feed_interval_ms + kFeedGapToleranceMs) {
      log_->Write("feed_gap", {{"service", settings_.service},
                               {"flow", request.flow_name},
                               {"token", request.token},
                               {"ms", std::to_string(gap.value)}});
    }
  }
  request.last_received_ms = now.value;
  ResponseChecker& checker = *request.checker;
  checker.OnPart(offset, data);
  if (checker.identity().has_value() && !request.is_identity_logged) {
    request.is_identity_logged = true;
    log_->Write("head", {{"service", settings_.service},
                         {"flow", request.flow_name},
                         {"token", request.token},
                         {"answered_by", checker.identity()->service},
                         {"upstream", checker.identity()->upstream},
                         {"agent", AgentAddress(request.handle)}});
  }
  const bool is_new_fault =
      !checker.fault().empty() && !request.is_fault_logged;
  if (!is_new_fault) return;
  request.is_fault_logged = true;
  // Errors generated by the agent have a body of their own; the status in the
  // verdict line shows whether this fault counts.
  log_->Write("answer_fault", {{"service", settings_.service},
                               {"flow", request.flow_name},
                               {"token", request.token},
                               {"fault", checker.fault()}});
}

void LoadGenerator::OnEnd(const std::shared_ptr<LoadRequest>& request,
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
    timer_.RunAfter(kFeedReopenDelay, [this, flow] { SendNextRequest(flow); });
    return;
  }
  const bool is_duplicate = request->handle == flow->duplicate;
  if (!is_duplicate) ScheduleNextRequest(flow);
}

}  // namespace medlarwinch
