#include "medlarwinch/coordination/shared/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace medlarwinch {
namespace {

struct ScoredNode {
  double score;
  Endpoint id;
};

// The score -weight / log(u), with u uniform in (0, 1), makes a node the
// maximum with a probability proportional to its weight.
double Score(uint64_t key, const WeightedNode& node) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  const uint64_t hash = HashKeyWithNode(key, node.id);
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * kScale;
  return -node.weight / std::log(uniform);
}

bool IsBetter(const ScoredNode& a, const ScoredNode& b) {
  if (a.score != b.score) return a.score > b.score;
  return a.id < b.id;
}

}  // namespace

uint64_t HashKey(std::string_view bytes, uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

uint64_t HashKeyWithNode(uint64_t key, const Endpoint& node) {
  const uint64_t input[2] = {
      key, (static_cast<uint64_t>(node.ip) << 16) | node.port};
  return XXH64(input, sizeof(input), 0);
}

std::vector<Endpoint> ChooseByRendezvous(uint64_t key,
                                         const std::vector<WeightedNode>& nodes,
                                         size_t count) {
  std::vector<ScoredNode> scored;
  scored.reserve(nodes.size());
  for (const WeightedNode& node : nodes) {
    if (node.weight <= 0) continue;
    scored.push_back(ScoredNode{Score(key, node), node.id});
  }
  const size_t chosen_count = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<ptrdiff_t>(chosen_count),
                    scored.end(), IsBetter);
  std::vector<Endpoint> chosen;
  chosen.reserve(chosen_count);
  for (size_t index = 0; index < chosen_count; ++index) {
    chosen.push_back(scored[index].id);
  }
  return chosen;
}

}  // namespace medlarwinch
