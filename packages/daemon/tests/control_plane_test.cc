#include "medlarwinch/daemon/control_plane.h"

#include <boost/test/unit_test.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <thread>

#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {
namespace {

constexpr Endpoint kAnyPort{0x7f000001, 0};

bool WaitFor(Millis limit, const std::function<bool()>& condition) {
  for (int64_t waited = 0; waited < limit.value; waited += 10) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return condition();
}

// Daemons of one deployment in this process, on loopback addresses.
struct Deployment {
  Settings MakeSettings() const {
    Settings settings;
    settings.failure_domain = "catania";
    settings.control = kAnyPort;
    for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
      settings.peers.push_back(balancer->view()->self.id);
    }
    return settings;
  }

  std::unique_ptr<ControlPlane> Start(const Settings& settings,
                                      MemberKind kind) {
    ControlPlaneHooks hooks;
    hooks.load = [this] { return load; };
    hooks.account = [this](const AccountEntry& entry) {
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

  bool AllSeeAgents(size_t count) const {
    for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
      if (CountReady(*balancer, MemberKind::kAgent) != count) return false;
    }
    return true;
  }

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

// Guards against a control plane whose parts don't find each other.
BOOST_AUTO_TEST_CASE(TwoAgentsStarted_ViewsRead_ShowMembersRosterAndMean) {
  StartBalancers(3);
  StartAgents(2);
  BOOST_TEST(WaitFor(Millis{5'000}, [this] { return AllSeeAgents(2); }));
  for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
    BOOST_TEST(WaitFor(Millis{5'000}, [&] {
      return CountReady(*balancer, MemberKind::kBalancer) == 3;
    }));
    BOOST_TEST(WaitFor(Millis{5'000}, [&] {
      return balancer->view()->means.count("probe-hub") == 1;
    }));
  }
  for (const std::unique_ptr<ControlPlane>& agent : agents) {
    BOOST_TEST(WaitFor(Millis{5'000}, [&] {
      const std::shared_ptr<const ControlView> view = agent->view();
      return view->roster.size() == 2 && view->means.count("probe-hub") == 1 &&
             view->means.at("probe-hub") == 100 && view->key_ring_version > 0;
    }));
  }
}

// Guards against a document that reaches only the balancers that watch.
BOOST_AUTO_TEST_CASE(DocumentWritten_ViewsRead_InForceEverywhere) {
  StartBalancers(3);
  StartAgents(1);
  PlatformClient client(PlatformClientOptions{});
  const Result<uint64_t> version =
      client.Put("config/probe-hub", "service: probe-hub\n", 0, "test");
  BOOST_REQUIRE(IsOk(version));
  const auto has_document = [&](const std::unique_ptr<ControlPlane>& plane) {
    const std::shared_ptr<const ControlView> view = plane->view();
    const auto found = view->documents.find("probe-hub");
    return found != view->documents.end() &&
           found->second.version == ValueOf(version);
  };
  for (const std::unique_ptr<ControlPlane>& balancer : balancers) {
    BOOST_TEST(WaitFor(Millis{5'000}, [&] { return has_document(balancer); }));
  }
  BOOST_TEST(WaitFor(Millis{5'000}, [&] { return has_document(agents[0]); }));
}

// Guards against a dead agent that stays in service, and against a withdrawal
// that is not accounted for.
BOOST_AUTO_TEST_CASE(AgentKilled_ViewsRead_WithdrawnWithReason) {
  StartBalancers(3);
  StartAgents(3);
  BOOST_REQUIRE(WaitFor(Millis{5'000}, [this] { return AllSeeAgents(3); }));
  const Endpoint killed = agents.back()->view()->self.id;
  agents.pop_back();
  BOOST_TEST(WaitFor(Millis{6'000}, [this] { return AllSeeAgents(2); }));
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
