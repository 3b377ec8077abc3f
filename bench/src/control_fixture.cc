#include "medlarwinch/bench/control_fixture.h"

#include <utility>

#include "medlarwinch/coordination/control_plane/digest_tree.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kFirstAgentIp = 0x0a800000;
constexpr uint32_t kFirstBalancerIp = 0x0a000001;

MemberEntry MakeBalancer(uint32_t number) {
  MemberEntry entry;
  entry.id = Endpoint{kFirstBalancerIp + number, 7'100};
  entry.version = MemberVersion{1'700'000'000'000, 0, MemberPhase::kReady};
  entry.kind = MemberKind::kBalancer;
  entry.failure_domain = "ktm-balaju-" + std::to_string(number % 3);
  entry.data = Endpoint{entry.id.ip, 7'000};
  return entry;
}

MemberEntry MakeAgent(uint32_t number) {
  MemberEntry entry;
  entry.id = Endpoint{kFirstAgentIp + number, 7'100};
  entry.version = MemberVersion{1'700'000'000'000, 0, MemberPhase::kReady};
  entry.service = "service-" + std::to_string(number / kAgentsPerService);
  entry.failure_domain = "ktm-balaju-" + std::to_string(number % 3);
  entry.slots = 4;
  entry.data = Endpoint{entry.id.ip, 7'000};
  entry.upstream = Endpoint{entry.id.ip, 8'080};
  return entry;
}

Digest RootDigest(const BalancerControl& state) {
  Digest digest =
      ComputeDigest(MemberItems(state.table), DigestScope::kMembers, 0, 0);
  digest.records_hash = HashItems(RecordItems(state.records));
  digest.reply_requested = true;
  return digest;
}

}  // namespace

ControlFixture::ControlFixture(uint32_t balancers, uint32_t agents,
                               uint32_t own_number) {
  std::vector<MemberEntry> members;
  for (uint32_t number = 0; number < balancers; ++number) {
    members.push_back(MakeBalancer(number));
  }
  std::vector<ReceivedRecord> documents;
  for (uint32_t number = 0; number < agents; ++number) {
    members.push_back(MakeAgent(number));
    if (number % kAgentsPerService != 0) continue;
    const std::string name = kDocumentPrefix + members.back().service;
    documents.push_back(ReceivedRecord{
        Record{name, 7, std::string(700, 'x')}, {}, HealthPolicy{}, "", false});
  }
  state_ = StartBalancerControl(MakeBalancer(own_number), {}, now_);
  ApplyStep(HandleFetchedMembers(std::move(state_), members, now_, random_));
  ApplyStep(HandleReceivedRecords(std::move(state_), documents, now_, random_));
}

ControlTraffic ControlFixture::RunSteadyState(uint32_t seconds) {
  // Excludes the first second, in which the first acknowledgements and means
  // are sent.
  for (uint32_t second = 0; second <= seconds; ++second) {
    if (second == 1) traffic_ = ControlTraffic{};
    ++sequence_;
    std::vector<Endpoint> monitored_ids;
    for (const auto& [id, member] : state_.monitored)
      monitored_ids.push_back(id);
    for (const Endpoint& id : monitored_ids) Receive(id, MakeHeartbeat(id));
    HandleMatchingDigest();
    ReceiveMeans();
    for (int64_t tick = 0; tick < 1'000; tick += kControlTickInterval.value) {
      now_ = now_ + kControlTickInterval;
      ApplyStep(TickBalancer(std::move(state_), now_, random_));
    }
  }
  return traffic_;
}

size_t ControlFixture::HandleMonitoredHeartbeat() {
  MonitoredMembers::const_iterator monitored_agent = state_.monitored.begin();
  while (state_.table.members.at(monitored_agent->first).entry.kind !=
         MemberKind::kAgent) {
    ++monitored_agent;
  }
  ++sequence_;
  const Endpoint id = monitored_agent->first;
  const Heartbeat heartbeat = MakeHeartbeat(id);
  return ApplyStep(
      HandleBalancerMessage(std::move(state_), id, heartbeat, now_, random_));
}

size_t ControlFixture::HandleNewAgent() {
  Delta delta;
  delta.members = {MakeAgent(1'000'000 + changes_ % 500)};
  delta.members[0].version.incarnation = ++changes_;
  return ApplyStep(HandleBalancerMessage(std::move(state_), MakeBalancer(1).id,
                                         delta, now_, random_));
}

size_t ControlFixture::HandleBalancerChange() {
  Delta delta;
  delta.members = {MakeBalancer(2)};
  MemberVersion& version = delta.members[0].version;
  version.incarnation = changes_ / 2 + 1;
  version.phase =
      changes_ % 2 == 0 ? MemberPhase::kStarting : MemberPhase::kReady;
  ++changes_;
  return ApplyStep(HandleBalancerMessage(std::move(state_), MakeBalancer(1).id,
                                         delta, now_, random_));
}

size_t ControlFixture::HandleMatchingDigest() {
  const size_t before = traffic_.sent_messages;
  Receive(MakeBalancer(1).id, RootDigest(state_));
  return traffic_.sent_messages - before;
}

size_t ControlFixture::RunTick() {
  now_ = now_ + kHeartbeatInterval;
  state_.last_tick = now_;
  state_.monitored = ResetHeartbeatTimes(std::move(state_.monitored), now_);
  return ApplyStep(TickBalancer(std::move(state_), now_, random_));
}

void ControlFixture::ReceiveMeans() {
  Delta delta;
  for (int64_t index = 0; index < kMaxMeansPerSecond; ++index) {
    const uint32_t number = static_cast<uint32_t>(random_() % 600);
    delta.means.push_back(ServiceMean{"service-" + std::to_string(number),
                                      2'000, MakeBalancer(1).id, sequence_});
  }
  // The second delta holds no new means, as gossip arrives about twice.
  Receive(MakeBalancer(1).id, delta);
  Receive(MakeBalancer(2).id, delta);
}

size_t ControlFixture::ApplyStep(BalancerStep step) {
  state_ = std::move(step.state);
  for (const OutgoingMessage& message : step.actions.messages) {
    ++traffic_.sent_messages;
    traffic_.sent_bytes += EncodeControlMessage(key_, message.message).size();
  }
  return step.actions.messages.size();
}

void ControlFixture::Receive(const Endpoint& from,
                             const ControlMessage& message) {
  ++traffic_.received_messages;
  traffic_.received_bytes += EncodeControlMessage(key_, message).size();
  ApplyStep(
      HandleBalancerMessage(std::move(state_), from, message, now_, random_));
}

Heartbeat ControlFixture::MakeHeartbeat(const Endpoint& id) {
  Heartbeat heartbeat;
  heartbeat.is_brief = true;
  heartbeat.entry = state_.table.members.at(id).entry;
  heartbeat.sequence = sequence_;
  heartbeat.load.flows = 8'000;
  const std::map<std::string, ServiceSummary>::const_iterator summary =
      state_.summaries.find(heartbeat.entry.service);
  if (summary != state_.summaries.end()) {
    heartbeat.roster_hash = summary->second.roster_hash;
  }
  return heartbeat;
}

}  // namespace medlarwinch
