// Entry point of every test program; test cases register themselves.
#define BOOST_TEST_MODULE medlarwinch
#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace {

// Sets a fixed seed, so that RapidCheck properties use the same inputs on every
// run. RapidCheck reads its parameters only from the environment; set RC_PARAMS
// to use a different seed.
[[maybe_unused]] const int kSeedIsSet = setenv("RC_PARAMS", "seed=20261204", 0);

}  // namespace
