// Sessions of FlowShard: the addresses and identifiers with which a flow is
// open at an agent, and the packets sent on them.
#include <algorithm>

#include "flow_shard.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kPortsPerAddress = 60'000;
constexpr uint16_t kFirstPort = 1'024;
constexpr size_t kOpenDestinationBytes = 8;

}  // namespace

FlowShard::SessionKey FlowShard::SessionKeyOf(const Endpoint& caller) {
  return (static_cast<uint64_t>(caller.ip) << 16) | caller.port;
}

void FlowShard::StartSession(FlowHandle handle, TimePoint now) {
  Flow& flow = flows_[handle];
  const uint64_t caller_index = next_caller_index_++;
  Session session;
  session.flow = handle;
  session.caller = Endpoint{
      options_.first_caller_ip +
          static_cast<uint32_t>(caller_index / kPortsPerAddress),
      static_cast<uint16_t>(kFirstPort + caller_index % kPortsPerAddress)};
  if (!flow.options.address_only) {
    session.caller_identifier = RandomBytes(kCallerIdentifierBytes);
  }
  session.opened = now;
  session.last_received = now;
  session.backoff = options_.initial_resend_delay;
  const SessionKey key = SessionKeyOf(session.caller);
  flow.current_session = key;
  Session& started = sessions_[key] = std::move(session);
  SendOpen(started, now);
  Schedule(TimerKind::kSession, key, started.due);
}

void FlowShard::FailSession(SessionKey key, TimePoint now) {
  const Session* session = FindSession(key);
  const FlowHandle handle = session->flow;
  Flow* flow = FindFlow(handle);
  const bool is_current = flow != nullptr && flow->current_session == key;
  const std::map<uint32_t, FlowRequestHandle> lost = session->requests;
  // Losing a session that received GoAway and has no requests does not break
  // the flow.
  if (is_current || !lost.empty()) {
    ++counters_.flows_broken;
    Notify(handle, FlowEvent::kBroken);
  }
  for (const auto& entry : lost) RetryLostAttempt(entry.second, now);
  RemoveSession(key);
  if (!is_current) return;
  StartSession(handle, now);
}

void FlowShard::RemoveSession(SessionKey key) {
  const Session* session = FindSession(key);
  if (session == nullptr) return;
  Flow* flow = FindFlow(session->flow);
  if (flow != nullptr) flow->draining_sessions.erase(key);
  sessions_.erase(key);
}

void FlowShard::RemoveSessionIfDone(SessionKey key) {
  const Session* session = FindSession(key);
  if (session == nullptr || !session->received_go_away ||
      !session->requests.empty()) {
    return;
  }
  RemoveSession(key);
}

void FlowShard::SendOpen(Session& session, TimePoint now) {
  Bytes packet;
  AppendLongHeader(kThinProtocolVersion, RandomBytes(kOpenDestinationBytes),
                   session.caller_identifier, packet);
  EncodeTo(Frame(OpenFrame{}), packet);
  SendPacket(session, std::move(packet));
  session.due = now + session.backoff;
  session.backoff =
      std::min(session.backoff * 2, options_.initial_resend_delay * 8);
}

void FlowShard::SendFrame(const Session& session, const Frame& frame) {
  Bytes packet;
  if (session.caller_identifier.empty() ||
      session.identifier.size() != kFlowIdentifierBytes) {
    AppendLongHeader(kThinProtocolVersion, {}, session.caller_identifier,
                     packet);
  } else {
    FlowIdentifierBytes identifier{};
    std::copy(session.identifier.begin(), session.identifier.end(),
              identifier.begin());
    AppendShortHeader(identifier, packet);
  }
  EncodeTo(frame, packet);
  SendPacket(session, std::move(packet));
}

void FlowShard::SendPacket(const Session& session, Bytes packet) {
  const Flow* flow = FindFlow(session.flow);
  if (flow == nullptr) return;
  FabricPacket fabric;
  fabric.service_address = flow->options.service_address;
  fabric.caller = session.caller;
  fabric.payload = std::move(packet);
  const Endpoint& target =
      options_.targets[random_() % options_.targets.size()];
  socket_->Send(target, EncodeFabricPacket(fabric));
}

}  // namespace medlarwinch
