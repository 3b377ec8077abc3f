#include "medlarwinch/state/endpoint.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(EndpointParser)

// Guards against byte-order errors between the text and the value.
BOOST_AUTO_TEST_CASE(ValidText_ParsedAndFormatted_IsUnchanged) {
  const Result<Endpoint> endpoint = ParseEndpoint("127.0.1.2:7100");
  BOOST_REQUIRE(IsOk(endpoint));
  BOOST_TEST(ValueOf(endpoint).ip == 0x7f000102U);
  BOOST_TEST(ValueOf(endpoint).port == 7100);
  BOOST_TEST(ToString(ValueOf(endpoint)) == "127.0.1.2:7100");
}

// Guards against partially parsed addresses that are accepted.
BOOST_AUTO_TEST_CASE(MalformedText_Parsed_IsRefused) {
  for (const char* text : {"", "1.2.3:4", "1.2.3.4", "1.2.3.4:", "1.2.3.256:1",
                           "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:80x",
                           "localhost:80", "1..3.4:5", "-1.2.3.4:5"}) {
    BOOST_TEST(!IsOk(ParseEndpoint(text)), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
