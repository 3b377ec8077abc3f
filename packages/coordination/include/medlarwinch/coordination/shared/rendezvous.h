#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// A node among which rendezvous hashing chooses.
struct WeightedNode {
  Endpoint id;
  /// Share of the keys that the node gets; a node of weight 0 is never chosen.
  double weight = 1;

  friend bool operator==(const WeightedNode&, const WeightedNode&) = default;
};

/// 64-bit hash of `bytes`, the same on every machine.
uint64_t HashKey(std::string_view bytes, uint64_t seed = 0);

/// Combines the hash of a key with the identity of a node.
uint64_t HashKeyWithNode(uint64_t key, const Endpoint& node);

/// Returns the `count` nodes with the highest weighted rendezvous scores for
/// `key`, best first. Adding or removing a node moves only the keys that the
/// node gains or loses. Ties are broken by address.
std::vector<Endpoint> ChooseByRendezvous(uint64_t key,
                                         const std::vector<WeightedNode>& nodes,
                                         size_t count);

}  // namespace medlarwinch
