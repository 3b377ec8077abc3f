#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Maximum number of candidates for a packet: up to `kMaxAcceptingCandidates`
/// that may accept a new flow, and others that may only own an established
/// flow.
inline constexpr size_t kMaxRouteCandidates = 6;
inline constexpr size_t kMaxAcceptingCandidates = 4;

/// An upstream's weights, in slots, in the three rankings of its service. A
/// weight of 0 excludes it from the ranking.
struct UpstreamWeights {
  /// Weight for new flows, scaled by slow start.
  double accepting = 0;
  /// Weight for established flows without an identifier: the slots of an
  /// upstream that accepts flows or drains.
  double owning = 0;
  /// Weight for new flows in the table before the last membership change.
  double previous = 0;

  friend auto operator<=>(const UpstreamWeights&,
                          const UpstreamWeights&) = default;
};

/// An upstream in a routing table.
struct TableUpstream {
  /// Data address of the agent.
  Endpoint agent;
  UpstreamWeights weights;
  /// Withdrawn by health checks. Such an upstream is the last among the
  /// candidates, because a packet forwarded to a dead agent is lost.
  bool is_unhealthy = false;

  friend bool operator==(const TableUpstream&, const TableUpstream&) = default;
};

/// Agent addresses in the order in which they are tried.
struct CandidateList {
  std::array<Endpoint, kMaxRouteCandidates> agents{};
  size_t size = 0;
  /// Number of agents at the front of the list that may accept a new flow.
  size_t accepting = 0;

  friend bool operator==(const CandidateList&, const CandidateList&) = default;
};

/// Weighted rendezvous hashing over the upstreams of one service. Upstreams of
/// equal weight are grouped, so that ranking takes one multiplication per
/// upstream and one logarithm per distinct weight. The result equals rendezvous
/// hashing with one logarithm per upstream.
class CandidateIndex {
 public:
  CandidateIndex() = default;
  explicit CandidateIndex(std::span<const TableUpstream> upstreams);

  /// Returns up to `accepting` (at most kMaxAcceptingCandidates) upstreams for
  /// a new flow with `key`, followed by upstreams that may own an established
  /// flow: the next one of the accepting ranking, the first `accepting` of the
  /// previous ranking and the first `accepting` + 1 of the owning ranking.
  /// Unhealthy owners come last. Does not allocate.
  ///
  /// If a flow was opened with a table that differs in one upstream, the list
  /// contains its owner when the owner (a) still accepts flows, or (b) no
  /// longer accepts them and the previous ranking is that of the other table,
  /// or (c) drains and no other upstream drains.
  CandidateList Choose(uint64_t key, size_t accepting) const;

 private:
  /// Upstreams [begin, end) have the same weights.
  struct WeightClass {
    size_t begin = 0;
    size_t end = 0;
    UpstreamWeights weights;
  };

  std::vector<WeightClass> classes_;
  /// Hash of each upstream's address, padded for vector instructions.
  std::vector<uint32_t> seeds_;
  std::vector<Endpoint> agents_;
  /// For each element of `agents_`, whether it is unhealthy.
  std::vector<bool> is_unhealthy_;
  bool has_previous_ = false;
};

}  // namespace medlarwinch
