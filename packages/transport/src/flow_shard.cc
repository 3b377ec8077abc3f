#include "flow_shard.h"

#include <algorithm>
#include <optional>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Bytes 1 to 12 of a flow identifier encode the agent, its boot and the flow.
// The other bytes change with the key epoch.
constexpr size_t kOwnerOffset = 1;
constexpr size_t kOwnerBytes = 12;
constexpr Millis kShedBackoff{200};
constexpr uint32_t kMaxShedDoublings = 4;

ByteView OwnerBytesOf(ByteView identifier) {
  if (identifier.size() != kFlowIdentifierBytes) return {};
  return identifier.subspan(kOwnerOffset, kOwnerBytes);
}

bool BytesEqual(ByteView a, ByteView b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end());
}

}  // namespace

FlowShard::FlowShard(const FlowClientOptions& options, size_t index,
                     size_t shard_count, std::unique_ptr<UdpSocket> socket,
                     std::atomic<uint64_t>& next_caller_index)
    : options_(options),
      shard_count_(shard_count),
      socket_(std::move(socket)),
      next_caller_index_(next_caller_index),
      random_(options.seed * 1'000'003 + index),
      next_handle_(index == 0 ? shard_count : index) {}

void FlowShard::Start() {
  socket_->Start([this](const Endpoint& /*from*/, ByteView datagram) {
    OnDatagram(datagram);
  });
}

void FlowShard::Stop() {
  socket_->Stop();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<FlowRequestHandle> open;
    open.reserve(requests_.size());
    for (const auto& entry : requests_) open.push_back(entry.first);
    const TimePoint now = MonotonicNow();
    for (const FlowRequestHandle handle : open) AbortRequest(handle, now);
  }
  RunCallbacks();
}

FlowHandle FlowShard::OpenFlow(FlowOptions options) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const FlowHandle handle = NextHandle();
  flows_[handle].options = std::move(options);
  StartSession(handle, MonotonicNow());
  return handle;
}

void FlowShard::CloseFlow(FlowHandle handle) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Flow* flow = FindFlow(handle);
    if (flow == nullptr) return;
    std::vector<FlowRequestHandle> open(flow->pending_requests.begin(),
                                        flow->pending_requests.end());
    std::set<SessionKey> sessions = flow->draining_sessions;
    if (flow->current_session != 0) sessions.insert(flow->current_session);
    for (const SessionKey key : sessions) {
      for (const auto& entry : sessions_[key].requests) {
        open.push_back(entry.second);
      }
    }
    const TimePoint now = MonotonicNow();
    for (const FlowRequestHandle request : open) AbortRequest(request, now);
    for (const SessionKey key : sessions) sessions_.erase(key);
    flows_.erase(handle);
  }
  RunCallbacks();
}

bool FlowShard::IsOpen(FlowHandle handle) {
  return !CurrentIdentifier(handle).empty();
}

Bytes FlowShard::CurrentIdentifier(FlowHandle handle) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Flow* flow = FindFlow(handle);
  if (flow == nullptr) return {};
  const Session* session = FindSession(flow->current_session);
  return session == nullptr ? Bytes() : session->identifier;
}

FlowRequestHandle FlowShard::SendRequest(FlowHandle handle, FlowRequest request,
                                         FlowRequestEvents events) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Flow* flow = FindFlow(handle);
  if (flow == nullptr) return 0;
  const TimePoint now = MonotonicNow();
  const FlowRequestHandle request_handle = NextHandle();
  Request& created = requests_[request_handle];
  created.flow = handle;
  created.request = std::move(request);
  created.events = std::move(events);
  created.created = now;
  created.due = now;
  flow->pending_requests.insert(request_handle);
  SendPendingRequests(handle, now);
  ScheduleRequest(request_handle, created);
  return request_handle;
}

void FlowShard::Cancel(FlowRequestHandle handle) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    AbortRequest(handle, MonotonicNow());
  }
  RunCallbacks();
}

