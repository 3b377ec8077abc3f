// Handlers of the messages that a KeyService receives from other agents.
#include <algorithm>
#include <utility>
#include <variant>

#include "medlarwinch/daemon/key_service.h"

namespace medlarwinch {
namespace {

std::optional<KeyHolder> Superseded(const KeyReservationRequest& message) {
  if (message.superseded_holder.port == 0) return std::nullopt;
  return KeyHolder{message.superseded_holder, message.superseded_holder_boot};
}

}  // namespace

void KeyService::OnMessage(const Endpoint& from, const DataMessage& message,
                           TimePoint now) {
  std::visit(
      [&](const auto& content) {
        using Content = std::decay_t<decltype(content)>;
        if constexpr (!std::is_same_v<Content, ForwardedPacket>) {
          Handle(from, content, now);
        }
      },
      message);
}

void KeyService::Handle(const Endpoint& from,
                        const KeyReservationRequest& message, TimePoint now) {
  if (message.service != identity_.service) return;
  const KeyHolder holder{message.holder, message.holder_boot};
  const ReserveStep step =
      ReserveLocally(message.key, holder, Superseded(message), now);
  KeyReservationReply reply;
  reply.query_id = message.query_id;
  reply.key = message.key;
  reply.state = step.state;
  reply.holder = step.holder.agent;
  reply.holder_boot = step.holder.boot;
  callbacks_.send(from, reply);
}

ReserveStep KeyService::ReserveLocally(
    const KeyHash& key, const KeyHolder& holder,
    const std::optional<KeyHolder>& superseded, TimePoint now) {
  ReserveStep step =
      ReserveKey(std::move(home_), key, holder, superseded, home_limits(), now);
  home_ = std::move(step.home);
  step.home = KeyHome{};
  if (shared_state_.draining && step.state == ReserveState::kGranted) {
    // The holder's roster still contains this draining agent; the home that
    // replaces it needs the record as well.
    KeyHome granted;
    granted.records[key] = home_.records[key];
    std::vector<Endpoint> before = shared_state_.ready_agents;
    before.push_back(identity_.data);
    StartTransfers(
        PlanKeyTransfers(granted, before, shared_state_.ready_agents, now),
        now);
  }
  return step;
}

void KeyService::Handle(const Endpoint& from,
                        const KeyReservationReply& message, TimePoint now) {
  const auto query = attempts_by_query_.find(message.query_id);
  if (query == attempts_by_query_.end()) return;
  const CallerRequestId id = query->second;
  PendingAttempt& pending = attempts_[id];
  if (pending.attempt.start.key != message.key) return;
  ApplyAttemptStep(
      id,
      HandleKeyReservationReply(std::move(pending.attempt), from, message.state,
                                KeyHolder{message.holder, message.holder_boot},
                                BootTag(message.holder_boot),
                                shared_state_.context, now),
      now);
}

void KeyService::Handle(const Endpoint& from, const KeyQuery& message,
                        TimePoint now) {
  if (message.service != identity_.service) return;
  KeyQueryReply reply;
  reply.query_id = message.query_id;
  reply.key = message.key;
  reply.boot_tag = message.boot_tag;
  reply.state = KeyState::kOtherBoot;
  const AgentBoot querying_agent{from, message.sender_boot_tag};
  const KeyAttempt* own = FindAttempt(message.key);
  if (message.boot_tag != BootTag(identity_.boot)) {
    callbacks_.send(from, reply);
    return;
  }
  if (own != nullptr && WinsReservation(*own, querying_agent)) {
    // This reply is not binding; the other agent repeats its query.
    reply.state = KeyState::kRunning;
    callbacks_.send(from, reply);
    return;
  }
  QueryStep step =
      QueryRequest(std::move(ledger_), message.key, ledger_limits(), now);
  ledger_ = std::move(step.ledger);
  reply.state = step.state;
  reply.status = step.status;
  reply.has_response = step.response != nullptr;
  if (step.response != nullptr) reply.response = *step.response;
  callbacks_.send(from, reply);
  if (!step.aborted || own == nullptr) return;
  const CallerRequestId id = attempts_by_key_[message.key];
  ApplyAttemptStep(
      id,
      AbortKeyAttempt(std::move(attempts_[id].attempt), querying_agent, now),
      now);
}

KeyAttempt* KeyService::FindAttempt(const KeyHash& key) {
  const auto found = attempts_by_key_.find(key);
  return found == attempts_by_key_.end() ? nullptr
                                         : &attempts_[found->second].attempt;
}

void KeyService::Handle(const Endpoint& from, const KeyQueryReply& message,
                        TimePoint now) {
  const auto query = attempts_by_query_.find(message.query_id);
  if (query == attempts_by_query_.end()) return;
  const CallerRequestId id = query->second;
  PendingAttempt& pending = attempts_[id];
  const std::optional<AgentBoot> queried_agent = pending.attempt.queried;
  const bool is_expected_reply =
      pending.attempt.start.key == message.key &&
      queried_agent == AgentBoot{from, message.boot_tag};
  if (!is_expected_reply) return;
  stored_response_status_ = message.status;
  stored_response_ =
      std::make_shared<const std::vector<uint8_t>>(message.response);
  ApplyAttemptStep(
      id,
      HandleKeyQueryReply(std::move(pending.attempt), *queried_agent,
                          message.state, message.has_response,
                          shared_state_.context, now),
      now);
}

void KeyService::Handle(const Endpoint& from, const KeyTransfer& message,
                        TimePoint now) {
  if (message.service != identity_.service) return;
  std::vector<TransferredKey> keys;
  keys.reserve(message.records.size());
  for (const KeyRecord& record : message.records) {
    keys.push_back(TransferredKey{record.key,
                                  KeyHolder{record.holder, record.holder_boot},
                                  Millis{record.remaining_ms}});
  }
  home_ = ImportKeys(std::move(home_), keys, home_limits(), now);
  callbacks_.send(from, KeyTransferReply{message.query_id});
}

void KeyService::Handle(const Endpoint& /*from*/,
                        const KeyTransferReply& message, TimePoint /*now*/) {
  transfers_.erase(message.query_id);
}

}  // namespace medlarwinch
