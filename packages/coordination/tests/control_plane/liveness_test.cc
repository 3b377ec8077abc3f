#include <boost/test/unit_test.hpp>

#include "property_check.h"
#include "simulated_cluster.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kBalancers = 3;
// Maximum time until a dead member is withdrawn: fail_after plus the suspicion
// query.
constexpr Millis kWithdrawalTimeout{4'500};

// Starts three balancers and `agent_count` agents, and runs until they know
// each other.
SimulatedCluster StartCluster(uint64_t seed, uint32_t agent_count) {
  SimulatedCluster cluster(seed);
  for (uint32_t number = 1; number <= kBalancers; ++number) {
    cluster.AddBalancer(number);
  }
  for (uint32_t number = 1; number <= agent_count; ++number) {
    cluster.AddAgent(number);
  }
  cluster.Run(Millis{4'000});
  return cluster;
}

Endpoint AnyBalancer() {
  return SimulatedCluster::BalancerId(
      static_cast<uint32_t>(AnyNumber(1, kBalancers)));
}

BOOST_AUTO_TEST_SUITE(LivenessOfThreeBalancersAndAgents)

// Guards against a dead upstream that keeps its share of new flows.
BOOST_AUTO_TEST_CASE(AgentDies_TimePasses_WithdrawnInTimeEverywhere) {
  CheckProperty("a dead member is withdrawn in time", [] {
    SimulatedCluster cluster =
        StartCluster(static_cast<uint64_t>(AnyNumber(0, 1'000)), 3);
    cluster.Run(Millis{AnyNumber(0, 20) * 50});
    const Endpoint agent = SimulatedCluster::AgentId(2);
    cluster.dead.insert(agent);
    cluster.Run(kWithdrawalTimeout);
    for (uint32_t number = 1; number <= kBalancers; ++number) {
      RC_ASSERT(cluster.PhaseAt(number, agent) == MemberPhase::kFailed);
    }
    RC_ASSERT(cluster.Count("withdraw_balancer") == 0U);
  });
}

BOOST_AUTO_TEST_CASE(BalancerDies_TimePasses_WithdrawnInTime) {
  SimulatedCluster cluster = StartCluster(1, 1);
  cluster.dead.insert(SimulatedCluster::BalancerId(3));
  cluster.Run(kWithdrawalTimeout);
  BOOST_CHECK(cluster.PhaseAt(1, SimulatedCluster::BalancerId(3)) ==
              MemberPhase::kFailed);
  BOOST_CHECK(cluster.PhaseAt(2, SimulatedCluster::BalancerId(3)) ==
              MemberPhase::kFailed);
  BOOST_TEST(cluster.Count("withdraw_upstream") == 0U);
}

// Guards against resumed monitors that take the heartbeats missed during their
// own pause for failures of the upstreams. Monitors on one host may be paused
// together and then confirm each other's suspicions.
BOOST_AUTO_TEST_CASE(MonitorsPaused_Resumed_NoMemberWithdrawn) {
  CheckProperty("paused monitors withdraw no member", [] {
    SimulatedCluster cluster =
        StartCluster(static_cast<uint64_t>(AnyNumber(0, 1'000)), 3);
    const bool is_input_lost = AnyNumber(0, 1) == 0;
    const uint32_t count = static_cast<uint32_t>(AnyNumber(1, kBalancers));
    for (uint32_t number = 1; number <= count; ++number) {
      cluster.paused.insert(SimulatedCluster::BalancerId(number));
    }
    if (is_input_lost) {
      cluster.is_blocked = [&cluster](const Endpoint&, const Endpoint& to) {
        return cluster.paused.count(to) > 0;
      };
    }
    cluster.Run(Millis{AnyNumber(1, 200) * 50});
    cluster.paused.clear();
    cluster.Run(Millis{6'000});
    RC_ASSERT(cluster.Count("withdraw_upstream") == 0U);
    // A paused monitor may have been recorded as failed; it refutes that after
    // it resumes.
    for (uint32_t number = 1; number <= kBalancers; ++number) {
      for (uint32_t other = 1; other <= kBalancers; ++other) {
        RC_ASSERT(cluster.PhaseAt(number, SimulatedCluster::BalancerId(
                                              other)) == MemberPhase::kReady);
      }
    }
  });
}

// Guards against healthy upstreams that are withdrawn because a monitor is
// dead, partitioned, or loses messages.
BOOST_AUTO_TEST_CASE(
    MonitorDeadOrPartitioned_TimePasses_NoHealthyUpstreamWithdrawn) {
  CheckProperty("a minority withdraws no member", [] {
    SimulatedCluster cluster =
        StartCluster(static_cast<uint64_t>(AnyNumber(0, 1'000)), 3);
    const Endpoint isolated = AnyBalancer();
    cluster.loss_percent = 5;
    cluster.duplicate_percent = 20;
    if (AnyNumber(0, 1) == 0) {
      cluster.dead.insert(isolated);
    } else {
      cluster.is_blocked = [isolated](const Endpoint& from,
                                      const Endpoint& to) {
        return from == isolated || to == isolated;
      };
    }
    cluster.Run(Millis{15'000});
    RC_ASSERT(cluster.Count("withdraw_upstream") == 0U);
  });
}

// Guards against two sides of a partition that do not merge after it heals.
BOOST_AUTO_TEST_CASE(BalancerPartitioned_PartitionHeals_AllReadyAgain) {
  SimulatedCluster cluster = StartCluster(7, 2);
  const Endpoint isolated = SimulatedCluster::BalancerId(2);
  cluster.is_blocked = [isolated](const Endpoint& from, const Endpoint& to) {
    return from == isolated || to == isolated;
  };
  cluster.Run(Millis{20'000});
  BOOST_CHECK(cluster.PhaseAt(1, isolated) == MemberPhase::kFailed);
  cluster.is_blocked = nullptr;
  cluster.Run(Millis{15'000});
  for (uint32_t number = 1; number <= kBalancers; ++number) {
    for (uint32_t other = 1; other <= kBalancers; ++other) {
      BOOST_CHECK(cluster.PhaseAt(number, SimulatedCluster::BalancerId(
                                              other)) == MemberPhase::kReady);
    }
  }
  BOOST_TEST(cluster.Count("withdraw_upstream") == 0U);
}

// Guards against two sides of a partition that have recorded each other as
// failed and therefore never exchange messages again.
BOOST_AUTO_TEST_CASE(FourBalancersSplit_PartitionHeals_AllReadyAgain) {
  SimulatedCluster cluster = StartCluster(8, 1);
  cluster.AddBalancer(4);
  cluster.Run(Millis{4'000});
  cluster.is_blocked = [](const Endpoint& from, const Endpoint& to) {
    return (from.ip <= 2) != (to.ip <= 2);
  };
  cluster.Run(Millis{20'000});
  for (uint32_t number = 1; number <= 4; ++number) {
    for (uint32_t other = 1; other <= 4; ++other) {
      const bool is_same_side = (number <= 2) == (other <= 2);
      BOOST_CHECK(
          cluster.PhaseAt(number, SimulatedCluster::BalancerId(other)) ==
          (is_same_side ? MemberPhase::kReady : MemberPhase::kFailed));
    }
  }
  cluster.is_blocked = nullptr;
  cluster.Run(Millis{25'000});
  for (uint32_t number = 1; number <= 4; ++number) {
    for (uint32_t other = 1; other <= 4; ++other) {
      BOOST_CHECK(cluster.PhaseAt(number, SimulatedCluster::BalancerId(
                                              other)) == MemberPhase::kReady);
    }
  }
}

// Guards against an upstream that is withdrawn because its network paths to
// some, but not all, monitors are broken.
BOOST_AUTO_TEST_CASE(TwoPathsBroken_TimePasses_DenialKeepsMember) {
  for (uint32_t broken = 1; broken <= 2; ++broken) {
    SimulatedCluster cluster = StartCluster(3, 2);
    const Endpoint agent = SimulatedCluster::AgentId(1);
    cluster.is_blocked = [=](const Endpoint& from, const Endpoint& to) {
      return from == agent && to.ip <= broken;
    };
    cluster.Run(Millis{20'000});
    BOOST_TEST(cluster.Count("withdraw_upstream") == 0U);
    BOOST_CHECK(cluster.PhaseAt(1, agent) == MemberPhase::kReady);
  }
}

// Guards against a service that is left with a few overloaded upstreams, and
// against a refused withdrawal that the account does not explain.
BOOST_AUTO_TEST_CASE(MostAgentsDie_TimePasses_HalfStayInUseAsDoubtful) {
  SimulatedCluster cluster = StartCluster(5, 7);
  for (uint32_t number = 1; number <= 5; ++number) {
    cluster.dead.insert(SimulatedCluster::AgentId(number));
  }
  cluster.Run(Millis{10'000});
  const BalancerControl& state =
      cluster.balancers.at(SimulatedCluster::BalancerId(1));
  size_t failed = 0;
  for (uint32_t number = 1; number <= 5; ++number) {
    const Endpoint agent = SimulatedCluster::AgentId(number);
    if (cluster.PhaseAt(1, agent) == MemberPhase::kFailed) ++failed;
  }
  BOOST_TEST(failed == 3U);
  BOOST_TEST(state.doubtful.size() == 2U);
  // Each monitor records each refusal in the account once.
  BOOST_TEST(cluster.Count("refuse_withdrawal") == 2U * kBalancers);
  for (const Decision& decision : cluster.decisions) {
    if (decision.entry.action != "refuse_withdrawal") continue;
    BOOST_TEST(decision.is_accounted);
    BOOST_TEST(decision.entry.reason.path == "health.max_withdrawn_percent");
    BOOST_TEST(decision.entry.reason.facts.count("failed_slots") == 1U);
  }
}

// Guards against ignoring the health.fail_after_ms of a service's document.
BOOST_AUTO_TEST_CASE(
    DocumentWithLongerFailAfter_AgentDies_WithdrawnOnlyAfterIt) {
  SimulatedCluster cluster = StartCluster(5, 2);
  HealthPolicy policy;
  policy.fail_after = Millis{8'000};
  for (auto& [id, state] : cluster.balancers) {
    state.policies["probe-hub"] = VersionedHealthPolicy{4, policy};
  }
  cluster.dead.insert(SimulatedCluster::AgentId(1));
  cluster.Run(Millis{6'500});
  BOOST_TEST(cluster.Count("withdraw_upstream") == 0U);
  cluster.Run(Millis{3'000});
  BOOST_REQUIRE(cluster.Count("withdraw_upstream") > 0U);
  for (const Decision& decision : cluster.decisions) {
    if (decision.entry.action != "withdraw_upstream") continue;
    BOOST_TEST(decision.entry.reason.document == "probe-hub");
    BOOST_TEST(decision.entry.reason.document_version == 4U);
    BOOST_TEST(decision.entry.reason.path == "health.fail_after_ms");
  }
}

// Guards against a paused agent that stays withdrawn after it resumes.
BOOST_AUTO_TEST_CASE(AgentPaused_Resumed_RaisesIncarnationAndReturns) {
  SimulatedCluster cluster = StartCluster(9, 3);
  const Endpoint agent = SimulatedCluster::AgentId(1);
  cluster.paused.insert(agent);
  cluster.Run(Millis{8'000});
  BOOST_CHECK(cluster.PhaseAt(1, agent) == MemberPhase::kFailed);
  cluster.paused.clear();
  cluster.Run(Millis{3'000});
  for (uint32_t number = 1; number <= kBalancers; ++number) {
    BOOST_CHECK(cluster.PhaseAt(number, agent) == MemberPhase::kReady);
  }
  BOOST_TEST(cluster.agents.at(agent).self.version.incarnation == 1U);
}

// Guards against a monitor that lost its state, or missed the full entry of a
// restarted agent, and completes a brief heartbeat from a missing or outdated
// entry.
BOOST_AUTO_TEST_CASE(
    MonitorLostEntryOrHasOldBoot_HeartbeatsArrive_EntryIsComplete) {
  SimulatedCluster cluster = StartCluster(6, 2);
  const Endpoint agent = SimulatedCluster::AgentId(1);
  BalancerControl& first =
      cluster.balancers.at(SimulatedCluster::BalancerId(1));
  BalancerControl& second =
      cluster.balancers.at(SimulatedCluster::BalancerId(2));
  first.table.members.erase(agent);
  second.table.members.at(agent).entry.version.boot -= 1;
  second.table.members.at(agent).entry.service = "report-desk";
  cluster.Run(Millis{3'000});
  BOOST_TEST(first.table.members.at(agent).entry.service == "probe-hub");
  BOOST_TEST(second.table.members.at(agent).entry.service == "probe-hub");
}

// Guards against agents that do not get the roster and the mean of their
// service.
BOOST_AUTO_TEST_CASE(AgentsStarted_TimePasses_KnowMonitorsRosterAndMean) {
  const SimulatedCluster cluster = StartCluster(2, 4);
  for (const auto& [id, agent] : cluster.agents) {
    BOOST_TEST(agent.monitors.size() == kBalancers);
    BOOST_TEST(agent.roster.size() == 4U);
    BOOST_TEST(agent.mean_flows_per_slot == 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
