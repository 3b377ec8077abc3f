#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/shared/store_watch_policy.h"
#include "medlarwinch/platform_side/tcp_proxy.h"
#include "running_daemons.h"

namespace medlarwinch {
namespace {

constexpr uint16_t kStoreProxyPort = 8168;
constexpr const char* kVersionMetric =
    "medlarwinch_balancer_configuration_version";
constexpr const char* kEvacuatedMetric =
    "medlarwinch_balancer_failure_domains_evacuated";
// A VM counts as undisturbed this long after its connections went silent. From
// then on a new configuration must be in force, if it is older than its bound
// of 3 s.
constexpr Millis kStabilityWindow{4'000};
// The same for evacuations, with which the window is longer.
constexpr Millis kEvacuationBound{5'000};
// Longer than the configuration's watch leaves its connection unused.
constexpr Millis kIdle{4'500};

// A balancer and an agent that reach the store through a proxy, in a deployment
// with evacuations.
struct DaemonsBehindProxy : RunningDaemons {
  DaemonsBehindProxy() {
    balancer.reset();
    agent.reset();
    bounds["evacuate_ms"] = 5'000;
    store_port = kStoreProxyPort;
    balancer = Spawn("balancer", "proxied-balancer", balancer_ip);
    agent = Spawn("agent", "proxied-agent", agent_ip);
    CheckBothReady();
  }

  // Writes the next version and waits until it is in force: the watch of the
  // configuration then begins its whole wait.
  void ChangeConfiguration() {
    WriteConfiguration();
    BOOST_REQUIRE(RunUntil([this] { return IsConfigurationInForce(); }));
    Wait(kConfigurationCoalescingDelay);
  }

  // Runs the store's timers too, which end the long polls.
  void Wait(Millis duration) {
    RunUntil([] { return false; }, duration);
  }

  void WriteConfiguration() {
    store.Put("config", "main", SoakConfiguration(++version, 0));
  }

  bool IsConfigurationInForce() {
    return Metric(balancer_ip, kVersionMetric) == version;
  }

  bool IsEvacuationInForce() {
    return Metric(balancer_ip, kEvacuatedMetric) == 1;
  }

  TcpProxy proxy{loop, Endpoint{balancer_ip, kStoreProxyPort},
                 Endpoint{balancer_ip, kStorePort}};
  uint64_t version = 1;
};

BOOST_FIXTURE_TEST_SUITE(SilentConnectionTest, DaemonsBehindProxy)

// Guards against an evacuation that takes effect only when the long poll of its
// watch ends: idle connections had gone silent, while the configuration's
// watch, which would have shown it, used its own connection often enough.
BOOST_AUTO_TEST_CASE(IdleConnectionsSilent_Evacuation_IsInForceInTime) {
  Wait(kIdle + Millis{500});
  // The watch of the evacuations may have no connection that is idle for so
  // long; then nothing can go silent here.
  BOOST_TEST_MESSAGE("silent connections: " << proxy.Silence(kIdle));
  store.Put("evacuations", "d9", nlohmann::json::object());
  BOOST_TEST(
      RunUntil([this] { return IsEvacuationInForce(); }, kEvacuationBound));
}

// Guards against changes that are read too late after the connections of all
// watches have gone silent at the beginning of their waits.
BOOST_AUTO_TEST_CASE(AllConnectionsSilent_Changes_AreInForceInTime) {
  ChangeConfiguration();
  BOOST_TEST(proxy.Silence(Millis{0}) > 0U);
  const TimePoint silent_since = MonotonicNow();
  WriteConfiguration();
  store.Put("evacuations", "d9", nlohmann::json::object());
  BOOST_TEST(
      RunUntil([this] { return IsConfigurationInForce(); }, kStabilityWindow));
  BOOST_TEST(RunUntil([this] { return IsEvacuationInForce(); },
                      silent_since + kEvacuationBound - MonotonicNow()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
