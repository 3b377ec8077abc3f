#include "medlarwinch/transport/account_json.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(AccountJson)

BOOST_AUTO_TEST_CASE(Entry_FormattedAndParsed_IsUnchanged) {
  const AccountEntry entry{TimePoint{1'700'000'000'123},
                           "balancer/127.0.1.1:7100",
                           "withdraw_upstream",
                           "probe-hub",
                           "10.2.0.1:9000",
                           Reason{"missed_heartbeats",
                                  "probe-hub",
                                  12,
                                  "health.fail_after_ms",
                                  {{"heartbeat_age_ms", "3120\n\"x\""}}}};
  const std::string line = FormatAccountLine(entry);
  BOOST_TEST(line.find('\n') == std::string::npos);
  const Result<AccountEntry> parsed = ParseAccountLine(line);
  BOOST_REQUIRE(IsOk(parsed));
  BOOST_CHECK(ValueOf(parsed) == entry);
}

// Guards against invalid UTF-8 in a fact, which would stop the account from
// being written.
BOOST_AUTO_TEST_CASE(InvalidUtf8AndLongText_Formatted_AreReplacedAndTruncated) {
  AccountEntry entry;
  entry.subject = "\xff\xfe";
  entry.reason.facts["text"] = std::string(5'000, 'x');
  const std::string line = FormatAccountLine(entry);
  BOOST_TEST(line.size() < 1'000U);
  BOOST_CHECK(IsOk(ParseAccountLine(line)));
}

BOOST_AUTO_TEST_CASE(InvalidText_Parsed_IsRejected) {
  for (const char* text : {"", "{", "[]", "{\"time_ms\":\"x\"}", "null"}) {
    BOOST_CHECK(!IsOk(ParseAccountLine(text)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
