#include "medlarwinch/transport/flow_client.h"

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

#include "flow_shard.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr std::chrono::milliseconds kTimerTickInterval{10};

}  // namespace

struct FlowClient::State {
  FlowClientOptions options;
  std::atomic<uint64_t> next_caller_index{0};
  std::atomic<uint64_t> next_shard{0};
  std::vector<std::unique_ptr<FlowShard>> shards;
  std::atomic<bool> stopping{false};
  std::thread timer;

  // A handle modulo the number of shards is the index of its shard.
  FlowShard& ShardOf(uint64_t handle) {
    return *shards[handle % shards.size()];
  }
};

Result<std::unique_ptr<FlowClient>> FlowClient::Start(
    const FlowClientOptions& options) {
  if (options.targets.empty()) {
    return Error{ErrorCode::kInvalidInput,
                 "a flow client needs at least one target"};
  }
  if (options.socket_count < 1) {
    return Error{ErrorCode::kInvalidInput,
                 "a flow client needs at least one socket"};
  }
  std::unique_ptr<State> state = std::make_unique<State>();
  state->options = options;
  const size_t count = static_cast<size_t>(options.socket_count);
  for (size_t index = 0; index < count; ++index) {
    Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(options.local);
    if (!IsOk(socket)) return ErrorOf(socket);
    state->shards.push_back(std::make_unique<FlowShard>(
        state->options, index, count, TakeValue(std::move(socket)),
        state->next_caller_index));
  }
  for (const std::unique_ptr<FlowShard>& shard : state->shards) shard->Start();
  State* raw = state.get();
  state->timer = std::thread([raw] {
    while (!raw->stopping) {
      const TimePoint now = MonotonicNow();
      for (const std::unique_ptr<FlowShard>& shard : raw->shards) {
        shard->Tick(now);
      }
      std::this_thread::sleep_for(kTimerTickInterval);
    }
  });
  return std::unique_ptr<FlowClient>(new FlowClient(std::move(state)));
}

FlowClient::FlowClient(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

FlowClient::~FlowClient() {
  state_->stopping = true;
  state_->timer.join();
  for (const std::unique_ptr<FlowShard>& shard : state_->shards) shard->Stop();
}

FlowHandle FlowClient::OpenFlow(FlowOptions options) {
  return state_->ShardOf(state_->next_shard++).OpenFlow(std::move(options));
}

void FlowClient::CloseFlow(FlowHandle flow) {
  state_->ShardOf(flow).CloseFlow(flow);
}

bool FlowClient::IsOpen(FlowHandle flow) const {
  return state_->ShardOf(flow).IsOpen(flow);
}

Bytes FlowClient::CurrentIdentifier(FlowHandle flow) const {
  return state_->ShardOf(flow).CurrentIdentifier(flow);
}

FlowRequestHandle FlowClient::SendRequest(FlowHandle flow, FlowRequest request,
                                          FlowRequestEvents events) {
  const bool is_bounded =
      request.body.size() <= kMaxFrameBodyBytes &&
      request.path.size() <= kMaxPathBytes &&
      request.method.size() <= kMaxMethodBytes &&
      request.tenant.size() <= kMaxNameBytes &&
      request.idempotency_key.size() <= kMaxIdempotencyKeyBytes;
  const bool has_key =
      request.is_idempotent || !request.idempotency_key.empty();
  if (!is_bounded || !has_key) return 0;
  return state_->ShardOf(flow).SendRequest(flow, std::move(request),
                                           std::move(events));
}

void FlowClient::Cancel(FlowRequestHandle request) {
  state_->ShardOf(request).Cancel(request);
}

FlowClientCounters FlowClient::counters() const {
  FlowClientCounters sum;
  for (const std::unique_ptr<FlowShard>& shard : state_->shards) {
    shard->AddCountersTo(sum);
  }
  return sum;
}

}  // namespace medlarwinch
