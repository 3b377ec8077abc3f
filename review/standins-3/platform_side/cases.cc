#include <cstdlib>
#include <iostream>
#include <string>

#include "deployment.h"
#include "medlarwinch/platform_side/soak_configuration.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

// Rolling restart of a balancer and of an agent at the same time. Times from
// the exit of the agent to the new start of each.
constexpr Millis kAgentDowntime{2'500};
constexpr Millis kBalancerDowntime{200};
constexpr Millis kStopTimeout{6'000};
// Times before the first restart, in a run without one, and after the last one.
constexpr Millis kWarmUp{6'000};
constexpr Millis kCalmRun{15'000};
constexpr Millis kAftermath{8'000};
constexpr int kUsers = 100;

int Report(Deployment& deployment) {
  deployment.Record(
      "requests " + std::to_string(deployment.counts().requests) +
      ", answered " + std::to_string(deployment.counts().answered) +
      ", FLOW broken " + std::to_string(deployment.breaks().size()) + " times");
  return deployment.breaks().empty() ? kHeld : kBroken;
}

bool StopAndWait(Deployment& deployment, const std::string& daemon) {
  deployment.Stop(daemon);
  return deployment.RunUntil([&] { return deployment.HasExited(daemon); },
                             kStopTimeout);
}

int RunPlannedRestarts(Deployment& deployment, bool has_trouble) {
  const bool is_started =
      deployment.Start(2, {kHubService, kHubService, kHubService, kHubService,
                           kDeskService, kDeskService}) &&
      deployment.StartConsumers(kUsers);
  if (!is_started) return kNotRun;
  deployment.Run(kWarmUp);
  if (!has_trouble) {
    deployment.Run(kCalmRun);
    return Report(deployment);
  }
  if (!StopAndWait(deployment, "front-1")) return kNotRun;
  if (!StopAndWait(deployment, "side-1")) return kNotRun;
  deployment.Run(kBalancerDowntime);
  if (!deployment.StartAgain("front-1")) return kNotRun;
  deployment.Run(kAgentDowntime - kBalancerDowntime);
  if (!deployment.StartAgain("side-1")) return kNotRun;
  deployment.Run(kAftermath);
  return Report(deployment);
}

// Two heartbeats of an incarnation that has crashed arrive after the agent was
// restarted, before the first one of the present incarnation.
int RunLateHeartbeats(Deployment& deployment, bool has_trouble) {
  constexpr uint32_t kCrashed = 1;
  constexpr uint32_t kPresent = 11;
  constexpr uint64_t kLateSequence = 7;
  constexpr Millis kStabilityWindow{4'000};
  if (!deployment.Start(2, {kHubService, kDeskService, kDeskService})) {
    return kNotRun;
  }
  // Six heartbeats arrive; the next two are held up on their way.
  deployment.Run(Millis{4'300});
  deployment.CrashHost("side-1");
  deployment.Run(Millis{3'000});
  if (!deployment.StartHost("side-1", kPresent)) return kNotRun;
  deployment.Run(Millis{3'000});
  if (!deployment.OpenSingleFlow("front-1")) return kNotRun;
  if (deployment.OwnerOfFlow() != "side-1") return kNotRun;
  deployment.Kill("side-1");
  if (!deployment.RunUntil([&] { return deployment.HasExited("side-1"); },
                           kStopTimeout)) {
    return kNotRun;
  }
  deployment.Run(Millis{300});
  if (!deployment.StartAgain("side-1")) return kNotRun;
  if (has_trouble) {
    int status = 0;
    const TimePoint deadline = MonotonicNow() + Millis{1'000};
    while (status == 0 && MonotonicNow() < deadline) {
      status =
          deployment.DeliverLateHeartbeat("side-1", kCrashed, kLateSequence);
    }
    if (deployment.DeliverLateHeartbeat("side-1", kCrashed,
                                        kLateSequence + 1) == 0) {
      return kNotRun;
    }
  }
  // All machines are in touch again, and the flow is not idle for long.
  deployment.Run(kStabilityWindow + Millis{1'500});
  const bool is_answered = deployment.SendRequest("front-2", Millis{3'000});
  if (deployment.breaks().empty() && !is_answered) return kNotRun;
  return Report(deployment);
}

// The removal of an agent's entry is executed late, after its host has
// returned, while all balancers are down.
int RunLateRemoval(Deployment& deployment, bool has_trouble) {
  constexpr Millis kStabilityWindow{4'000};
  constexpr uint32_t kPresent = 11;
  if (!deployment.Start(2, {kHubService, kDeskService, kDeskService})) {
    return kNotRun;
  }
  deployment.Run(Millis{3'000});
  if (has_trouble) deployment.LoseNextRemoval();
  deployment.CrashHost("side-1");
  deployment.SendOpening("front-1");
  if (has_trouble) {
    const bool is_lost = deployment.RunUntil(
        [&] { return deployment.HasLateRemoval(); }, Millis{4'000});
    if (!is_lost) return kNotRun;
  } else {
    deployment.Run(Millis{400});
  }
  deployment.Run(Millis{300});
  if (!deployment.StartHost("side-1", kPresent)) return kNotRun;
  deployment.Run(Millis{2'000});
  if (!deployment.OpenSingleFlow("front-1")) return kNotRun;
  if (deployment.OwnerOfFlow() != "side-1") return kNotRun;
  deployment.Run(Millis{500});
  deployment.Kill("front-1");
  deployment.Kill("front-2");
  deployment.Run(Millis{1'000});
  if (has_trouble) deployment.ExecuteLateRemoval();
  deployment.Run(Millis{1'000});
  if (!deployment.StartAgain("front-1")) return kNotRun;
  if (!deployment.StartAgain("front-2")) return kNotRun;
  // All machines are in touch again, and the flow is not idle for long.
  deployment.Run(kStabilityWindow + Millis{500});
  const bool is_answered = deployment.SendRequest("front-2", Millis{3'000});
  if (deployment.breaks().empty() && !is_answered) return kNotRun;
  return Report(deployment);
}

int Main(int argc, char** argv) {
  if (argc != 3) return kNotRun;
  const std::string name = argv[1];
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  boost::asio::io_context loop;
  Deployment deployment(loop, argv[2]);
  if (name == "planned-restarts") {
    return RunPlannedRestarts(deployment, has_trouble);
  }
  if (name == "late-heartbeats") {
    return RunLateHeartbeats(deployment, has_trouble);
  }
  if (name == "late-removal") return RunLateRemoval(deployment, has_trouble);
  std::cerr << "unknown case " << name << "\n";
  return kNotRun;
}

}  // namespace
}  // namespace medlarwinch::review

int main(int argc, char** argv) {
  return medlarwinch::review::Main(argc, argv);
}
