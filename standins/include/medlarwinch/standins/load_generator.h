#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "medlarwinch/standins/event_log.h"
#include "medlarwinch/standins/load_generator_settings.h"
#include "medlarwinch/standins/response_checker.h"
#include "medlarwinch/standins/task_timer.h"
#include "medlarwinch/transport/flow_client.h"

namespace medlarwinch {

/// Delay of a feed beyond its interval that counts as a gap.
inline constexpr int64_t kFeedGapToleranceMs = 3'000;

/// Opens many flows of several classes, sends requests on them, validates every
/// response and logs one line per event: flow_opened, flow_go_away,
/// flow_broken, flow_shed, flow_open_timeout, request, head (identity line of a
/// response), answer_fault, feed_gap (a feed resumed after a gap),
/// feed_stalled (a feed was in a gap at the end), verdict, flow_closed,
/// stopping, counters.
class LoadGenerator {
 public:
  /// Opens the event log and schedules the flows. Fails with kUnavailable.
  static Result<std::unique_ptr<LoadGenerator>> Start(
      const LoadGeneratorSettings& settings);

  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /// Stops sending requests, cancels the feeds and waits up to `wait` for
  /// requests in progress.
  void Stop(std::chrono::milliseconds wait);

 private:
  enum class FlowClass { kFeed, kUpload, kDownload, kEcho, kDuplicateUpload };

  // One simulated flow.
  struct LoadFlow {
    std::string name;
    FlowClass flow_class = FlowClass::kEcho;
    FlowHandle handle = 0;
    uint64_t requests = 0;
    uint64_t generation = 0;
    // Handle of the current feed request.
    FlowRequestHandle feed = 0;
    // Second flow of a duplicate-upload pair; 0 for other classes.
    FlowHandle duplicate = 0;
  };

  // One request and the state of its response.
  struct LoadRequest {
    std::shared_ptr<LoadFlow> flow;
    std::string flow_name;
    std::string token;
    std::string key;
    // 2 for the second request of a duplicate-upload pair.
    int copy = 1;
    FlowHandle handle = 0;
    std::unique_ptr<ResponseChecker> checker;
    bool is_identity_logged = false;
    bool is_fault_logged = false;
    // Time at which the last part of the response arrived; initially the send
    // time.
    std::atomic<int64_t> last_received_ms{-1};
    // Set when the load generator itself cancels the request.
    std::atomic<bool> is_cancelled{false};
  };

  explicit LoadGenerator(const LoadGeneratorSettings& settings);

  void AddFlows(FlowClass flow_class, int64_t count);
  void OpenFlow(const std::shared_ptr<LoadFlow>& flow);
  FlowHandle OpenHandle(const std::shared_ptr<LoadFlow>& flow,
                        const std::string& name);
  void OnFlowEvent(const std::shared_ptr<LoadFlow>& flow,
                   const std::string& name, FlowHandle handle, FlowEvent event);
  void SendNextRequest(const std::shared_ptr<LoadFlow>& flow);
  void SendFeed(const std::shared_ptr<LoadFlow>& flow);
  void SendUpload(const std::shared_ptr<LoadFlow>& flow);
  void SendDownload(const std::shared_ptr<LoadFlow>& flow);
  void SendEcho(const std::shared_ptr<LoadFlow>& flow);
  FlowRequestHandle Send(const std::shared_ptr<LoadRequest>& request,
                         FlowRequest message);
  std::shared_ptr<LoadRequest> NewRequest(
      const std::shared_ptr<LoadFlow>& flow);
  void OnPart(LoadRequest& request, uint64_t offset, ByteView data);
  void OnEnd(const std::shared_ptr<LoadRequest>& request,
             const FlowRequestOutcome& outcome);
  void LogVerdict(const LoadRequest& request,
                  const FlowRequestOutcome& outcome);
  void ScheduleNextRequest(const std::shared_ptr<LoadFlow>& flow);
  void LogStalledFeeds();
  void CancelFeed(const std::shared_ptr<LoadFlow>& flow);
  void LogCounters();
  std::string AgentAddress(FlowHandle handle) const;
  int64_t RandomBelow(int64_t bound);

  LoadGeneratorSettings settings_;
  std::unique_ptr<EventLog> log_;
  std::mutex random_mutex_;
  std::mt19937_64 random_;
  std::atomic<uint64_t> next_token_number_{0};
  std::atomic<int64_t> in_progress_{0};
  std::atomic<bool> stopping_{false};
  std::mutex flows_mutex_;
  std::vector<std::shared_ptr<LoadFlow>> flows_;
  // Feed requests in progress by handle, so that CancelFeed() can mark them.
  std::map<FlowRequestHandle, std::shared_ptr<LoadRequest>> feeds_;
  std::unique_ptr<FlowClient> client_;
  TaskTimer timer_;
};

}  // namespace medlarwinch
