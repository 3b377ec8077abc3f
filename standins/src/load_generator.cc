#include "medlarwinch/standins/load_generator.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using std::chrono::milliseconds;

// Delay between the agent's go-away and the cancellation of the feed, which is
// then reopened on another agent.
constexpr milliseconds kFeedMigrationDelay{500};

const char* FlowEventName(FlowEvent event) {
  switch (event) {
    case FlowEvent::kOpened:
      return "flow_opened";
    case FlowEvent::kGoAway:
      return "flow_go_away";
    case FlowEvent::kBroken:
      return "flow_broken";
    case FlowEvent::kShed:
      return "flow_shed";
    case FlowEvent::kOpenTimedOut:
      return "flow_open_timeout";
  }
  return "flow_unknown";
}

}  // namespace

Result<std::unique_ptr<LoadGenerator>> LoadGenerator::Start(
    const LoadGeneratorSettings& settings) {
  std::unique_ptr<LoadGenerator> generator(new LoadGenerator(settings));
  Result<std::unique_ptr<EventLog>> log = EventLog::Open(settings.event_log);
  if (!IsOk(log)) return ErrorOf(log);
  generator->log_ = TakeValue(std::move(log));
  FlowClientOptions options;
  options.targets = settings.targets;
  options.local = Endpoint{settings.local.ip, 0};
  options.socket_count = settings.sockets;
  options.first_caller_ip = settings.first_caller.ip;
  options.seed = settings.seed;
  Result<std::unique_ptr<FlowClient>> client = FlowClient::Start(options);
  if (!IsOk(client)) return ErrorOf(client);
  generator->client_ = TakeValue(std::move(client));
  generator->AddFlows(FlowClass::kFeed, settings.feeds);
  generator->AddFlows(FlowClass::kUpload, settings.uploaders);
  generator->AddFlows(FlowClass::kDownload, settings.downloaders);
  generator->AddFlows(FlowClass::kEcho, settings.echoers);
  generator->AddFlows(FlowClass::kDuplicateUpload,
                      settings.duplicate_uploaders);
  return generator;
}

LoadGenerator::LoadGenerator(const LoadGeneratorSettings& settings)
    : settings_(settings), random_(settings.seed) {}

LoadGenerator::~LoadGenerator() {
  stopping_ = true;
  timer_.Stop();
  client_.reset();
}

void LoadGenerator::AddFlows(FlowClass flow_class, int64_t count) {
  const char* const names[] = {"feed", "upload", "download", "echo",
                               "stubborn"};
  for (int64_t index = 0; index < count; ++index) {
    const std::shared_ptr<LoadFlow> flow = std::make_shared<LoadFlow>();
    flow->flow_class = flow_class;
    flow->name = settings_.service + "/" +
                 names[static_cast<size_t>(flow_class)] + "-" +
                 std::to_string(index);
    flows_.push_back(flow);
    timer_.RunAfter(milliseconds(index * settings_.ramp_ms / count),
                    [this, flow] { OpenFlow(flow); });
  }
}

void LoadGenerator::OpenFlow(const std::shared_ptr<LoadFlow>& flow) {
  if (stopping_) return;
  ++flow->generation;
  const std::string name = flow->name + "." + std::to_string(flow->generation);
  flow->handle = OpenHandle(flow, name);
  if (flow->flow_class == FlowClass::kDuplicateUpload) {
    flow->duplicate = OpenHandle(flow, name + "t");
  }
  SendNextRequest(flow);
}

FlowHandle LoadGenerator::OpenHandle(const std::shared_ptr<LoadFlow>& flow,
                                     const std::string& name) {
  FlowOptions options;
  options.service_address = settings_.service_address;
  options.on_event = [this, flow, name](FlowHandle handle, FlowEvent event) {
    OnFlowEvent(flow, name, handle, event);
  };
  return client_->OpenFlow(std::move(options));
}

void LoadGenerator::OnFlowEvent(const std::shared_ptr<LoadFlow>& flow,
                                const std::string& name, FlowHandle handle,
                                FlowEvent event) {
  log_->Write(FlowEventName(event), {{"service", settings_.service},
                                     {"flow", name},
                                     {"agent", AgentAddress(handle)}});
  if (event != FlowEvent::kGoAway) return;
  if (flow->flow_class != FlowClass::kFeed) return;
  timer_.RunAfter(kFeedMigrationDelay, [this, flow] { CancelFeed(flow); });
}

void LoadGenerator::SendNextRequest(const std::shared_ptr<LoadFlow>& flow) {
  if (stopping_) return;
  const bool has_reached_request_limit =
      settings_.requests_per_flow > 0 && flow->flow_class != FlowClass::kFeed &&
      flow->requests >= static_cast<uint64_t>(settings_.requests_per_flow);
  if (has_reached_request_limit) {
    flow->requests = 0;
    log_->Write(
        "flow_closed",
        {{"service", settings_.service},
         {"flow", flow->name + "." + std::to_string(flow->generation)}});
    client_->CloseFlow(flow->handle);
    if (flow->duplicate != 0) client_->CloseFlow(flow->duplicate);
    OpenFlow(flow);
    return;
  }
  ++flow->requests;
  switch (flow->flow_class) {
    case FlowClass::kFeed:
      SendFeed(flow);
      return;
    case FlowClass::kUpload:
    case FlowClass::kDuplicateUpload:
      SendUpload(flow);
      return;
    case FlowClass::kDownload:
      SendDownload(flow);
      return;
    case FlowClass::kEcho:
      SendEcho(flow);
      return;
  }
}

