#include "medlarwinch/transport/log.h"

#include <limits.h>

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <sstream>

namespace medlarwinch {
namespace {

// Collects what is written to std::clog.
struct CapturedLog {
  CapturedLog() { InitLog(LogLevel::kInfo, "test"); }
  ~CapturedLog() { std::clog.rdbuf(original); }

  std::ostringstream text;
  std::streambuf* original = std::clog.rdbuf(text.rdbuf());
};

BOOST_FIXTURE_TEST_SUITE(LogTest, CapturedLog)

BOOST_AUTO_TEST_CASE(Value_Logged_IsQuotedIfNeeded) {
  Log(LogLevel::kInfo, "listed", {{"name", "a b\n\"c\""}, {"count", 4}});
  BOOST_TEST(text.str().find("process=test event=listed "
                             "name=\"a b\\n\\\"c\\\"\" count=4\n") !=
             std::string::npos);
}

// Guards against a line that does not fit into a pipe at once, of which the
// reader gets a part with the next line behind it: the name of an object of
// another writer is up to 1 MB long.
BOOST_AUTO_TEST_CASE(LongValue_Logged_LineIsWrittenAtOnce) {
  for (const char character : {'x', '"', '\n', '\xff'}) {
    text.str("");
    Log(LogLevel::kInfo, "refused",
        {{"message", std::string(1'000'000, character)}, {"revision", 4}});
    BOOST_TEST(text.str().size() < PIPE_BUF);
    BOOST_TEST((text.str().find("... revision=4\n") != std::string::npos ||
                text.str().find("...\" revision=4\n") != std::string::npos));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
