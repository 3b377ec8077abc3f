#include "medlarwinch/coordination/candidate_index.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "medlarwinch/coordination/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr size_t kMaxRanked = kMaxAcceptingCandidates + 1;

struct RankedUpstream {
  double score = 0;
  size_t position = 0;
};

// The best upstreams by score, best first.
struct Ranking {
  std::array<RankedUpstream, kMaxRanked> entries{};
  size_t size = 0;
  size_t capacity = 0;

  // Returns false when the score is too low to be kept.
  bool Insert(double score, size_t position,
              const std::vector<Endpoint>& agents) {
    const auto is_better = [&](const RankedUpstream& entry) {
      if (score != entry.score) return score > entry.score;
      return agents[position] < agents[entry.position];
    };
    if (size == capacity &&
        (capacity == 0 || !is_better(entries[capacity - 1]))) {
      return false;
    }
    size_t at = size < capacity ? size++ : capacity - 1;
    while (at > 0 && is_better(entries[at - 1])) {
      entries[at] = entries[at - 1];
      --at;
    }
    entries[at] = RankedUpstream{score, position};
    return true;
  }
};

// The upstreams of one weight class with the highest hashes, best first.
struct HighestHashes {
  std::array<uint64_t, kMaxRanked> hashes{};
  std::array<size_t, kMaxRanked> positions{};
  size_t size = 0;

  void Insert(uint64_t hash, size_t position, size_t capacity) {
    size_t at = size < capacity ? size++ : capacity - 1;
    while (at > 0 && hash > hashes[at - 1]) {
      hashes[at] = hashes[at - 1];
      positions[at] = positions[at - 1];
      --at;
    }
    hashes[at] = hash;
    positions[at] = position;
  }
};

// Mixes a key with the hash of an upstream by one 128-bit product. Both
// factors depend on both inputs, so that no single key or upstream makes the
// products small for all of its pairs.
uint64_t Mix(uint64_t key, uint64_t seed) {
  constexpr uint64_t kOddConstant = 0x9e3779b97f4a7c15ULL;
  __extension__ using Product = unsigned __int128;
  const Product product = static_cast<Product>(key ^ seed) *
                          (std::rotl(key, 32) ^ seed ^ kOddConstant);
  return static_cast<uint64_t>(product >> 64) ^ static_cast<uint64_t>(product);
}

HighestHashes FindHighest(std::span<const uint64_t> seeds, size_t offset,
                          uint64_t key, size_t capacity) {
  HighestHashes highest;
  uint64_t threshold = 0;
  for (size_t index = 0; index < seeds.size(); ++index) {
    const uint64_t hash = Mix(key, seeds[index]);
    if (hash < threshold) continue;
    highest.Insert(hash, offset + index, capacity);
    if (highest.size == capacity) threshold = highest.hashes[capacity - 1];
  }
  return highest;
}

// The score -weight / log(u) of weighted rendezvous hashing without its weight.
double ScoreOfHash(uint64_t hash) {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * kScale;
  return -1 / std::log(uniform);
}

// Appends an agent unless it is there already or the list has `limit` agents.
void Append(CandidateList& list, const Endpoint& agent, size_t limit) {
  const auto end = list.agents.begin() + static_cast<ptrdiff_t>(list.size);
  if (list.size >= limit || std::find(list.agents.begin(), end, agent) != end) {
    return;
  }
  list.agents[list.size] = agent;
  ++list.size;
}

}  // namespace

CandidateIndex::CandidateIndex(std::span<const TableUpstream> upstreams) {
  std::vector<TableUpstream> sorted(upstreams.begin(), upstreams.end());
  std::sort(sorted.begin(), sorted.end(),
            [](const TableUpstream& a, const TableUpstream& b) {
              if (a.weights != b.weights) return a.weights < b.weights;
              return a.agent < b.agent;
            });
  for (const TableUpstream& upstream : sorted) {
    if (classes_.empty() || classes_.back().weights != upstream.weights) {
      classes_.push_back(
          WeightClass{agents_.size(), agents_.size(), upstream.weights});
    }
    ++classes_.back().end;
    agents_.push_back(upstream.agent);
    is_lost_.push_back(upstream.is_lost);
    seeds_.push_back(HashKeyWithNode(0, upstream.agent));
    has_previous_ = has_previous_ || upstream.weights.previous > 0;
  }
}

CandidateList CandidateIndex::Choose(uint64_t key, size_t accepting) const {
  const size_t count =
      std::clamp<size_t>(accepting, 1, kMaxAcceptingCandidates);
  Ranking new_flows;
  Ranking owners;
  Ranking previous;
  new_flows.capacity = count + 1;
  owners.capacity = count + 1;
  previous.capacity = has_previous_ ? count : 0;
  for (const WeightClass& same : classes_) {
    const std::span<const uint64_t> seeds(seeds_.data() + same.begin,
                                          same.end - same.begin);
    const HighestHashes highest =
        FindHighest(seeds, same.begin, key, count + 1);
    for (size_t index = 0; index < highest.size; ++index) {
      const double score = ScoreOfHash(highest.hashes[index]);
      const size_t position = highest.positions[index];
      bool is_kept = false;
      const auto insert = [&](Ranking& ranking, double weight) {
        if (weight <= 0) return;
        is_kept |= ranking.Insert(score * weight, position, agents_);
      };
      insert(new_flows, same.weights.accepting);
      insert(owners, same.weights.owning);
      insert(previous, same.weights.previous);
      if (!is_kept) break;
    }
  }
  bool has_lost = false;
  for (size_t rank = 0; rank < previous.size; ++rank) {
    has_lost = has_lost || is_lost_[previous.entries[rank].position];
  }
  CandidateList list;
  for (size_t rank = 0; rank < std::min(count, new_flows.size); ++rank) {
    Append(list, agents_[new_flows.entries[rank].position],
           kMaxAcceptingCandidates);
  }
  list.accepting = list.size;
  for (const bool lost : {false, true}) {
    // One place is kept for an owner that was withdrawn for its health.
    const size_t limit = kMaxRouteCandidates - (has_lost && !lost ? 1 : 0);
    const auto append_owner = [&](const Ranking& ranking, size_t rank) {
      if (rank >= ranking.size) return;
      const size_t position = ranking.entries[rank].position;
      if (is_lost_[position] == lost) Append(list, agents_[position], limit);
    };
    // One change of the table displaces a candidate by at most one rank, so the
    // next one in rank comes first; an owner that ceased to accept stands in
    // the previous ranking, and in the owning one if it drains.
    append_owner(new_flows, count);
    for (size_t rank = 0; rank < count; ++rank) append_owner(previous, rank);
    for (size_t rank = 0; rank <= count; ++rank) append_owner(owners, rank);
  }
  return list;
}

}  // namespace medlarwinch