void FlowShard::AddCountersTo(FlowClientCounters& sum) {
  const std::lock_guard<std::mutex> lock(mutex_);
  sum.flows_opened += counters_.flows_opened;
  sum.flows_reopened_after_go_away += counters_.flows_reopened_after_go_away;
  sum.flows_broken += counters_.flows_broken;
  sum.flows_shed += counters_.flows_shed;
  sum.open_timeouts += counters_.open_timeouts;
  sum.requests_sent += counters_.requests_sent;
  sum.requests_resent += counters_.requests_resent;
  sum.retries += counters_.retries;
  sum.parts_received += counters_.parts_received;
  sum.duplicate_parts += counters_.duplicate_parts;
  sum.datagrams_malformed += counters_.datagrams_malformed;
  sum.datagrams_unknown += counters_.datagrams_unknown;
}

void FlowShard::OnDatagram(ByteView datagram) {
  const Result<FabricPacket> packet = DecodeFabricPacket(datagram);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!IsOk(packet)) {
      ++counters_.datagrams_malformed;
      return;
    }
    const SessionKey key = SessionKeyOf(ValueOf(packet).caller);
    Session* session = FindSession(key);
    if (session == nullptr) {
      ++counters_.datagrams_unknown;
      return;
    }
    // An agent of another service that receives a stray packet replies from its
    // own service address. Such a reply does not concern this flow.
    const Flow* flow = FindFlow(session->flow);
    if (flow != nullptr &&
        flow->options.service_address != ValueOf(packet).service_address) {
      ++counters_.datagrams_unknown;
      return;
    }
    const Result<PacketHeader> header =
        ParsePacketHeader(ValueOf(packet).payload);
    const bool is_thin_long_header =
        IsOk(header) && ValueOf(header).is_long &&
        ValueOf(header).version == kThinProtocolVersion;
    if (!is_thin_long_header) {
      ++counters_.datagrams_malformed;
      return;
    }
    const Result<Frame> frame = DecodeFrame(ValueOf(header).payload);
    if (!IsOk(frame)) {
      ++counters_.datagrams_malformed;
      return;
    }
    OnFrame(key, *session, ValueOf(header), ValueOf(frame), MonotonicNow());
  }
  RunCallbacks();
}

bool FlowShard::IsFromOwner(const Session& session,
                            const PacketHeader& header) const {
  if (session.identifier.empty()) return false;
  // Without connection identifiers, packets are matched only by the addresses
  // of the caller and the service.
  if (session.caller_identifier.empty()) return true;
  return BytesEqual(OwnerBytesOf(session.identifier),
                    OwnerBytesOf(header.source));
}

void FlowShard::OnFrame(SessionKey key, Session& session,
                        const PacketHeader& header, const Frame& frame,
                        TimePoint now) {
  if (const auto* reset = std::get_if<ResetFrame>(&frame)) {
    OnReset(key, session, header, *reset, now);
    return;
  }
  if (!BytesEqual(header.destination, session.caller_identifier)) {
    ++counters_.datagrams_unknown;
    return;
  }
  if (std::holds_alternative<OpenAckFrame>(frame)) {
    OnOpenAck(key, session, header, now);
    return;
  }
  // More than one agent may have replied to the Open. Only the first reply
  // counts.
  if (!IsFromOwner(session, header)) {
    ++counters_.datagrams_unknown;
    return;
  }
  session.last_received = now;
  session.pings_unanswered = 0;
  if (header.source.size() == kFlowIdentifierBytes) {
    session.identifier.assign(header.source.begin(), header.source.end());
  }
  if (const auto* part = std::get_if<ResponsePartFrame>(&frame)) {
    OnPart(key, session, *part, now);
  } else if (std::holds_alternative<GoAwayFrame>(frame)) {
    OnGoAway(key, session, now);
  } else if (std::holds_alternative<PingFrame>(frame)) {
    SendFrame(session, PongFrame{});
  }
}

