#include "medlarwinch/coordination/control_plane/balancer_control.h"

#include <algorithm>
#include <utility>

#include "heartbeat_ack.h"
#include "medlarwinch/coordination/control_plane/balancer_liveness.h"
#include "medlarwinch/coordination/control_plane/digest_tree.h"
#include "medlarwinch/coordination/control_plane/monitor_selection.h"

namespace medlarwinch {
namespace {

// Runs `next` on the state of `step` and appends its actions to those of
// `step`.
template <typename Function>
void Chain(BalancerStep& step, Function next) {
  BalancerStep more = next(std::move(step.state));
  step.state = std::move(more.state);
  AppendActions(step.actions, std::move(more.actions));
}

std::vector<Endpoint> OtherBalancers(const BalancerControl& state,
                                     bool failed_only) {
  std::vector<Endpoint> others;
  for (const auto& [id, record] : state.table.members) {
    if (record.entry.kind != MemberKind::kBalancer) continue;
    if (id == state.self.id) continue;
    const MemberPhase phase = record.entry.version.phase;
    if (failed_only ? phase != MemberPhase::kFailed : IsWithdrawn(phase)) {
      continue;
    }
    others.push_back(id);
  }
  return others;
}

BalancerStep HandleHeartbeat(BalancerControl state, const Endpoint& from,
                             Heartbeat heartbeat, TimePoint now,
                             Random& random) {
  if (!CompleteEntry(state.table, heartbeat)) {
    BalancerStep step{std::move(state), {}};
    HeartbeatAck unknown;
    unknown.sequence = heartbeat.sequence;
    step.actions.messages.push_back(OutgoingMessage{from, unknown});
    return step;
  }
  const Endpoint& id = heartbeat.entry.id;
  BalancerStep step =
      MergeRemoteEntries(std::move(state), {heartbeat.entry}, Endpoint{},
                         Propagation::kYes, now, random);
  step.state.monitored =
      RecordHeartbeat(std::move(step.state.monitored), id, heartbeat.load, now);
  step.state.suspicions = ClearSuspicion(std::move(step.state.suspicions), id);
  if (step.state.doubtful.erase(id) > 0) step.actions.view_changed = true;
  HeartbeatAck ack = MakeAck(step.state, heartbeat);
  if (!NeedsAck(step.state, id, heartbeat, ack)) return step;
  const MonitoredMembers::iterator monitored = step.state.monitored.find(id);
  if (monitored != step.state.monitored.end()) {
    monitored->second.acked_document_version = ack.document_version;
    monitored->second.acked_key_ring_version = ack.key_ring_version;
  }
  step.actions.messages.push_back(OutgoingMessage{from, std::move(ack)});
  return step;
}

BalancerStep HandleAck(BalancerControl state, const HeartbeatAck& ack,
                       TimePoint now, Random& random) {
  // Sends the full entry next to a monitor that holds another version of it.
  if (ack.recorded != state.self.version)
    state.announced_version = MemberVersion{};
  MemberEntry recorded = state.self;
  recorded.version = ack.recorded;
  return MergeRemoteEntries(std::move(state), {recorded}, Endpoint{},
                            Propagation::kYes, now, random);
}

BalancerStep HandleSuspicionQuery(BalancerControl state, const Endpoint& from,
                                  const SuspicionQuery& query, TimePoint now) {
  BalancerStep step{std::move(state), {}};
  const std::map<Endpoint, MemberRecord>::const_iterator record =
      step.state.table.members.find(query.subject);
  if (record == step.state.table.members.end()) return step;
  const Millis fail_after =
      HealthPolicyOf(step.state.policies, record->second.entry)
          .policy.fail_after;
  for (const SuspicionReply& reply :
       ReplyToSuspicionQuery(step.state.monitored, query, fail_after, now)) {
    step.actions.messages.push_back(OutgoingMessage{from, reply});
  }
  return step;
}

// Fetches the announced records that are newer than the local ones, unless a
// fetch is already outstanding.
void FetchNewRecords(BalancerStep& step, const Endpoint& from,
                     const std::vector<RecordVersion>& announced,
                     TimePoint now) {
  FetchRequest request;
  for (const RecordVersion& version : announced) {
    if (!ShouldFetch(step.state.records, version)) continue;
    const std::map<std::string, TimePoint>::const_iterator running =
        step.state.fetch_deadlines.find(version.name);
    const bool is_running =
        running != step.state.fetch_deadlines.end() && now < running->second;
    if (is_running || request.names.size() == kMaxFetchedRecords) continue;
    step.state.fetch_deadlines[version.name] = now + kFetchTimeout;
    request.names.push_back(version.name);
  }
  if (request.names.empty()) return;
  step.actions.fetches.push_back(OutgoingFetch{from, std::move(request)});
}

void QueueMeans(BalancerControl& state, const std::vector<ServiceMean>& means) {
  for (const ServiceMean& mean : means) {
    state.pending_means[mean.service] = mean;
  }
}

// Gossips the means that have changed in the last second in one batch.
void PushMeans(BalancerStep& step, Random& random) {
  std::vector<ServiceMean> means;
  for (const auto& [service, mean] : step.state.pending_means) {
    means.push_back(mean);
  }
  step.state.pending_means.clear();
  const std::vector<Delta> deltas = SplitIntoDeltas({}, {}, means);
  if (deltas.empty()) return;
  for (const Endpoint& target : PickRandom(OtherBalancers(step.state, false),
                                           kMeanGossipFanout, random)) {
    for (const Delta& delta : deltas) {
      step.actions.messages.push_back(OutgoingMessage{target, delta});
    }
  }
}

BalancerStep HandleDelta(BalancerControl state, const Endpoint& from,
                         const Delta& delta, TimePoint now, Random& random) {
  BalancerStep step = MergeRemoteEntries(std::move(state), delta.members, from,
                                         Propagation::kYes, now, random);
  FetchNewRecords(step, from, delta.records, now);
  MeanOutcome means = MergeMeans(std::move(step.state.means), delta.means, now);
  step.state.means = std::move(means.known);
  if (means.accepted.empty()) return step;
  QueueMeans(step.state, means.accepted);
  step.actions.means_changed = true;
  return step;
}

BalancerStep HandleDigest(BalancerControl state, const Endpoint& from,
                          const Digest& digest, Random& random) {
  BalancerStep step{std::move(state), {}};
  const DigestReply reply =
      MakeDigestReply(digest, step.state.table, step.state.records, random);
  for (const Delta& delta : SplitIntoDeltas(reply.members, reply.records, {})) {
    step.actions.messages.push_back(OutgoingMessage{from, delta});
  }
  for (const Digest& next : reply.digests) {
    step.actions.messages.push_back(OutgoingMessage{from, next});
  }
  return step;
}

Digest RootDigest(const BalancerControl& state) {
  Digest digest =
      ComputeDigest(MemberItems(state.table), DigestScope::kMembers, 0, 0);
  digest.records_hash = HashItems(RecordItems(state.records));
  digest.reply_requested = true;
  return digest;
}

// Sends the digest of the tree's root to one random peer.
void ExchangeDigest(BalancerStep& step, Random& random) {
  BalancerControl& state = step.state;
  ++state.digest_exchanges;
  std::vector<Endpoint> candidates = OtherBalancers(state, false);
  if (state.digest_exchanges % kPartitionHealInterval == 0) {
    std::vector<Endpoint> failed_peers = OtherBalancers(state, true);
    failed_peers.insert(failed_peers.end(), state.seeds.begin(),
                        state.seeds.end());
    if (!failed_peers.empty()) candidates = std::move(failed_peers);
  }
  for (const Endpoint& peer : PickRandom(std::move(candidates), 1, random)) {
    step.actions.messages.push_back(OutgoingMessage{peer, RootDigest(state)});
  }
}

// Requests the member table and all records from random peers, with backoff,
// until one has replied.
void TryToJoin(BalancerStep& step, TimePoint now, Random& random) {
  BalancerControl& state = step.state;
  if (state.has_joined || now < state.next_join) return;
  std::vector<Endpoint> peers = state.seeds;
  for (const Endpoint& other : OtherBalancers(state, false)) {
    if (std::find(peers.begin(), peers.end(), other) == peers.end()) {
      peers.push_back(other);
    }
  }
  FetchRequest request;
  request.all_records = true;
  request.members = true;
  Delta announcement;
  announcement.members.push_back(state.self);
  for (const Endpoint& peer :
       PickRandom(std::move(peers), kJoinFanout, random)) {
    step.actions.fetches.push_back(OutgoingFetch{peer, request});
    step.actions.messages.push_back(OutgoingMessage{peer, announcement});
  }
  state.next_join = now + Jitter(state.join_delay, random);
  state.join_delay = std::min(state.join_delay * 2, kMaxJoinDelay);
}

void UpdateMeans(BalancerStep& step, TimePoint now, Random& random) {
  BalancerControl& state = step.state;
  state.computed_means = ComputeMeans(state.monitored, state.table, now);
  MeanOutcome published =
      PublishMeans(std::move(state.means), state.computed_means,
                   state.policies.size(), state.self.id, now);
  state.means = std::move(published.known);
  if (!published.accepted.empty()) step.actions.means_changed = true;
  QueueMeans(state, published.accepted);
  PushMeans(step, random);
}

}  // namespace

BalancerControl StartBalancerControl(const MemberEntry& self,
                                     const std::vector<Endpoint>& seeds,
                                     TimePoint now) {
  BalancerControl state;
  state.self = self;
  state.table = MergeEntries(MemberTable{}, {self}, now).table;
  state.ready_balancers = ReadyBalancers(state.table);
  return AddSeeds(std::move(state), seeds);
}

BalancerControl AddSeeds(BalancerControl state,
                         const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    if (seed == state.self.id) continue;
    if (std::find(state.seeds.begin(), state.seeds.end(), seed) !=
        state.seeds.end()) {
      continue;
    }
    if (state.seeds.size() == kMaxSeeds) break;
    state.seeds.push_back(seed);
  }
  return state;
}

