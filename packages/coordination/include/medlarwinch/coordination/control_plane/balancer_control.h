#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_actions.h"
#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/coordination/control_plane/monitored_members.h"
#include "medlarwinch/coordination/control_plane/record_store.h"
#include "medlarwinch/coordination/control_plane/service_means.h"
#include "medlarwinch/coordination/control_plane/suspicion.h"
#include "medlarwinch/coordination/shared/random.h"

namespace medlarwinch {

/// Number of balancers to which each update is gossiped.
inline constexpr size_t kGossipFanout = 4;
/// Number of balancers to which changed means are gossiped, once a second.
/// Lower than kGossipFanout, because a mean is only a hint and a lost one is
/// replaced at the next change.
inline constexpr size_t kMeanGossipFanout = 2;
/// Every n-th digest exchange goes to a balancer recorded as failed or to a
/// seed, so that the two sides of a healed partition merge again.
inline constexpr uint64_t kPartitionHealInterval = 10;
/// Maximum number of seeds.
inline constexpr size_t kMaxSeeds = 16;
/// Number of peers that a joining balancer contacts in each attempt.
inline constexpr size_t kJoinFanout = 3;

/// Contents shared by the HeartbeatAcks of one service. Cached until the member
/// table changes.
struct ServiceSummary {
  std::vector<RosterEntry> roster;
  uint64_t roster_hash = 0;
  std::vector<Endpoint> monitors;
};

/// The control state of a balancer. All times are monotonic.
struct BalancerControl {
  /// The balancer's own entry, also present in the table.
  MemberEntry self;
  /// Initial peers from the settings and the bootstrap list.
  std::vector<Endpoint> seeds;
  MemberTable table;
  std::vector<Endpoint> ready_balancers;
  MonitoredMembers monitored;
  SuspicionState suspicions;
  /// Members with a confirmed failure whose withdrawal the bound refused.
  std::set<Endpoint> doubtful;
  RecordStore records;
  HealthPolicies policies;
  KnownMeans means;
  /// New means by service, queued for the next gossip round.
  std::map<std::string, ServiceMean> pending_means;
  ComputedMeans computed_means;
  std::map<std::string, ServiceSummary> summaries;
  /// Outstanding fetches by record name, with the time at which each times out.
  std::map<std::string, TimePoint> fetch_deadlines;
  TimePoint last_tick{-1};
  TimePoint next_heartbeat{-1};
  TimePoint next_join{-1};
  Millis join_delay = kInitialJoinDelay;
  /// True once a peer has returned its member table.
  bool has_joined = false;
  uint64_t heartbeat_sequence = 0;
  /// Version and monitors for which the full entry was last sent in a
  /// heartbeat.
  MemberVersion announced_version;
  std::vector<Endpoint> announced_monitors;
  uint64_t digest_exchanges = 0;
};

/// The next state, and the actions for the caller to carry out.
struct BalancerStep {
  BalancerControl state;
  ControlActions actions;
};

/// Returns the initial state of a balancer.
BalancerControl StartBalancerControl(const MemberEntry& self,
                                     const std::vector<Endpoint>& seeds,
                                     TimePoint now);

/// Called every kControlTickInterval. Runs heartbeats, liveness checks, means
/// and digest exchange.
BalancerStep TickBalancer(BalancerControl state, TimePoint now, Random& random);

/// Handles a message from another daemon.
BalancerStep HandleBalancerMessage(BalancerControl state, const Endpoint& from,
                                   const ControlMessage& message, TimePoint now,
                                   Random& random);

/// Merges the members of a FetchReply.
BalancerStep HandleFetchedMembers(BalancerControl state,
                                  const std::vector<MemberEntry>& members,
                                  TimePoint now, Random& random);

/// Applies parsed records from the platform or a peer.
BalancerStep HandleReceivedRecords(BalancerControl state,
                                   const std::vector<ReceivedRecord>& received,
                                   TimePoint now, Random& random);

/// Enters `phase` and announces it. Has no effect unless it is later than the
/// current phase.
BalancerStep ChangeBalancerPhase(BalancerControl state, MemberPhase phase,
                                 TimePoint now, Random& random);

/// Adds seeds, such as those of the bootstrap list.
BalancerControl AddSeeds(BalancerControl state,
                         const std::vector<Endpoint>& seeds);

}  // namespace medlarwinch
