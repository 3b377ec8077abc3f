#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Random number generator. Decision functions take it as a parameter, so that
/// their results are reproducible.
using Random = std::mt19937_64;

/// Returns up to `count` distinct elements of `candidates` in random order.
std::vector<Endpoint> PickRandom(std::vector<Endpoint> candidates, size_t count,
                                 Random& random);

/// Returns a random time between half of `span` and `span`, so that processes
/// that failed together do not retry together.
Millis Jitter(Millis span, Random& random);

}  // namespace medlarwinch
