#include "medlarwinch/bench/maglev_table.h"

#include <algorithm>

namespace medlarwinch {
namespace {

constexpr uint16_t kEmpty = 0xffff;

struct Permutation {
  uint64_t next = 0;
  uint64_t skip = 1;
  double credit = 0;
};

}  // namespace

MaglevTable::MaglevTable(const std::vector<WeightedNode>& nodes, size_t size)
    : entries_(size, kEmpty) {
  std::vector<Permutation> permutations;
  double max_weight = 0;
  for (const WeightedNode& node : nodes) {
    permutations.push_back(
        Permutation{HashKeyWithNode(1, node.id) % size,
                    HashKeyWithNode(2, node.id) % (size - 1) + 1, 0});
    max_weight = std::max(max_weight, node.weight);
  }
  size_t filled = 0;
  while (filled < size && max_weight > 0) {
    for (size_t index = 0; index < nodes.size() && filled < size; ++index) {
      Permutation& permutation = permutations[index];
      permutation.credit += nodes[index].weight / max_weight;
      if (permutation.credit < 1) continue;
      permutation.credit -= 1;
      while (entries_[permutation.next] != kEmpty) {
        permutation.next = (permutation.next + permutation.skip) % size;
      }
      entries_[permutation.next] = static_cast<uint16_t>(index);
      ++filled;
    }
  }
}

}  // namespace medlarwinch
