#include "medlarwinch/daemon/control_plane.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>

#include "fake_platform.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

const Endpoint kAnyPort{ProcessLoopbackIp(), 0};
constexpr char kDocument[] =
    "service: probe-hub\nowner: feeds\naddresses: [\"10.1.0.1:443\"]\n";

bool WaitFor(Millis limit, const std::function<bool()>& condition) {
  for (int64_t waited = 0; waited < limit.value; waited += 10) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

// Daemons of one deployment, all in this process on loopback addresses.
struct Deployment {
  Settings MakeSettings() const {
    Settings settings;
    settings.failure_domain = "catania";
    settings.control = kAnyPort;
    settings.platform = platform.Options().server;
    settings.platform_calls_per_second = 50;
    for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
      settings.peers.push_back(balancer->view()->self.id);
    }
    return settings;
  }

  std::unique_ptr<ControlPlane> Start(const Settings& settings,
                                      MemberKind kind) {
    ControlPlaneHooks hooks;
    hooks.load = [this] { return load; };
    hooks.record_account_entry = [this](const AccountEntry& entry) {
      const std::lock_guard<std::mutex> lock(mutex);
      account.push_back(entry);
    };
    Result<std::unique_ptr<ControlPlane>> started =
        ControlPlane::Start(system, settings, kind, hooks, metrics);
    BOOST_REQUIRE(IsOk(started));
    std::unique_ptr<ControlPlane> plane = TakeValue(std::move(started));
    plane->SetPhase(MemberPhase::kReady);
    return plane;
  }

  void StartBalancers(int count) {
    for (int index = 0; index < count; ++index) {
      balancers.push_back(Start(MakeSettings(), MemberKind::kBalancer));
    }
  }

  void StartAgents(int count) {
    for (int index = 0; index < count; ++index) {
      Settings settings = MakeSettings();
      settings.data =
          Endpoint{0x7f000001, static_cast<uint16_t>(9'000 + index)};
      settings.agent = AgentSettings{"probe-hub", 4, settings.data};
      agents.push_back(Start(settings, MemberKind::kAgent));
    }
  }

  size_t CountReady(const ControlPlane& plane, MemberKind kind) const {
    size_t ready = 0;
    for (const auto& [id, entry] : plane.view()->members) {
      if (entry.kind == kind && entry.version.phase == MemberPhase::kReady) {
        ++ready;
      }
    }
    return ready;
  }

  bool AllBalancersSeeAgents(size_t count) const {
    for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
      if (CountReady(*balancer, MemberKind::kAgent) != count) return false;
    }
    return true;
  }

  // Returns the version of the service's active document; 0 if there is none.
  static uint64_t DocumentVersion(const ControlPlane& plane) {
    const std::shared_ptr<const ControlView> view = plane.view();
    const auto found = view->documents.find("probe-hub");
    return found == view->documents.end() ? 0 : found->second.version;
  }

  bool AllHaveDocument(uint64_t version) const {
    for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
      if (DocumentVersion(*balancer) != version) return false;
    }
    for (const std::unique_ptr<ControlPlane>& agent : agents) {
      if (DocumentVersion(*agent) != version) return false;
    }
    return true;
  }

  size_t CountAccountEntries(const std::string& action) {
    const std::lock_guard<std::mutex> lock(mutex);
    return static_cast<size_t>(std::count_if(
        account.begin(), account.end(),
        [&](const AccountEntry& e) { return e.action == action; }));
  }

  FakePlatform platform;
  UpstreamLoad load{400, 0, 0, 0};
  Metrics metrics;
  std::mutex mutex;
  std::vector<AccountEntry> account;
  caf::actor_system_config config;
  caf::actor_system system{config};
  std::vector<std::unique_ptr<ControlPlane>> balancers;
  std::vector<std::unique_ptr<ControlPlane>> agents;
};

BOOST_FIXTURE_TEST_SUITE(DeploymentOfThreeBalancers, Deployment)

