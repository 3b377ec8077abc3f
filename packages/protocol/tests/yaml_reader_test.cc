#include "medlarwinch/protocol/yaml_reader.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(StrictYamlReader)

BOOST_AUTO_TEST_CASE(ValidText_Read_HasValues) {
  YamlReader reader("f.yaml", "a: 3\nb:\n  c: x\nd: [\"127.0.0.1:1\"]\n");
  BOOST_TEST(reader.Integer("a", 0, 0, 10) == 3);
  YamlReader section = reader.Section("b");
  BOOST_TEST(section.RequiredString("c") == "x");
  BOOST_TEST(reader.Endpoints("d").size() == 1U);
  BOOST_CHECK(IsOk(reader.Finish()));
}

// Guards against error messages without the line, the path or the allowed
// values.
BOOST_AUTO_TEST_CASE(ErrorsInSection_Finished_NamesLinePathAndAllowed) {
  YamlReader reader("f.yaml", "limits:\n  max_flow: 3\n  rate: 900\n");
  YamlReader section = reader.Section("limits");
  section.Integer("max_flows", 1, 1, 10);
  section.Integer("rate", 1, 1, 10);
  const Result<Ok> result = reader.Finish();
  BOOST_REQUIRE(!IsOk(result));
  BOOST_TEST(ErrorOf(result).message ==
             "f.yaml:3: limits.rate: expected a whole number from 1 to 10\n"
             "f.yaml:2: limits.max_flow: unknown field; the nearest known name "
             "is 'max_flows'");
}

BOOST_AUTO_TEST_CASE(InvalidSyntax_Finished_NamesLine) {
  YamlReader reader("f.yaml", "a: 1\nb: [1, 2\n");
  const Result<Ok> result = reader.Finish();
  BOOST_REQUIRE(!IsOk(result));
  BOOST_TEST(ErrorOf(result).message.rfind("f.yaml:", 0) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
