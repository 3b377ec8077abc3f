#include <boost/test/unit_test.hpp>

#include "property_check.h"
#include "simulated_cluster.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kBalancers = 3;
// Time within which a dead member must be withdrawn: fail_after and the query.
constexpr Millis kWithdrawalTimeout{4'500};

// Three balancers and `agent_count` agents that know each other.
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
BOOST_AUTO_TEST_CASE(AgentDies_TimePasses_WithdrawnWithinBoundEverywhere) {
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

BOOST_AUTO_TEST_CASE(BalancerDies_TimePasses_WithdrawnWithinBound) {
  SimulatedCluster cluster = StartCluster(1, 1);
  cluster.dead.insert(SimulatedCluster::BalancerId(3));
  cluster.Run(kWithdrawalTimeout);
  BOOST_CHECK(cluster.PhaseAt(1, SimulatedCluster::BalancerId(3)) ==
              MemberPhase::kFailed);
  BOOST_CHECK(cluster.PhaseAt(2, SimulatedCluster::BalancerId(3)) ==
              MemberPhase::kFailed);
  BOOST_TEST(cluster.Count("withdraw_upstream") == 0U);
}

// Guards against paused keepers that take their own silence for that of the
// upstreams when they resume. They may be paused together, as on one host, and
// then confirm each other's suspicion.
BOOST_AUTO_TEST_CASE(KeepersPaused_Resumed_WithdrawNobody) {
  CheckProperty("paused keepers withdraw nobody", [] {
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
    // A keeper may have been recorded as failed, and answers that.
    for (uint32_t number = 1; number <= kBalancers; ++number) {
      for (uint32_t other = 1; other <= kBalancers; ++other) {
        RC_ASSERT(cluster.PhaseAt(number, SimulatedCluster::BalancerId(
                                              other)) == MemberPhase::kReady);
      }
    }
  });
}

// Guards against healthy upstreams that are withdrawn because a keeper is dead,
// cut off, or loses messages.
BOOST_AUTO_TEST_CASE(KeeperDeadOrCutOff_TimePasses_NoHealthyUpstreamWithdrawn) {
  CheckProperty("a minority withdraws nobody", [] {
    SimulatedCluster cluster =
        StartCluster(static_cast<uint64_t>(AnyNumber(0, 1'000)), 3);
    const Endpoint monitor = AnyBalancer();
    cluster.loss_percent = 5;
    cluster.duplicate_percent = 20;
    if (AnyNumber(0, 1) == 0) {
      cluster.dead.insert(monitor);
    } else {
      cluster.is_blocked = [monitor](const Endpoint& from, const Endpoint& to) {
        return from == monitor || to == monitor;
      };
    }
    cluster.Run(Millis{15'000});
    RC_ASSERT(cluster.Count("withdraw_upstream") == 0U);
  });
}

// Guards against two sides of a partition that stay apart after its end.
BOOST_AUTO_TEST_CASE(BalancerCutOff_PartitionEnds_AllAreReadyAgain) {
  SimulatedCluster cluster = StartCluster(7, 2);
  const Endpoint cut_off = SimulatedCluster::BalancerId(2);
  cluster.is_blocked = [cut_off](const Endpoint& from, const Endpoint& to) {
    return from == cut_off || to == cut_off;
  };
  cluster.Run(Millis{20'000});
  BOOST_CHECK(cluster.PhaseAt(1, cut_off) == MemberPhase::kFailed);
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

// Guards against two sides that recorded each other as failed and never send
// each other anything again.
BOOST_AUTO_TEST_CASE(FourBalancersSplit_PartitionEnds_AllAreReadyAgain) {
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

// Guards against broken paths between some keepers and an upstream that take
// the upstream out of service.
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
// against a refusal that nobody can explain afterwards.
BOOST_AUTO_TEST_CASE(MostAgentsDie_TimePasses_HalfStaysInUseAsDoubtful) {
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
  // Each of the keepers accounts for each refusal once.
  BOOST_TEST(cluster.Count("refuse_withdrawal") == 2U * kBalancers);
  for (const Decision& decision : cluster.decisions) {
    if (decision.entry.action != "refuse_withdrawal") continue;
    BOOST_TEST(decision.is_accounted);
    BOOST_TEST(decision.entry.reason.path == "health.max_withdrawn_percent");
    BOOST_TEST(decision.entry.reason.facts.count("failed_slots") == 1U);
  }
}

// Guards against a document's limit that is not used.
BOOST_AUTO_TEST_CASE(DocumentWithLongerLimit_AgentDies_StaysUntilThen) {
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

// Guards against a keeper that lost its state, or missed the whole entry of a
// restarted agent, and completes a brief heartbeat with what it does not know.
BOOST_AUTO_TEST_CASE(KeeperForgotOrHasOldBoot_HeartbeatsArrive_EntryIsWhole) {
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

// Guards against agents without the roster and the mean of their service.
BOOST_AUTO_TEST_CASE(AgentsStarted_TimePasses_KnowKeepersRosterAndMean) {
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