void FlowShard::OnOpenAck(SessionKey key, Session& session,
                          const PacketHeader& header, TimePoint now) {
  if (!session.identifier.empty() ||
      header.source.size() != kFlowIdentifierBytes) {
    return;
  }
  session.identifier.assign(header.source.begin(), header.source.end());
  session.last_received = now;
  ++counters_.flows_opened;
  const FlowHandle handle = session.flow;
  Flow* flow = FindFlow(handle);
  if (flow == nullptr || flow->current_session != key) return;
  flow->consecutive_sheds = 0;
  session.due = now + Millis{0};
  Schedule(TimerKind::kSession, key, session.due);
  Notify(handle, FlowEvent::kOpened);
  SendPendingRequests(handle, now);
}

void FlowShard::OnGoAway(SessionKey key, Session& session, TimePoint now) {
  // The reply allows the agent to remove the flow.
  SendFrame(session, PongFrame{});
  if (session.received_go_away) return;
  session.received_go_away = true;
  const FlowHandle handle = session.flow;
  Flow* flow = FindFlow(handle);
  if (flow == nullptr || flow->current_session != key) return;
  flow->draining_sessions.insert(key);
  ++counters_.flows_reopened_after_go_away;
  Notify(handle, FlowEvent::kGoAway);
  StartSession(handle, now);
  RemoveSessionIfDone(key);
}

void FlowShard::OnReset(SessionKey key, Session& session,
                        const PacketHeader& header, const ResetFrame& reset,
                        TimePoint now) {
  if (session.identifier.empty()) {
    if (!BytesEqual(header.destination, session.caller_identifier)) return;
    const FlowHandle handle = session.flow;
    Flow* flow = FindFlow(handle);
    if (flow == nullptr || flow->current_session != key) return;
    if (reset.reason == ResetReason::kShed) {
      ++counters_.flows_shed;
      Notify(handle, FlowEvent::kShed);
    }
    const uint32_t doublings =
        std::min(flow->consecutive_sheds++, kMaxShedDoublings);
    RemoveSession(key);
    flow->current_session = 0;
    flow->reopen_at = now + kShedBackoff * (int64_t{1} << doublings);
    Schedule(TimerKind::kFlow, handle, flow->reopen_at);
    return;
  }
  // A Reset carries the identifier that it rejects. It is compared in full,
  // because a Reset for a corrupted identifier matches that of the flow only in
  // part.
  const bool is_current = session.caller_identifier.empty()
                              ? header.source.empty()
                              : BytesEqual(session.identifier, header.source);
  if (is_current) FailSession(key, now);
}

void FlowShard::Notify(FlowHandle handle, FlowEvent event) {
  const Flow* flow = FindFlow(handle);
  if (flow == nullptr || !flow->options.on_event) return;
  callbacks_.emplace_back([on_event = flow->options.on_event, handle, event] {
    on_event(handle, event);
  });
}

void FlowShard::RunCallbacks() {
  std::unique_lock<std::mutex> lock(mutex_);
  if (is_running_callbacks_) return;
  is_running_callbacks_ = true;
  while (!callbacks_.empty()) {
    std::deque<std::function<void()>> batch;
    batch.swap(callbacks_);
    lock.unlock();
    for (const std::function<void()>& callback : batch) callback();
    lock.lock();
  }
  is_running_callbacks_ = false;
}

uint64_t FlowShard::NextHandle() {
  const uint64_t handle = next_handle_;
  next_handle_ += shard_count_;
  return handle;
}

Bytes FlowShard::RandomBytes(size_t size) {
  Bytes bytes(size);
  for (uint8_t& byte : bytes) byte = static_cast<uint8_t>(random_());
  return bytes;
}

FlowShard::Flow* FlowShard::FindFlow(FlowHandle handle) {
  const auto found = flows_.find(handle);
  return found == flows_.end() ? nullptr : &found->second;
}

FlowShard::Session* FlowShard::FindSession(SessionKey key) {
  const auto found = sessions_.find(key);
  return found == sessions_.end() ? nullptr : &found->second;
}

}  // namespace medlarwinch
