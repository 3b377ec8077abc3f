#include "medlarwinch/cli/command_line.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fake_platform.h"

namespace medlarwinch {
namespace {

struct CommandLineFixture {
  CommandLineFixture() {
    unsetenv("MEDLARWINCH_PLATFORM");
    unsetenv("MEDLARWINCH_ADMIN");
  }

  int Run(const std::vector<std::string>& arguments) {
    out.str("");
    err.str("");
    return RunCommandLine(arguments, out, err);
  }
  // Runs a command against the fake platform.
  int RunOnPlatform(std::vector<std::string> arguments) {
    arguments.push_back("--platform");
    arguments.push_back(ToString(platform.Options().server));
    arguments.push_back("--timeout-ms");
    arguments.push_back("300");
    return Run(arguments);
  }

  FakePlatform platform;
  std::ostringstream out;
  std::ostringstream err;
};

BOOST_FIXTURE_TEST_SUITE(CommandLine, CommandLineFixture)

// Usage errors need an exit code of their own, so that a script does not
// mistake an invalid call for a negative result.
BOOST_AUTO_TEST_CASE(WrongArguments_Run_ExitWithUsage) {
  const std::vector<std::vector<std::string>> wrong = {
      {},
      {"unknown"},
      {"get"},
      {"get", "probe-hub"},
      {"get", "probe-hub", "--platform", "localhost"},
      {"get", "probe-hub", "--bogus"},
      {"drain", "probe-hub", "10.2.0.1"},
      {"explain", "x", "--at", "noon"},
      {"explain", "x", "--at", "12:00", "--since", "12:00"},
      {"status", "--output", "xml"},
      {"keys"}};
  for (const std::vector<std::string>& arguments : wrong) {
    BOOST_TEST(Run(arguments) == 2);
    BOOST_TEST(!err.str().empty());
  }
}

BOOST_AUTO_TEST_CASE(EachCommand_Help_ShowsExample) {
  for (const char* command : {"validate", "apply", "get", "history", "status",
                              "drain", "metrics", "explain", "plot"}) {
    BOOST_TEST(Run({command, "--help"}) == 0);
    BOOST_CHECK_MESSAGE(out.str().find("Example:") != std::string::npos,
                        command);
  }
  BOOST_TEST(Run({"keys", "rotate", "--help"}) == 0);
}

BOOST_AUTO_TEST_CASE(PlatformResult_Run_DeterminesExitCode) {
  BOOST_TEST(RunOnPlatform({"get", "probe-hub"}) == 1);
  BOOST_TEST(err.str() ==
             "medlarwinch get: not_found: config/probe-hub: there is no such "
             "object\n");
  platform.Set("config/probe-hub", "text\n");
  BOOST_TEST(RunOnPlatform({"get", "probe-hub"}) == 0);
  BOOST_TEST(out.str() == "# config/probe-hub version 1\ntext\n");
  platform.SetDown(true);
  BOOST_TEST(RunOnPlatform({"get", "probe-hub"}) == 4);
}

// Failures must be reported as valid JSON too.
BOOST_AUTO_TEST_CASE(JsonOutput_Run_PrintsJson) {
  BOOST_TEST(RunOnPlatform({"get", "probe-hub", "--output", "json"}) == 1);
  BOOST_TEST(nlohmann::json::parse(out.str())["error"]["code"] == "not_found");
  BOOST_TEST(RunOnPlatform({"keys", "rotate", "--output", "json"}) == 0);
  BOOST_TEST(nlohmann::json::parse(out.str())["current_epoch"] == 1);
  BOOST_TEST(Run({"validate", "/nonexistent", "--output", "json"}) == 1);
  BOOST_TEST(nlohmann::json::parse(out.str())["error"]["command"] ==
             "validate");
}

// MEDLARWINCH_PLATFORM sets the platform when --platform is not given.
BOOST_AUTO_TEST_CASE(PlatformInEnvironment_Run_IsUsed) {
  setenv("MEDLARWINCH_PLATFORM", ToString(platform.Options().server).c_str(),
         1);
  platform.Set("config/probe-hub", "text\n");
  BOOST_TEST(Run({"get", "probe-hub"}) == 0);
  unsetenv("MEDLARWINCH_PLATFORM");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
