#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/coordination/monitored_members.h"

namespace medlarwinch {

/// A mean is disseminated when it differs from the known one by more than this
/// share.
inline constexpr double kMinRelativeMeanChange = 0.02;
/// Means of one region that its keepers disseminate per second at most. Each
/// balancer sends and receives a mean about twice, so that they take up less
/// than a third of the 4 KB/s.
inline constexpr int64_t kMaxMeansPerSecond = 8;

/// Time that a new keeper waits for the first heartbeats of all agents before
/// it computes a mean; a mean over a part of them misleads the others.
inline constexpr Millis kFirstHeartbeatTimeout{2'000};
/// A load older than this is left out of the mean.
inline constexpr Millis kMaxLoadAge{3'000};
/// Services whose mean is remembered at most.
inline constexpr size_t kMaxKnownMeans = 16'384;

/// A mean and when it was last replaced.
struct KnownMean {
  ServiceMean mean;
  TimePoint changed;
};

/// Newest disseminated mean by service.
using KnownMeans = std::map<std::string, KnownMean>;

/// Mean flows per slot by service, computed by a keeper from heartbeats.
using ComputedMeans = std::map<std::string, double>;

/// Outcome of a merge of means.
struct MeanOutcome {
  KnownMeans known;
  /// Means that were new; they are passed on.
  std::vector<ServiceMean> accepted;
};

/// Computes the means of the services whose agents this process keeps, over
/// ready upstreams with a recent heartbeat.
ComputedMeans ComputeMeans(const MonitoredMembers& monitored,
                           const MemberTable& table, TimePoint now);

/// Takes means of other keepers; the higher (sequence, keeper) wins.
MeanOutcome MergeMeans(KnownMeans known, const std::vector<ServiceMean>& means,
                       TimePoint now);

/// Returns the means that `self` must disseminate: those that differ from the
/// known one by more than kMinRelativeMeanChange, each service at most once in
/// `services / kMaxMeansPerSecond` seconds and once a second.
MeanOutcome PublishMeans(KnownMeans known, const ComputedMeans& computed,
                         size_t services, const Endpoint& self, TimePoint now);

}  // namespace medlarwinch