BalancerStep TickBalancer(BalancerControl state, TimePoint now,
                          Random& random) {
  BalancerStep step = DetectPause(std::move(state), now);
  step.state.last_tick = now;
  Chain(step, [&](BalancerControl next) {
    return CheckLiveness(std::move(next), now, random);
  });
  TryToJoin(step, now, random);
  if (now < step.state.next_heartbeat) return step;
  Chain(step, [&](BalancerControl next) {
    return SendHeartbeats(std::move(next), now);
  });
  step.state.table = PurgeWithdrawnEntries(std::move(step.state.table), now);
  std::erase_if(step.state.fetch_deadlines,
                [now](const std::pair<const std::string, TimePoint>& fetch) {
                  return fetch.second <= now;
                });
  UpdateMeans(step, now, random);
  ExchangeDigest(step, random);
  return step;
}

BalancerStep HandleBalancerMessage(BalancerControl state, const Endpoint& from,
                                   const ControlMessage& message, TimePoint now,
                                   Random& random) {
  BalancerStep step = DetectPause(std::move(state), now);
  Chain(step, [&](BalancerControl next) {
    if (const Heartbeat* heartbeat = std::get_if<Heartbeat>(&message)) {
      return HandleHeartbeat(std::move(next), from, *heartbeat, now, random);
    }
    if (const HeartbeatAck* ack = std::get_if<HeartbeatAck>(&message)) {
      return HandleAck(std::move(next), *ack, now, random);
    }
    if (const SuspicionQuery* query = std::get_if<SuspicionQuery>(&message)) {
      return HandleSuspicionQuery(std::move(next), from, *query, now);
    }
    if (const Delta* delta = std::get_if<Delta>(&message)) {
      return HandleDelta(std::move(next), from, *delta, now, random);
    }
    if (const Digest* digest = std::get_if<Digest>(&message)) {
      return HandleDigest(std::move(next), from, *digest, random);
    }
    BalancerStep done{std::move(next), {}};
    if (const SuspicionReply* reply = std::get_if<SuspicionReply>(&message)) {
      done.state.suspicions =
          ApplySuspicionReply(std::move(done.state.suspicions), from, *reply);
    }
    return done;
  });
  return step;
}

