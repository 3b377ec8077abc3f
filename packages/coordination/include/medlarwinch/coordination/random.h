#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Source of random choices of the decisions; always passed in.
using Random = std::mt19937_64;

/// Returns up to `count` different elements of `candidates` in random order.
std::vector<Endpoint> PickRandom(std::vector<Endpoint> candidates, size_t count,
                                 Random& random);

/// Returns a time between half of `span` and `span`, so that processes that
/// failed together don't try again together.
Millis Jitter(Millis span, Random& random);

}  // namespace medlarwinch
