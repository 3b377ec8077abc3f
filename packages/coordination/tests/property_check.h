#pragma once

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>

namespace medlarwinch {

/// Checks a property with inputs that are the same on every run, unless
/// RC_PARAMS sets others. `body` uses the RC_ macros.
template <typename Body>
void CheckProperty(const char* description, const Body& body) {
  // RapidCheck reads its parameters from the environment only, at first use.
  setenv("RC_PARAMS", "seed=20261204", 0);
  BOOST_TEST(rc::check(description, body));
}

/// A whole number from `low` to `high`.
inline int64_t AnyNumber(int64_t low, int64_t high) {
  return *rc::gen::inRange<int64_t>(low, high + 1);
}

}  // namespace medlarwinch