BalancerStep HandleFetchedMembers(BalancerControl state,
                                  const std::vector<MemberEntry>& members,
                                  TimePoint now, Random& random) {
  // Not propagated: the other balancers already have the entries of a peer's
  // table.
  BalancerStep step = MergeRemoteEntries(std::move(state), members, Endpoint{},
                                         Propagation::kNo, now, random);
  if (!members.empty()) step.state.has_joined = true;
  return step;
}

BalancerStep HandleReceivedRecords(BalancerControl state,
                                   const std::vector<ReceivedRecord>& received,
                                   TimePoint now, Random& random) {
  BalancerStep step = DetectPause(std::move(state), now);
  std::vector<RecordVersion> accepted;
  for (const ReceivedRecord& item : received) {
    ApplyRecordOutcome outcome = ApplyRecord(
        std::move(step.state.records), item.record, item.error, item.source);
    step.state.records = std::move(outcome.store);
    step.state.fetch_deadlines.erase(item.record.name);
    // Only the process that read a version from the platform records it in the
    // account; thousands of daemons accept the same version from their peers.
    for (AccountEntry& entry : outcome.decisions) {
      step.actions.decisions.push_back(
          Decision{std::move(entry), item.is_from_platform});
    }
    if (!outcome.accepted) continue;
    accepted.push_back(RecordVersion{item.record.name, item.record.version});
    if (item.health.has_value()) {
      step.state.policies[ServiceOfRecord(item.record.name)] =
          VersionedHealthPolicy{item.record.version, *item.health};
    }
    step.actions.view_changed = true;
  }
  PushUpdates(step.state, step.actions, {}, accepted, {}, random);
  return step;
}

BalancerStep ChangeBalancerPhase(BalancerControl state, MemberPhase phase,
                                 TimePoint now, Random& random) {
  if (phase <= state.self.version.phase)
    return BalancerStep{std::move(state), {}};
  state.self.version.phase = phase;
  const MemberEntry entry = state.self;
  BalancerStep step{std::move(state), {}};
  MergeOutcome merged = MergeEntries(std::move(step.state.table), {entry}, now);
  step.state.table = std::move(merged.table);
  step.state.ready_balancers = ReadyBalancers(step.state.table);
  step.state.monitored = UpdateMonitoredMembers(
      std::move(step.state.monitored), step.state.table, step.state.self.id,
      step.state.ready_balancers, now);
  step.state.summaries.clear();
  PushUpdates(step.state, step.actions, {entry}, {}, {}, random);
  Chain(step, [&](BalancerControl next) {
    return SendHeartbeats(std::move(next), now);
  });
  step.actions.view_changed = true;
  return step;
}

}  // namespace medlarwinch
