#include "cases.h"

#include <boost/asio/connect.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "medlarwinch/transport/system_clock.h"
#include "restart_cases.h"

namespace medlarwinch::review {
namespace {

using Json = nlohmann::json;

constexpr const char* kDesk = "kiosk-desk";
constexpr const char* kDepot = "depot-manifest";
constexpr Millis kRollGap{1'200};
constexpr Millis kPoll{100};
constexpr Millis kStabilityWindow{4'000};
// Limit for one daemon to stop, start again and become ready.
constexpr Millis kRollTimeout{15'000};

Json Route(const std::string& name, const Endpoint& address,
           const std::string& service, const std::string& kind) {
  const std::string text = ToString(address);
  const size_t colon = text.find(':');
  return {{"name", name},
          {"host", text.substr(0, colon)},
          {"path_prefix", "/" + text.substr(colon + 1) + "/"},
          {"service", service},
          {"route_kind", kind},
          {"timeout_ms", 3000},
          {"target_latency_ms", 150},
          {"priority", 1}};
}

Json UsualRoutes() {
  return {Route("orders", kFirstRoute, kDesk, "unsafe"),
          Route("manifests", kSecondRoute, kDepot, "download")};
}

// Stops daemons by SIGTERM and lets the platform start them again, one after
// the other, each when the one before is ready again.
class Roll : public std::enable_shared_from_this<Roll> {
 public:
  Roll(const CaseContext& context, std::vector<Daemon*> daemons,
       std::function<void()> done)
      : context_(context),
        daemons_(std::move(daemons)),
        done_(std::move(done)) {}

  void Next() {
    if (index_ == daemons_.size()) {
      done_();
      return;
    }
    stopped_at_ = MonotonicNow();
    context_.deployment.Signal(*daemons_[index_], SIGTERM);
    Wait();
  }

 private:
  void Wait() {
    After(context_.loop, kPoll, [self = shared_from_this()] { self->Check(); });
  }

  void Check() {
    const Daemon& daemon = *daemons_[index_];
    const bool is_back = daemon.started_at > stopped_at_ && daemon.is_ready &&
                         daemon.misses == 0;
    if (!is_back) {
      if (MonotonicNow() - stopped_at_ > kRollTimeout) {
        context_.record.Invalid(daemon.name + " did not come back");
        context_.loop.stop();
        return;
      }
      Wait();
      return;
    }
    ++index_;
    After(context_.loop, kRollGap,
          [self = shared_from_this()] { self->Next(); });
  }

  CaseContext context_;
  std::vector<Daemon*> daemons_;
  std::function<void()> done_;
  size_t index_ = 0;
  TimePoint stopped_at_;
};

std::vector<Daemon*> Pointers(std::vector<std::unique_ptr<Daemon>>& daemons) {
  std::vector<Daemon*> pointers;
  pointers.reserve(daemons.size());
  for (const std::unique_ptr<Daemon>& daemon : daemons) {
    pointers.push_back(daemon.get());
  }
  return pointers;
}

void BeginRoll(const CaseContext& context,
               std::vector<std::unique_ptr<Daemon>>& daemons,
               std::function<void()> done) {
  std::make_shared<Roll>(context, Pointers(daemons), std::move(done))->Next();
}

// FLOW: a reset of an open flow by the system breaks the rule if the host that
// holds the flow lives, and, with unplanned disturbance, if the machines have
// been calm for the stability window. `calm_since` is the end of the last such
// disturbance, or empty without one.
void CheckFlows(const CaseContext& context,
                const std::function<std::optional<TimePoint>()>& calm_since) {
  context.deployment.on_reset = [=](const FlowTuple& flow,
                                    const std::string& request, bool is_unsafe,
                                    uint32_t from) {
    const Host* holder = context.deployment.HolderOf(flow);
    if (holder == nullptr) return;
    const std::optional<TimePoint> since = calm_since();
    if (since.has_value() && MonotonicNow() - *since < kStabilityWindow) {
      context.record.Line("not counted: the machines are not in touch");
      return;
    }
    context.record.Broken(
        "FLOW " + context.deployment.NameOfAddress(from) + " reset " +
        FlowText(flow) + ", which is open at the living host " +
        holder->settings().id +
        (request.empty()
             ? ""
             : std::string(", during the ") + (is_unsafe ? "unsafe" : "safe") +
                   " request " + request));
  };
}

void CheckFlowsUnderPlannedWork(const CaseContext& context) {
  CheckFlows(context, [] { return std::nullopt; });
}

Result<Ok> StartMachines(const CaseContext& context) {
  Deployment& deployment = context.deployment;
  Result<Ok> started = deployment.Start();
  if (!IsOk(started)) return started;
  deployment.WriteConfiguration(100, UsualRoutes());
  const std::vector<std::string> zones = {"ktm-teku", "ktm-balaju"};
  for (size_t index = 0; index < zones.size(); ++index) {
    started =
        deployment.AddFront("front-" + std::to_string(index + 1), zones[index]);
    if (!IsOk(started)) return started;
  }
  const std::vector<std::string> services = {kDesk, kDesk, kDepot, kDepot};
  for (size_t index = 0; index < services.size(); ++index) {
    const Result<size_t> side =
        deployment.AddSide("side-" + std::to_string(index + 1),
                           zones[index % zones.size()], services[index]);
    if (!IsOk(side)) return ErrorOf(side);
    started = deployment.StartHost(
        ValueOf(side), "i-" + std::to_string(index + 1), WallNow().value);
    if (!IsOk(started)) return started;
  }
  return Ok{};
}

void EndIn(const CaseContext& context, Millis delay) {
  After(context.loop, delay, [context] { context.loop.stop(); });
}

// Calls `done` once the daemon's process has ended.
void WaitForExit(const CaseContext& context, Daemon* daemon,
                 const std::function<void()>& done) {
  if (daemon->exited_at.has_value()) {
    done();
    return;
  }
  After(context.loop, Millis{10},
        [context, daemon, done] { WaitForExit(context, daemon, done); });
}

// A route moves to another service, and a software update restarts all
// balancers and then all agents, one after the other.
Result<Ok> MovedRoute(const CaseContext& context, bool has_trouble) {
  const Result<Ok> started = StartMachines(context);
  if (!IsOk(started)) return started;
  CheckFlowsUnderPlannedWork(context);
  for (int index = 0; index < 8; ++index) {
    ConsumerSettings orders;
    orders.route = kFirstRoute;
    orders.is_unsafe = true;
    orders.pause = Millis{2'500};
    context.deployment.consumers().Add(orders, Millis{3'000 + 150 * index});
  }
  After(context.loop, Millis{6'000}, [context, has_trouble] {
    if (!has_trouble) {
      EndIn(context, Millis{30'000});
      return;
    }
    Json routes = {Route("orders", kFirstRoute, kDepot, "unsafe"),
                   Route("manifests", kSecondRoute, kDepot, "download")};
    context.deployment.WriteConfiguration(107, routes);
    After(context.loop, Millis{4'000}, [context] {
      BeginRoll(context, context.deployment.fronts(), [context] {
        BeginRoll(context, context.deployment.sides(),
                  [context] { EndIn(context, Millis{5'000}); });
      });
    });
  });
  return Ok{};
}

// A software update restarts all agents, one after the other, while consumers
// download.
Result<Ok> RolledAgents(const CaseContext& context, bool has_trouble) {
  const Result<Ok> started = StartMachines(context);
  if (!IsOk(started)) return started;
  CheckFlowsUnderPlannedWork(context);
  for (int index = 0; index < 12; ++index) {
    ConsumerSettings downloads;
    downloads.route = index % 2 == 0 ? kSecondRoute : kFirstRoute;
    downloads.answer_bytes = 480'000;
    downloads.pause = Millis{50};
    downloads.opens_flow_for_each = index % 3 == 0;
    context.deployment.consumers().Add(downloads, Millis{3'000 + 40 * index});
  }
  After(context.loop, Millis{6'000}, [context, has_trouble] {
    if (!has_trouble) {
      EndIn(context, Millis{15'000});
      return;
    }
    BeginRoll(context, context.deployment.sides(),
              [context] { EndIn(context, Millis{5'000}); });
  });
  return Ok{};
}

// Delivers a call of an earlier incarnation of a host that was delayed on its
// way, as soon as the daemon accepts it.
class LateCall : public std::enable_shared_from_this<LateCall> {
 public:
  LateCall(const CaseContext& context, const Endpoint& control,
           std::string target, std::string body)
      : context_(context),
        client_(context.loop, control),
        target_(std::move(target)),
        body_(std::move(body)) {}

  void Send() {
    HttpRequest request;
    request.method = "POST";
    request.target = target_;
    request.body = body_;
    client_.Send(std::move(request), kAttempt, kAttempt,
                 [self = shared_from_this()](const Result<HttpResponse>& sent) {
                   self->HandleResponse(IsOk(sent));
                 });
  }

 private:
  static constexpr Millis kAttempt{300};
  static constexpr Millis kPause{10};

  void HandleResponse(bool is_received) {
    if (!is_received) {
      After(context_.loop, kPause,
            [self = shared_from_this()] { self->Send(); });
      return;
    }
    context_.record.Line("the late call " + target_ + " has arrived");
  }

  CaseContext context_;
  AsyncHttpClient client_;
  std::string target_;
  std::string body_;
};

// A host crashes and a new incarnation registers at its address. Later its
// agent is restarted, and a ping of the first incarnation arrives late.
Result<Ok> LatePingAfterRestart(const CaseContext& context, bool has_trouble) {
  const Result<Ok> started = StartMachines(context);
  if (!IsOk(started)) return started;
  CheckFlowsUnderPlannedWork(context);
  constexpr size_t kSide = 0;
  Deployment& deployment = context.deployment;
  const HostSettings first = deployment.host(kSide)->settings();
  const Json ping = {{"service", first.service},
                     {"address", ToString(Endpoint{first.ip, kAppPort})},
                     {"zone", first.zone},
                     {"version", "v1"},
                     {"slots", first.slots},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"sequence", 4},
                     {"born", first.born}};
  After(context.loop, Millis{2'500},
        [&deployment] { deployment.CrashHost(kSide); });
  After(context.loop, Millis{4'500}, [&deployment, context] {
    if (!IsOk(deployment.StartHost(kSide, "i-11", WallNow().value)))
      context.record.Invalid("host i-11 can't be started");
  });
  for (int index = 0; index < 12; ++index) {
    ConsumerSettings orders;
    orders.route = kFirstRoute;
    orders.is_unsafe = true;
    orders.pause = Millis{2'500};
    deployment.consumers().Add(orders, Millis{6'000 + 150 * index});
  }
  After(context.loop, Millis{14'000}, [=, &deployment] {
    const std::shared_ptr<LateCall> late = std::make_shared<LateCall>(
        context, Endpoint{first.ip, kControlPort},
        "/Instances.Heartbeat/" + first.id, ping.dump());
    Daemon* agent = deployment.sides()[kSide].get();
    std::make_shared<Roll>(context, std::vector<Daemon*>{agent}, [context] {
      EndIn(context, Millis{8'000});
    })->Next();
    if (!has_trouble) return;
    WaitForExit(context, agent, [late] { late->Send(); });
  });
  return Ok{};
}

// Kills an agent right after a ping of its host, lets the platform start it
// again, and freezes it before the next ping.
class KillAndFreeze : public std::enable_shared_from_this<KillAndFreeze> {
 public:
  KillAndFreeze(const CaseContext& context, size_t side,
                std::function<void()> done)
      : context_(context),
        side_(side),
        agent_(context.deployment.sides().at(side).get()),
        done_(std::move(done)) {}

  void WaitForPing() {
    const TimePoint pinged =
        context_.deployment.host(side_)->last_acknowledged_at();
    if (MonotonicNow() - pinged > kJustPinged) {
      Later(&KillAndFreeze::WaitForPing);
      return;
    }
    killed_at_ = MonotonicNow();
    context_.deployment.Signal(*agent_, SIGKILL);
    WaitForStart();
  }

 private:
  static constexpr Millis kStep{10};
  static constexpr Millis kJustPinged{30};
  // Until the daemon has opened its sockets.
  static constexpr Millis kStartTime{60};
  // The site's longest freeze.
  static constexpr Millis kFreeze{3'500};

  void Later(void (KillAndFreeze::*step)()) {
    After(context_.loop, kStep,
          [self = shared_from_this(), step] { (self.get()->*step)(); });
  }

  void WaitForStart() {
    if (agent_->started_at <= killed_at_) {
      Later(&KillAndFreeze::WaitForStart);
      return;
    }
    After(context_.loop, kStartTime, [self = shared_from_this()] {
      self->context_.deployment.Signal(*self->agent_, SIGSTOP);
    });
    After(context_.loop, kStartTime + kFreeze, [self = shared_from_this()] {
      self->context_.deployment.Signal(*self->agent_, SIGCONT);
      self->done_();
    });
  }

  CaseContext context_;
  size_t side_;
  Daemon* agent_;
  std::function<void()> done_;
  TimePoint killed_at_;
};

// An agent is killed and, when it is back, freezes before the first ping of its
// host. Flows with a pause between two requests are used again when all
// machines are in touch.
Result<Ok> KilledThenFrozen(const CaseContext& context, bool has_trouble) {
  const Result<Ok> started = StartMachines(context);
  if (!IsOk(started)) return started;
  const auto calm_since = std::make_shared<std::optional<TimePoint>>();
  CheckFlows(context, [calm_since] { return *calm_since; });
  for (int index = 0; index < 12; ++index) {
    ConsumerSettings orders;
    orders.route = kFirstRoute;
    orders.is_unsafe = true;
    orders.pause = Millis{10'500};
    context.deployment.consumers().Add(orders, Millis{3'000 + 50 * index});
  }
  After(context.loop, Millis{4'000}, [=] {
    if (!has_trouble) return;
    std::make_shared<KillAndFreeze>(context, 0, [calm_since] {
      *calm_since = MonotonicNow();
    })->WaitForPing();
  });
  EndIn(context, Millis{20'000});
  return Ok{};
}

// An agent freezes while consumers open flows. Their second copies open the
// flows at the other host, which then drains. The agent wakes and passes the
// first copies on.
Result<Ok> LateOpening(const CaseContext& context, bool has_trouble) {
  const Result<Ok> started = StartMachines(context);
  if (!IsOk(started)) return started;
  constexpr size_t kFrozenSide = 0;
  constexpr size_t kDrainingSide = 1;
  Deployment& deployment = context.deployment;
  Daemon* frozen = deployment.sides()[kFrozenSide].get();
  deployment.on_reset = [=, &deployment](const FlowTuple& flow,
                                         const std::string& /*request*/,
                                         bool /*is_unsafe*/, uint32_t from) {
    const Host* holder = deployment.HolderOf(flow);
    if (holder == nullptr) return;
    if (from == frozen->ip || holder->settings().ip == frozen->ip) {
      context.record.Line("not counted: the frozen machine is not in touch");
      return;
    }
    context.record.Broken(
        "FLOW " + deployment.NameOfAddress(from) + " reset " + FlowText(flow) +
        ", which is open at the living host " + holder->settings().id);
  };
  for (int index = 0; index < 30; ++index) {
    ConsumerSettings alerts;
    alerts.route = kFirstRoute;
    alerts.answer_bytes = 4'000;
    alerts.pause = Millis{100};
    deployment.consumers().Add(alerts, Millis{3'000 + 40 * index});
  }
  for (int index = 0; index < 30; ++index) {
    ConsumerSettings orders;
    orders.route = kFirstRoute;
    orders.is_unsafe = true;
    orders.pause = Millis{9'000};
    deployment.consumers().Add(orders, Millis{8'400 + 15 * index});
  }
  if (has_trouble) {
    After(context.loop, Millis{8'000},
          [=, &deployment] { deployment.Signal(*frozen, SIGSTOP); });
    After(context.loop, Millis{11'500},
          [=, &deployment] { deployment.Signal(*frozen, SIGCONT); });
  }
  After(context.loop, Millis{10'000},
        [&deployment] { deployment.host(kDrainingSide)->Drain(); });
  EndIn(context, Millis{16'000});
  return Ok{};
}

}  // namespace

Result<Ok> BeginCase(const std::string& name, bool has_trouble,
                     const CaseContext& context) {
  if (name == "moved-route") return MovedRoute(context, has_trouble);
  if (name == "rolled-agents") return RolledAgents(context, has_trouble);
  if (name == "late-ping") return LatePingAfterRestart(context, has_trouble);
  if (name == "killed-then-frozen")
    return KilledThenFrozen(context, has_trouble);
  if (name == "late-opening") return LateOpening(context, has_trouble);
  return BeginRestartCase(name, has_trouble, context);
}

}  // namespace medlarwinch::review
