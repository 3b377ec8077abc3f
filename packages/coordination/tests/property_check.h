#pragma once

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>

namespace medlarwinch {

/// Checks a RapidCheck property. `body` uses the RC_ macros. The inputs are the
/// same on every run; see cmake/test_main.cc.
template <typename Body>
void CheckProperty(const char* description, const Body& body) {
  BOOST_TEST(rc::check(description, body));
}

/// Generates an integer from `low` to `high`, both included.
inline int64_t AnyNumber(int64_t low, int64_t high) {
  return *rc::gen::inRange<int64_t>(low, high + 1);
}

}  // namespace medlarwinch
