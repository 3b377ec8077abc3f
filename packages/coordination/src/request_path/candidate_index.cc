#include "medlarwinch/coordination/request_path/candidate_index.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr size_t kMaxRanked = kMaxAcceptingCandidates + 1;

struct RankedUpstream {
  double score = 0;
  size_t position = 0;
};

// The upstreams with the highest scores, best first.
struct Ranking {
  std::array<RankedUpstream, kMaxRanked> entries{};
  size_t size = 0;
  size_t capacity = 0;

  // Requires a non-empty ranking.
  double LowestScore() const { return entries[size - 1].score; }

  // A score of 0 means that the upstream is not in the ranking.
  void Insert(double score, size_t position,
              const std::vector<Endpoint>& agents) {
    if (score <= 0 || capacity == 0) return;
    const auto is_better = [&](const RankedUpstream& entry) {
      if (score != entry.score) return score > entry.score;
      return agents[position] < agents[entry.position];
    };
    if (size == capacity && !is_better(entries[size - 1])) return;
    size_t at = size < capacity ? size++ : capacity - 1;
    while (at > 0 && is_better(entries[at - 1])) {
      entries[at] = entries[at - 1];
      --at;
    }
    entries[at] = RankedUpstream{score, position};
  }
};

// The upstreams of one weight class with the highest hashes, best first. Of
// equal hashes the one with the lower position, and therefore address, comes
// first.
struct HighestHashes {
  std::array<uint32_t, kMaxRanked> hashes{};
  std::array<size_t, kMaxRanked> positions{};
  size_t size = 0;

