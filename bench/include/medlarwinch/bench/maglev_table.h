#pragma once

#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {

/// Maglev lookup table (Eisenbud et al., NSDI 2016): the nodes take turns to
/// claim free entries in the order of their permutations, in proportion to
/// their weights. Only for comparison with the scheme in use.
class MaglevTable {
 public:
  /// `size` must be a prime greater than the number of nodes.
  MaglevTable(const std::vector<WeightedNode>& nodes, size_t size);

  /// Returns the index of the node for `key` in the constructor's `nodes`.
  size_t Choose(uint64_t key) const { return entries_[key % entries_.size()]; }

  size_t MemoryBytes() const { return entries_.size() * sizeof(uint16_t); }

 private:
  std::vector<uint16_t> entries_;
};

}  // namespace medlarwinch
