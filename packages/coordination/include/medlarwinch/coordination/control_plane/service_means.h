#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/coordination/control_plane/monitored_members.h"

namespace medlarwinch {

/// Minimum relative change at which a mean is gossiped again.
inline constexpr double kMinRelativeMeanChange = 0.02;
/// Maximum number of means per second that the monitors of one region gossip.
/// Each balancer sends and receives a mean about twice, so that they use less
/// than a third of the 4 KB/s for control traffic.
inline constexpr int64_t kMaxMeansPerSecond = 8;

/// Time that a new monitor waits for the first heartbeats of all agents before
/// it computes a mean. A mean over only some of them is wrong.
inline constexpr Millis kFirstHeartbeatTimeout{2'000};
/// Loads older than this are left out of the mean.
inline constexpr Millis kMaxLoadAge{3'000};
/// Maximum number of services whose mean is stored.
inline constexpr size_t kMaxKnownMeans = 16'384;

/// A mean and when it was last replaced.
struct KnownMean {
  ServiceMean mean;
  TimePoint changed;
};

/// Newest gossiped mean by service.
using KnownMeans = std::map<std::string, KnownMean>;

/// Mean flows per slot by service, computed by a monitor from heartbeats.
using ComputedMeans = std::map<std::string, double>;

/// Result of MergeMeans() and PublishMeans().
struct MeanOutcome {
  KnownMeans known;
  /// Means that replaced an older one; they are gossiped further.
  std::vector<ServiceMean> accepted;
};

/// Computes the means of the services whose agents this process monitors, over
/// ready upstreams with a recent heartbeat.
ComputedMeans ComputeMeans(const MonitoredMembers& monitored,
                           const MemberTable& table, TimePoint now);

/// Merges the means of other monitors. The higher (sequence, monitor) wins.
MeanOutcome MergeMeans(KnownMeans known, const std::vector<ServiceMean>& means,
                       TimePoint now);

/// Returns the means that `self` must gossip: those that differ from the known
/// one by more than kMinRelativeMeanChange, at most once per service in
/// `services / kMaxMeansPerSecond` seconds and at most once a second.
MeanOutcome PublishMeans(KnownMeans known, const ComputedMeans& computed,
                         size_t services, const Endpoint& self, TimePoint now);

}  // namespace medlarwinch