  void Insert(uint32_t hash, size_t position, size_t capacity) {
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

// Number of hashes that are computed together. The compiler vectorizes the loop
// over them.
constexpr size_t kHashBlock = 32;
constexpr double kHashValues = 4294967296.0;  // 2^32

// Mixes a key with the hash of an upstream in two rounds of multiplication and
// shift, each with one half of the key.
uint32_t Mix(uint64_t key, uint32_t seed) {
  uint32_t mixed = seed ^ static_cast<uint32_t>(key);
  mixed = (mixed ^ (mixed >> 16)) * 0x7feb352dU;
  mixed += static_cast<uint32_t>(key >> 32);
  mixed = (mixed ^ (mixed >> 15)) * 0x846ca68bU;
  return mixed ^ (mixed >> 16);
}

// AVX2 is optional on x86-64; the vector instructions of arm64 are not.
#ifdef __x86_64__
#define MEDLARWINCH_VECTOR_CLONES \
  __attribute__((target_clones("avx2", "default")))
#else
#define MEDLARWINCH_VECTOR_CLONES
#endif

// Computes the hashes of kHashBlock seeds and returns the highest one.
MEDLARWINCH_VECTOR_CLONES uint32_t
HashBlock(uint64_t key, const uint32_t* seeds,
          std::array<uint32_t, kHashBlock>& hashes) {
  for (size_t index = 0; index < kHashBlock; ++index) {
    hashes[index] = Mix(key, seeds[index]);
  }
  uint32_t highest = 0;
  for (const uint32_t hash : hashes) highest = std::max(highest, hash);
  return highest;
}

// Returns a hash that about kExpectedHits of `count` random hashes reach. The
// probability that fewer than kMaxRanked reach it is one in a thousand.
constexpr double kExpectedHits = 14;

uint64_t LikelyMinimumHash(size_t count) {
  const double share = 1 - kExpectedHits / static_cast<double>(count);
  return share <= 0 ? 0 : static_cast<uint64_t>(share * kHashValues);
}

// Finds the highest hashes of at least `minimum` among the positions [begin,
// end). `seeds` has kHashBlock more elements than there are upstreams.
HighestHashes FindHighest(const std::vector<uint32_t>& seeds, size_t begin,
                          size_t end, uint64_t key, size_t capacity,
                          uint64_t minimum) {
  HighestHashes highest;
  std::array<uint32_t, kHashBlock> hashes;
  for (size_t start = begin; start < end; start += kHashBlock) {
    if (HashBlock(key, seeds.data() + start, hashes) < minimum) continue;
    const size_t count = std::min(kHashBlock, end - start);
    for (size_t index = 0; index < count; ++index) {
      if (hashes[index] < minimum) continue;
      highest.Insert(hashes[index], start + index, capacity);
      if (highest.size < capacity) continue;
      const uint64_t above = uint64_t{highest.hashes[capacity - 1]} + 1;
      minimum = std::max(minimum, above);
    }
  }
  return highest;
}

// Returns the score -weight / log(u) of weighted rendezvous hashing for a
// weight of 1.
double ScoreOfHash(uint32_t hash) {
  return -1 / std::log((static_cast<double>(hash) + 0.5) / kHashValues);
}

// The three rankings of one routing decision.
struct Rankings {
  Ranking new_flows;
  Ranking owners;
  Ranking previous;

  // Returns a lower bound of the hash that an upstream of these weights needs
  // to enter a ranking.
  uint64_t MinimumHash(const UpstreamWeights& weights) const {
    double ratio = 0;
    for (const auto& [ranking, weight] :
         {std::pair(&new_flows, weights.accepting),
          std::pair(&owners, weights.owning),
          std::pair(&previous, weights.previous)}) {
      if (weight <= 0 || ranking->capacity == 0) continue;
      if (ranking->size < ranking->capacity) return 0;
      ratio = std::max(ratio, weight / ranking->LowestScore());
    }
    if (ratio == 0) return std::numeric_limits<uint64_t>::max();
    // The margin of one hash compensates for rounding.
    const double minimum = std::exp(-ratio) * kHashValues - 1.5;
    return minimum <= 0 ? 0 : static_cast<uint64_t>(minimum);
  }

  void Insert(const UpstreamWeights& weights, uint32_t hash, size_t position,
              const std::vector<Endpoint>& agents) {
    const double score = ScoreOfHash(hash);
    new_flows.Insert(score * weights.accepting, position, agents);
    owners.Insert(score * weights.owning, position, agents);
    previous.Insert(score * weights.previous, position, agents);
  }
};

// Appends an agent unless the list contains it or has `limit` agents.
void Append(CandidateList& list, const Endpoint& agent, size_t limit) {
  const auto end = list.agents.begin() + static_cast<ptrdiff_t>(list.size);
  if (list.size >= limit || std::find(list.agents.begin(), end, agent) != end) {
    return;
  }
  list.agents[list.size] = agent;
  ++list.size;
}

// Returns the candidates in the order documented at CandidateIndex::Choose().
// `is_unhealthy` has an element for each position.
CandidateList BuildCandidateList(const Rankings& rankings, size_t count,
                                 const std::vector<Endpoint>& agents,
                                 const std::vector<bool>& is_unhealthy) {
  const Ranking& new_flows = rankings.new_flows;
  const Ranking& previous = rankings.previous;
  bool has_unhealthy = false;
  for (size_t rank = 0; rank < previous.size; ++rank) {
    has_unhealthy =
        has_unhealthy || is_unhealthy[previous.entries[rank].position];
  }
  CandidateList list;
  for (size_t rank = 0; rank < std::min(count, new_flows.size); ++rank) {
    Append(list, agents[new_flows.entries[rank].position],
           kMaxAcceptingCandidates);
  }
  list.accepting = list.size;
  for (const bool unhealthy : {false, true}) {
    // One place is reserved for an owner that was withdrawn by health checks.
    const size_t limit =
        kMaxRouteCandidates - (has_unhealthy && !unhealthy ? 1 : 0);
    const auto append_owner = [&](const Ranking& ranking, size_t rank) {
      if (rank >= ranking.size) return;
      const size_t position = ranking.entries[rank].position;
      if (is_unhealthy[position] == unhealthy)
        Append(list, agents[position], limit);
    };
    // One change of the table moves a candidate by at most one rank, so the
    // next rank is added first. An owner that no longer accepts is in the
    // previous ranking, and in the owning ranking while it drains.
    append_owner(new_flows, count);
    for (size_t rank = 0; rank < count; ++rank) append_owner(previous, rank);
    for (size_t rank = 0; rank <= count; ++rank)
      append_owner(rankings.owners, rank);
  }
  return list;
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
    is_unhealthy_.push_back(upstream.is_unhealthy);
    seeds_.push_back(static_cast<uint32_t>(HashKeyWithNode(0, upstream.agent)));
    has_previous_ = has_previous_ || upstream.weights.previous > 0;
  }
  seeds_.resize(agents_.size() + kHashBlock);
  // Large total weights first: they fill the rankings with high scores, so that
  // most upstreams in later classes are skipped.
  std::sort(
      classes_.begin(), classes_.end(),
      [](const WeightClass& a, const WeightClass& b) {
        const auto total = [](const WeightClass& weight_class) {
          return weight_class.weights.accepting *
                 static_cast<double>(weight_class.end - weight_class.begin);
        };
        return total(a) > total(b);
      });
}

CandidateList CandidateIndex::Choose(uint64_t key, size_t accepting) const {
  const size_t count =
      std::clamp<size_t>(accepting, 1, kMaxAcceptingCandidates);
  Rankings rankings;
  rankings.new_flows.capacity = count + 1;
  rankings.owners.capacity = count + 1;
  rankings.previous.capacity = has_previous_ ? count : 0;
  for (const WeightClass& weight_class : classes_) {
    const uint64_t minimum = rankings.MinimumHash(weight_class.weights);
    const uint64_t likely =
        LikelyMinimumHash(weight_class.end - weight_class.begin);
    HighestHashes highest =
        FindHighest(seeds_, weight_class.begin, weight_class.end, key,
                    count + 1, std::max(minimum, likely));
    if (likely > minimum && highest.size <= count) {
      highest = FindHighest(seeds_, weight_class.begin, weight_class.end, key,
                            count + 1, minimum);
    }
    for (size_t index = 0; index < highest.size; ++index) {
      rankings.Insert(weight_class.weights, highest.hashes[index],
                      highest.positions[index], agents_);
    }
  }
  return BuildCandidateList(rankings, count, agents_, is_unhealthy_);
}

}  // namespace medlarwinch
