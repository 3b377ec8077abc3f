#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_actions.h"
#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/coordination/monitored_members.h"
#include "medlarwinch/coordination/random.h"
#include "medlarwinch/coordination/record_store.h"
#include "medlarwinch/coordination/service_means.h"
#include "medlarwinch/coordination/suspicion.h"

namespace medlarwinch {

/// Balancers to which news is pushed.
inline constexpr size_t kGossipFanout = 4;
/// Balancers to which changed means are pushed, once a second. Fewer than for
/// other news, because a mean is a hint and the next change repairs a miss.
inline constexpr size_t kMeanGossipFanout = 2;
/// Every n-th digest exchange goes to a balancer recorded as failed or to a
/// first peer, so that two sides of a former partition find each other again.
inline constexpr uint64_t kPartitionHealInterval = 10;
/// First peers remembered at most.
inline constexpr size_t kMaxSeeds = 16;
/// Peers that a newcomer asks.
inline constexpr size_t kJoinFanout = 3;

/// What answers to heartbeats of one service carry; rebuilt after a change of
/// the member table.
struct ServiceSummary {
  std::vector<RosterEntry> roster;
  uint64_t roster_hash = 0;
  std::vector<Endpoint> monitors;
};

/// The control state of a balancer. All times are monotonic.
struct BalancerControl {
  /// Own entry; also in the table.
  MemberEntry self;
  /// Peers from the settings and the bootstrap list.
  std::vector<Endpoint> seeds;
  MemberTable table;
  std::vector<Endpoint> ready_balancers;
  MonitoredMembers monitored;
  SuspicionState suspicions;
  /// Members that look lost but whose withdrawal was refused.
  std::set<Endpoint> doubtful;
  RecordStore records;
  HealthPolicies policies;
  KnownMeans means;
  /// New means by service that wait for the next push.
  std::map<std::string, ServiceMean> pending_means;
  ComputedMeans computed_means;
  std::map<std::string, ServiceSummary> summaries;
  /// Running fetches by record name, with the time at which they count as lost.
  std::map<std::string, TimePoint> fetch_deadlines;
  TimePoint last_tick{-1};
  TimePoint next_heartbeat{-1};
  TimePoint next_join{-1};
  Millis join_delay = kInitialJoinDelay;
  /// True once a peer has answered with its member table.
  bool has_joined = false;
  uint64_t heartbeat_sequence = 0;
  /// Version for which whole entries were last sent to the keepers.
  MemberVersion announced_version;
  std::vector<Endpoint> announced_monitors;
  uint64_t digest_exchanges = 0;
};

/// Next state and what to do.
struct BalancerStep {
  BalancerControl state;
  ControlActions actions;
};

/// Returns the state of a balancer that starts with its own entry.
BalancerControl StartBalancerControl(const MemberEntry& self,
                                     const std::vector<Endpoint>& seeds,
                                     TimePoint now);

/// Called every kControlTick: heartbeats, liveness, means, exchange of digests.
BalancerStep TickBalancer(BalancerControl state, TimePoint now, Random& random);

/// Takes a message from another daemon.
BalancerStep HandleBalancerMessage(BalancerControl state, const Endpoint& from,
                                   const ControlMessage& message, TimePoint now,
                                   Random& random);

/// Takes the members of a FetchReply.
BalancerStep HandleFetchedMembers(BalancerControl state,
                                  const std::vector<MemberEntry>& members,
                                  TimePoint now, Random& random);

/// Takes records of the platform or of a peer, after their parsing.
BalancerStep HandleReceivedRecords(BalancerControl state,
                                   const std::vector<ReceivedRecord>& offered,
                                   TimePoint now, Random& random);

/// Enters a later phase and announces it. An earlier phase changes nothing.
BalancerStep ChangeBalancerPhase(BalancerControl state, MemberPhase phase,
                                 TimePoint now, Random& random);

/// Adds first peers, such as those of the bootstrap list.
BalancerControl AddSeeds(BalancerControl state,
                         const std::vector<Endpoint>& seeds);

}  // namespace medlarwinch
