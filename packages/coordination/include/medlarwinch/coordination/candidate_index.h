#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Most candidates of a packet: `kMaxAcceptingCandidates` that may accept a new
/// flow, and others that may only own an established one.
inline constexpr size_t kMaxRouteCandidates = 6;
inline constexpr size_t kMaxAcceptingCandidates = 4;

/// An upstream's weights, in slots, in the three rankings of its service. A
/// weight of 0 leaves it out of that ranking.
struct UpstreamWeights {
  /// For new flows; scaled by slow start.
  double accepting = 0;
  /// For established flows without an identifier: the slots of an upstream that
  /// accepts or drains.
  double owning = 0;
  /// For new flows in the table before the last change of membership.
  double previous = 0;

  friend auto operator<=>(const UpstreamWeights&,
                          const UpstreamWeights&) = default;
};

/// An upstream in a routing table.
struct TableUpstream {
  /// Data address of the agent.
  Endpoint agent;
  UpstreamWeights weights;
  /// Withdrawn for its health. It comes last among the candidates, since a
  /// packet that is forwarded to a dead agent gets no further.
  bool is_unhealthy = false;

  friend bool operator==(const TableUpstream&, const TableUpstream&) = default;
};

/// Addresses in the order in which they are tried.
struct CandidateList {
  std::array<Endpoint, kMaxRouteCandidates> agents{};
  size_t size = 0;
  /// How many of the agents, from the front, may accept a new flow.
  size_t accepting = 0;

  friend bool operator==(const CandidateList&, const CandidateList&) = default;
};

/// Weighted rendezvous hashing over the upstreams of one service. Upstreams of
/// equal weights stand together, so that one multiplication for each upstream
/// and one logarithm for each distinct weight rank all of them; the result is
/// that of rendezvous hashing with a logarithm for each upstream.
class CandidateIndex {
 public:
  CandidateIndex() = default;
  explicit CandidateIndex(std::span<const TableUpstream> upstreams);

  /// Returns up to `accepting` (at most kMaxAcceptingCandidates) upstreams for
  /// a new flow with `key`, followed by those that may own an established one:
  /// the next of the accepting ranking, the first `accepting` of the previous
  /// one and the first `accepting` + 1 of the owning one, lost ones last. Does
  /// not allocate.
  ///
  /// The owner of a flow that was opened by a table which differs in one
  /// upstream is in the list when (a) it still accepts, or (b) it ceased to and
  /// the previous ranking is that table's, or (c) it drains and no other
  /// upstream does.
  CandidateList Choose(uint64_t key, size_t accepting) const;

 private:
  /// Upstreams [begin, end) have the same weights.
  struct WeightClass {
    size_t begin = 0;
    size_t end = 0;
    UpstreamWeights weights;
  };

  std::vector<WeightClass> classes_;
  /// Hash of the address of each upstream, padded for vector instructions.
  std::vector<uint32_t> seeds_;
  std::vector<Endpoint> agents_;
  /// True for the lost ones of `agents_`.
  std::vector<bool> is_unhealthy_;
  bool has_previous_ = false;
};

}  // namespace medlarwinch
