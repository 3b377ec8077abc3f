#pragma once

#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/rendezvous.h"

namespace medlarwinch {

/// A lookup table as in Maglev (Eisenbud et al., NSDI 2016): each node fills
/// the entries of its own permutation in turns, in proportion to its weight.
/// Only for comparison with the scheme in use.
class MaglevTable {
 public:
  /// `size` is a prime above the number of nodes.
  MaglevTable(const std::vector<WeightedNode>& nodes, size_t size);

  /// Position of the node for `key` in the list that the table was made from.
  size_t Choose(uint64_t key) const { return entries_[key % entries_.size()]; }

  size_t MemoryBytes() const { return entries_.size() * sizeof(uint16_t); }

 private:
  std::vector<uint16_t> entries_;
};

}  // namespace medlarwinch
