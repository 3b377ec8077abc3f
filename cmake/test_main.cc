// Entry point of every test program; the test files register themselves.
#define BOOST_TEST_MODULE medlarwinch
#include <boost/test/unit_test.hpp>
