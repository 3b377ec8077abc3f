#include "medlarwinch/coordination/shared/random.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {

std::vector<Endpoint> PickRandom(std::vector<Endpoint> candidates, size_t count,
                                 Random& random) {
  const size_t picked = std::min(count, candidates.size());
  for (size_t index = 0; index < picked; ++index) {
    const size_t other = index + random() % (candidates.size() - index);
    std::swap(candidates[index], candidates[other]);
  }
  candidates.resize(picked);
  return candidates;
}

Millis Jitter(Millis span, Random& random) {
  const int64_t half = std::max<int64_t>(span.value / 2, 1);
  const uint64_t extra = random() % static_cast<uint64_t>(half + 1);
  return Millis{half + static_cast<int64_t>(extra)};
}

}  // namespace medlarwinch