// Guards against balancers and agents that don't discover each other.
BOOST_AUTO_TEST_CASE(TwoAgentsStarted_ViewsRead_ShowMembersRosterAndMean) {
  StartBalancers(3);
  StartAgents(2);
  BOOST_TEST(
      WaitFor(Millis{5'000}, [this] { return AllBalancersSeeAgents(2); }));
  for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
    BOOST_TEST(WaitFor(Millis{5'000}, [&] {
      return CountReady(*balancer, MemberKind::kBalancer) == 3;
    }));
    BOOST_TEST(WaitFor(Millis{5'000}, [&] {
      return balancer->view()->mean_flows_per_slot.count("probe-hub") == 1;
    }));
  }
  for (const std::unique_ptr<ControlPlane>& agent : agents) {
    BOOST_TEST(WaitFor(Millis{5'000}, [&] {
      const std::shared_ptr<const ControlView> view = agent->view();
      return view->roster.size() == 2 &&
             view->mean_flows_per_slot.count("probe-hub") == 1 &&
             view->mean_flows_per_slot.at("probe-hub") == 100 &&
             view->key_ring_version > 0;
    }));
  }
}

// Guards against a document that reaches only the balancers that watch the
// platform, and against an invalid document that replaces the valid one.
BOOST_AUTO_TEST_CASE(DocumentsWritten_ViewsRead_LastValidIsInForce) {
  StartBalancers(3);
  StartAgents(1);
  platform.Set("config/probe-hub", kDocument);
  BOOST_TEST(WaitFor(Millis{5'000}, [this] { return AllHaveDocument(1); }));
  platform.Set("config/probe-hub", "service: [");
  BOOST_TEST(WaitFor(Millis{5'000}, [this] {
    return CountAccountEntries("reject_record") > 0;
  }));
  BOOST_TEST(AllHaveDocument(1));
  platform.Set("config/probe-hub", kDocument);
  BOOST_TEST(WaitFor(Millis{5'000}, [this] { return AllHaveDocument(3); }));
}

// Guards against a new daemon that needs the platform to learn the documents.
BOOST_AUTO_TEST_CASE(PlatformDown_NewDaemonsStarted_LearnFromPeers) {
  platform.Set("config/probe-hub", kDocument);
  StartBalancers(1);
  BOOST_REQUIRE(WaitFor(Millis{5'000}, [this] { return AllHaveDocument(1); }));
  platform.SetDown(true);
  StartBalancers(2);
  StartAgents(1);
  BOOST_TEST(WaitFor(Millis{5'000}, [this] { return AllHaveDocument(1); }));
}

// Guards against daemons that find each other only through the peers in their
// settings.
BOOST_AUTO_TEST_CASE(NoPeersInSettings_Started_FindEachOtherByBootstrapList) {
  for (int index = 0; index < 2; ++index) {
    Settings settings = MakeSettings();
    settings.peers.clear();
    balancers.push_back(Start(settings, MemberKind::kBalancer));
    BOOST_REQUIRE(WaitFor(Millis{15'000}, [this] {
      return platform.Find("bootstrap/catania").version > 0;
    }));
  }
  for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
    BOOST_TEST(WaitFor(Millis{15'000}, [&] {
      return CountReady(*balancer, MemberKind::kBalancer) == 2;
    }));
  }
}

// Guards against a dead agent that stays in service, and against a withdrawal
// that is missing from the account.
BOOST_AUTO_TEST_CASE(AgentKilled_ViewsRead_WithdrawnWithReason) {
  StartBalancers(3);
  StartAgents(3);
  BOOST_REQUIRE(
      WaitFor(Millis{5'000}, [this] { return AllBalancersSeeAgents(3); }));
  const Endpoint killed = agents.back()->view()->self.id;
  agents.pop_back();
  BOOST_TEST(
      WaitFor(Millis{6'000}, [this] { return AllBalancersSeeAgents(2); }));
  const std::lock_guard<std::mutex> lock(mutex);
  size_t withdrawals = 0;
  for (const AccountEntry& entry : account) {
    if (entry.action != "withdraw_upstream") continue;
    ++withdrawals;
    BOOST_TEST(entry.subject == ToString(killed));
    BOOST_TEST(entry.reason.rule == "missed_heartbeats");
  }
  BOOST_TEST(withdrawals >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