void LoadGenerator::LogVerdict(const LoadRequest& request,
                               const FlowRequestOutcome& outcome) {
  const ResponseChecker& checker = *request.checker;
  const char* ended_by = "answer";
  if (outcome.client_aborted) {
    ended_by = request.is_cancelled || stopping_ ? "caller" : "deadline";
  }
  const char* const class_names[] = {"feed", "upload", "download", "echo",
                                     "stubborn"};
  log_->Write(
      "verdict",
      {{"service", settings_.service},
       {"flow", request.flow_name},
       {"class", class_names[static_cast<size_t>(request.flow->flow_class)]},
       {"token", request.token},
       {"key", request.key},
       {"copy", std::to_string(request.copy)},
       {"verdict", VerdictName(outcome.verdict)},
       {"status", std::to_string(outcome.status)},
       {"complete", outcome.complete ? "1" : "0"},
       {"whole", checker.IsComplete() ? "1" : "0"},
       {"fault", checker.fault()},
       {"ended_by", ended_by},
       {"flow_broken", outcome.flow_broken ? "1" : "0"},
       {"attempts", std::to_string(outcome.attempts)},
       {"bytes", std::to_string(outcome.body_bytes)},
       {"first_byte_ms", std::to_string(outcome.time_to_first_byte.value)},
       {"ms", std::to_string(outcome.total_time.value)}});
}

void LoadGenerator::ScheduleNextRequest(const std::shared_ptr<LoadFlow>& flow) {
  int64_t interval = settings_.echo_interval_ms;
  if (flow->flow_class == FlowClass::kDownload) {
    interval = settings_.download_interval_ms;
  }
  if (flow->flow_class == FlowClass::kUpload ||
      flow->flow_class == FlowClass::kDuplicateUpload) {
    interval = settings_.upload_interval_ms;
  }
  // Half of the interval is random, so that flows do not synchronize.
  const int64_t delay = interval / 2 + RandomBelow(interval);
  timer_.RunAfter(milliseconds(delay), [this, flow] { SendNextRequest(flow); });
}

void LoadGenerator::CancelFeed(const std::shared_ptr<LoadFlow>& flow) {
  FlowRequestHandle feed = 0;
  {
    const std::lock_guard<std::mutex> lock(flows_mutex_);
    feed = flow->feed;
    const auto found = feeds_.find(feed);
    if (found == feeds_.end()) return;
    found->second->is_cancelled = true;
  }
  client_->Cancel(feed);
}

void LoadGenerator::LogStalledFeeds() {
  const TimePoint now = MonotonicNow();
  const std::lock_guard<std::mutex> lock(flows_mutex_);
  for (const auto& [handle, request] : feeds_) {
    const Millis gap = now - TimePoint{request->last_received_ms};
    if (gap.value <= settings_.feed_interval_ms + kFeedGapToleranceMs) continue;
    log_->Write("feed_stalled", {{"service", settings_.service},
                                 {"flow", request->flow_name},
                                 {"token", request->token},
                                 {"ms", std::to_string(gap.value)}});
  }
}

void LoadGenerator::Stop(milliseconds wait) {
  log_->Write("stopping", {{"service", settings_.service}});
  LogStalledFeeds();
  stopping_ = true;
  std::vector<FlowRequestHandle> feeds;
  {
    const std::lock_guard<std::mutex> lock(flows_mutex_);
    for (const auto& [handle, request] : feeds_) {
      request->is_cancelled = true;
      feeds.push_back(handle);
    }
  }
  for (const FlowRequestHandle feed : feeds) client_->Cancel(feed);
  const auto end = std::chrono::steady_clock::now() + wait;
  while (in_progress_ > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  LogCounters();
}

void LoadGenerator::LogCounters() {
  const FlowClientCounters counters = client_->counters();
  log_->Write(
      "counters",
      {{"service", settings_.service},
       {"flows_opened", std::to_string(counters.flows_opened)},
       {"flows_moved", std::to_string(counters.flows_reopened_after_go_away)},
       {"flows_broken", std::to_string(counters.flows_broken)},
       {"flows_shed", std::to_string(counters.flows_shed)},
       {"open_timeouts", std::to_string(counters.open_timeouts)},
       {"requests_sent", std::to_string(counters.requests_sent)},
       {"requests_resent", std::to_string(counters.requests_resent)},
       {"retries", std::to_string(counters.retries)},
       {"parts_received", std::to_string(counters.parts_received)},
       {"duplicate_parts", std::to_string(counters.duplicate_parts)},
       {"malformed", std::to_string(counters.datagrams_malformed)},
       {"unknown", std::to_string(counters.datagrams_unknown)},
       {"unfinished", std::to_string(in_progress_.load())}});
}

std::string LoadGenerator::AgentAddress(FlowHandle handle) const {
  constexpr size_t kAgentBytes = 7;
  const Bytes identifier = client_->CurrentIdentifier(handle);
  if (identifier.size() < kAgentBytes) return "";
  Endpoint agent;
  for (size_t index = 1; index <= 4; ++index) {
    agent.ip = (agent.ip << 8) | identifier[index];
  }
  agent.port = static_cast<uint16_t>(identifier[5] << 8 | identifier[6]);
  return ToString(agent);
}

int64_t LoadGenerator::RandomBelow(int64_t bound) {
  const std::lock_guard<std::mutex> lock(random_mutex_);
  return std::uniform_int_distribution<int64_t>(0, bound - 1)(random_);
}

}  // namespace medlarwinch
