#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "medlarwinch/node/agent_registration.h"
#include "medlarwinch/platform/metadata_store.h"
#include "running_daemons.h"

namespace medlarwinch {
namespace {

constexpr size_t kLevels = 100'000;
constexpr size_t kLongBytes = 900'000;

struct OddEntry {
  std::string name;
  std::string content;
};

// Entries that another writer might leave among those of the agents.
std::vector<OddEntry> OddEntries() {
  return {
      {"deep", std::string(kLevels, '[') + std::string(kLevels, ']')},
      {"127.9.9.1-8172",
       R"({"relay":"127.9.9.1:8172","upstream_service":1e999})"},
      {"127.9.9.2-70000",
       R"({"relay":"127.9.9.2:70000","upstream_service":"probe-hub"})"},
      {"127.9.9.3-8172",
       "{\"relay\":\"127.9.9.3:8172\",\"upstream_service\":\"\xff\xfe\"}"},
      {"127.9.9.5-8172",
       R"({"relay":")" + std::string(kLongBytes, 'n') + R"("})"},
      {"127.9.9.4-99999999999",
       R"({"relay":"127.9.9.4:99999999999","upstream_service":"probe-hub"})"},
  };
}

struct DaemonsWithOddEntries : RunningDaemons {
  void PutOddEntries() {
    for (const OddEntry& entry : OddEntries()) {
      store.PutText(kAgentEntryKind, entry.name, entry.content);
      Run(std::chrono::milliseconds(100));
    }
  }

  // Returns true if the log of the process has a line with `text`.
  bool HasLogged(const std::string& process, const std::string& text) const {
    std::ifstream file(folder + "/" + process + ".log");
    std::stringstream log;
    log << file.rdbuf();
    return log.str().find(text) != std::string::npos;
  }

  bool HasValidEntry(const std::string& name) {
    platform::MetadataStore reader(loop, Endpoint{balancer_ip, kStorePort});
    std::optional<Result<StoredObject>> found;
    reader.Get(kAgentEntryKind, name,
               [&found](Result<StoredObject> result) { found = result; });
    while (!found.has_value()) Run(std::chrono::milliseconds(1));
    return IsOk(*found) && IsOk(DecodeAgentEntry(ValueOf(*found)));
  }

  // Starts an agent with an upstream at the address of the caller.
  void StartSecondAgent() {
    caller.reset();
    second_agent = Spawn("agent", "second-agent", caller_ip);
    BOOST_REQUIRE(IsOk(second_upstream.Start()));
  }

  std::unique_ptr<ChildProcess> second_agent;
  SimulatedUpstream second_upstream{
      loop,
      SimulatedUpstreamSettings{kHubService, "d1", caller_ip},
      RouteAddresses(kHubService),
      2,
      [](const std::string& what) { BOOST_ERROR(what); },
      [](const FlowTuple& /*flow*/) {}};
  const std::string second_name =
      AgentEntryName(Endpoint{caller_ip, kDatagramPort});
};

BOOST_FIXTURE_TEST_SUITE(OddStoreEntryTest, DaemonsWithOddEntries)

// Guards against a balancer that stops following the agents' entries, since one
// entry in a response of the store can't be decoded.
BOOST_AUTO_TEST_CASE(OddEntries_WrittenWhileRunning_LaterAgentIsFound) {
  PutOddEntries();
  StartSecondAgent();
  BOOST_TEST(RunUntil([this] {
    return HasLogged("balancer", "event=agent_listed agent=" + second_name);
  }));
  BOOST_TEST(!HasLogged("balancer", "event=store_lost watch=agents"));
  CheckBothReady();
}

// Guards against a balancer that never becomes ready, since one entry in its
// first listing can't be decoded.
BOOST_AUTO_TEST_CASE(OddEntries_WrittenBefore_StartedBalancerBecomesReady) {
  PutOddEntries();
  balancer.reset();
  balancer = Spawn("balancer", "second-balancer", balancer_ip);
  CheckBothReady();
  BOOST_TEST(HasLogged("second-balancer", "event=agents_listed agents=1"));
}

// Guards against an agent that balancers started later never find, since its
// entry was overwritten: running balancers kept the earlier entry and told the
// agent that it was listed.
BOOST_AUTO_TEST_CASE(OwnEntry_Overwritten_IsWrittenAgain) {
  const std::string name = AgentEntryName(Endpoint{agent_ip, kDatagramPort});
  for (const OddEntry& entry : OddEntries()) {
    store.PutText(kAgentEntryKind, name, entry.content);
    BOOST_TEST(RunUntil([&] { return HasValidEntry(name); }),
               entry.name << " stays");
  }
  CheckBothReady();
}

// Guards against one odd object among the configuration or the evacuations that
// keeps a balancer from following the others, or from becoming ready.
BOOST_AUTO_TEST_CASE(OddObjectsOfOtherKinds_OthersAreFollowed) {
  bounds["evacuate_ms"] = 1'000;
  uint64_t version = 1;
  uint64_t evacuated = 0;
  for (const OddEntry& odd : OddEntries()) {
    store.PutText("evacuations", odd.name, odd.content);
    store.Put("evacuations", "x" + odd.name, nlohmann::json::object());
    evacuated += 2;
    store.PutText("config", "x" + odd.name, odd.content);
    store.PutText("config", "main", odd.content);
    if (version == 1) {
      balancer.reset();
      balancer = Spawn("balancer", "second-balancer", balancer_ip);
    }
    Run(std::chrono::milliseconds(100));
    store.Put("config", "main", SoakConfiguration(++version, 0));
    BOOST_TEST(RunUntil([&] {
                 return Metric(balancer_ip,
                               "medlarwinch_balancer_configuration_version") ==
                            version &&
                        Metric(
                            balancer_ip,
                            "medlarwinch_balancer_failure_domains_evacuated") ==
                            evacuated;
               }),
               odd.name);
  }
  BOOST_TEST(HasLogged("second-balancer", "event=configuration_refused"));
  store.Remove("evacuations", OddEntries().front().name);
  BOOST_TEST(RunUntil([&] {
    return Metric(balancer_ip,
                  "medlarwinch_balancer_failure_domains_evacuated") ==
           evacuated - 1;
  }));
  CheckBothReady();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
