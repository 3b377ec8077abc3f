#include "restart_cases.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "flow_judge.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

using Json = nlohmann::json;

constexpr const char* kDesk = "orders-desk";
constexpr const char* kDepot = "depot-manifest";
constexpr Endpoint kThirdRoute{0xc6120003, 443};
constexpr Endpoint kFourthRoute{0xc6120004, 443};
constexpr size_t kDeskAgents = 7;
constexpr size_t kDepotAgents = 3;
constexpr Millis kHeartbeats{1'200};
// The spans of the record, from the start of the agents.
constexpr Millis kFirstHostStart{1'700};
constexpr Millis kLastHostStart{3'400};
constexpr Millis kTrafficStart{10'000};
constexpr Millis kFirstLoss{21'000};
constexpr Millis kDrainNotice{35'900};
constexpr Millis kHostLeaves{39'600};
constexpr Millis kRouteRemoved{43'000};
constexpr Millis kClosingFault{43'400};
constexpr Millis kEnd{56'500};

enum class Fault { kPower, kDaemons };

// The parts of a play.
struct RestartPlan {
  Fault middle = Fault::kPower;
  Fault closing = Fault::kDaemons;
  /// Half of the machines lose power twice more, hosts and agents together.
  bool repeats_machine_restarts = false;
  /// Rolls of agents and balancers, and two hosts that are replaced.
  bool has_planned_work = false;
  /// A route moves to the other service before the closing fault.
  bool moves_route = false;
  /// Hosts answer openings late for some seconds after their start.
  bool has_cold_hosts = false;
  /// Hosts work longer than a balancer waits for the answer to a probe, and
  /// balancers are rolled after most agents.
  bool has_long_work = false;
  /// Links of different delays, and lost packets.
  bool has_slow_links = false;
};

class RestartPlay : public std::enable_shared_from_this<RestartPlay> {
 public:
  RestartPlay(const CaseContext& context, RestartPlan plan, uint64_t seed)
      : context_(context),
        deployment_(context.deployment),
        plan_(plan),
        judge_(std::make_shared<FlowJudge>(context)),
        random_(seed) {}

  Result<Ok> Begin(bool has_trouble);

 private:
  Millis Draw(Millis from, Millis to) {
    return Millis{
        std::uniform_int_distribution<int64_t>(from.value, to.value)(random_)};
  }
  void At(Millis time, std::function<void()> action) {
    After(context_.loop, time, std::move(action));
  }
  Result<Ok> AddMachines();
  void StartHosts();
  void StartHostIn(size_t side, Millis delay);
  void AddConsumers();
  void WriteRoutes(const std::vector<Endpoint>& extra_routes);
  void ScheduleTrouble();
  void ScheduleConfigurations();
  void Strike(Fault fault);
  void RestartMachine(size_t side, Millis delay, bool with_host);
  void SchedulePlannedWork();
  void RollFrom(std::vector<std::unique_ptr<Daemon>>& daemons, size_t index);
  void ReplaceHost(size_t side);
  void RemoveHost(size_t side);

  CaseContext context_;
  Deployment& deployment_;
  RestartPlan plan_;
  std::shared_ptr<FlowJudge> judge_;
  std::mt19937_64 random_;
  uint64_t version_ = 10;
  std::string lookup_service_ = kDesk;
  int next_host_ = 1;
  std::vector<std::string> services_;
};

Json RouteTo(const std::string& name, const Endpoint& address,
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

void RestartPlay::WriteRoutes(const std::vector<Endpoint>& extra_routes) {
  Json routes = {RouteTo("orders", kFirstRoute, kDesk, "unsafe"),
                 RouteTo("lookups", kThirdRoute, lookup_service_, "safe"),
                 RouteTo("manifests", kSecondRoute, kDepot, "download")};
  for (const Endpoint& extra : extra_routes) {
    routes.push_back(RouteTo("extra-" + ToString(extra), extra, kDesk, "safe"));
  }
  deployment_.WriteConfiguration(version_++, routes);
}

Result<Ok> RestartPlay::AddMachines() {
  const std::vector<std::string> zones = {"catania", "palermo", "ragusa"};
  SiteSettings site{zones, kHeartbeats, true};
  if (plan_.has_cold_hosts) {
    site.cold_time = Millis{10'000};
    site.cold_delay = Millis{900};
    site.cold_work = Millis{300};
  }
  if (plan_.has_slow_links) {
    site.link_delays = {
        {zones[0], Millis{1}}, {zones[1], Millis{6}}, {zones[2], Millis{12}}};
    site.loss_percent = 5;
  }
  if (plan_.has_long_work) site.work = Millis{150};
  deployment_.UseSite(site);
  Result<Ok> started = deployment_.Start();
  if (!IsOk(started)) return started;
  judge_->Begin();
  for (size_t index = 0; index < kDeskAgents + kDepotAgents; ++index) {
    services_.emplace_back(index < kDeskAgents ? kDesk : kDepot);
    const Result<size_t> side =
        deployment_.AddSide("side-" + std::to_string(index + 1),
                            zones[index % zones.size()], services_.back());
    if (!IsOk(side)) return ErrorOf(side);
  }
  WriteRoutes({});
  for (size_t index = 0; index <= zones.size(); ++index) {
    started = deployment_.AddFront("front-" + std::to_string(index + 1),
                                   zones[index % zones.size()]);
    if (!IsOk(started)) return started;
  }
  return Ok{};
}

void RestartPlay::StartHostIn(size_t side, Millis delay) {
  At(delay, [self = shared_from_this(), side] {
    const std::string id = "i-" + std::to_string(self->next_host_++);
    const Result<Ok> started =
        self->deployment_.StartHost(side, id, WallNow().value);
    if (!IsOk(started)) self->context_.record.Invalid(ErrorOf(started).message);
  });
}

void RestartPlay::StartHosts() {
  const size_t count = services_.size();
  const Millis span = kLastHostStart - kFirstHostStart;
  for (size_t side = 0; side < count; ++side) {
    const auto part = static_cast<int64_t>(side);
    StartHostIn(
        side, kFirstHostStart +
                  Millis{span.value * part / static_cast<int64_t>(count - 1)});
  }
}

void RestartPlay::AddConsumers() {
  const auto add = [this](int count, ConsumerSettings settings) {
    for (int index = 0; index < count; ++index) {
      deployment_.consumers().Add(
          settings, kTrafficStart + Draw(Millis{0}, Millis{2'000}));
    }
  };
  ConsumerSettings long_flows;
  long_flows.route = kFirstRoute;
  long_flows.is_unsafe = true;
  long_flows.pause = Millis{200};
  long_flows.pause_spread = Millis{5'800};
  add(20, long_flows);
  long_flows.route = kThirdRoute;
  long_flows.is_unsafe = false;
  long_flows.answer_bytes = 6'000;
  add(20, long_flows);
  ConsumerSettings short_flows = long_flows;
  short_flows.pause_spread = Millis{600};
  short_flows.opens_flow_for_each = true;
  add(6, short_flows);
  ConsumerSettings downloads;
  downloads.route = kSecondRoute;
  downloads.answer_bytes = 480'000;
  downloads.pause = Millis{50};
  downloads.pause_spread = Millis{150};
  downloads.opens_flow_for_each = true;
  add(12, downloads);
  // Flows of a route that is removed near the end.
  long_flows.route = kFourthRoute;
  add(2, long_flows);
}

Result<Ok> RestartPlay::Begin(bool has_trouble) {
  const Result<Ok> added = AddMachines();
  if (!IsOk(added)) return added;
  StartHosts();
  AddConsumers();
  ScheduleConfigurations();
  if (has_trouble) ScheduleTrouble();
  At(kEnd, [self = shared_from_this()] { self->context_.loop.stop(); });
  return Ok{};
}

void RestartPlay::ScheduleConfigurations() {
  At(kTrafficStart - Millis{1'500},
     [self = shared_from_this()] { self->WriteRoutes({kFourthRoute}); });
  At(kFirstLoss + Millis{7'000},
     [self = shared_from_this()] { self->WriteRoutes({kFourthRoute}); });
  if (plan_.moves_route) {
    At(kClosingFault - Millis{2'000}, [self = shared_from_this()] {
      self->lookup_service_ = kDepot;
      self->WriteRoutes({kFourthRoute});
    });
  }
  At(kRouteRemoved, [self = shared_from_this()] {
    self->judge_->DropRoute(kFourthRoute);
    self->WriteRoutes({});
  });
  At(kClosingFault + Millis{9'000},
     [self = shared_from_this()] { self->WriteRoutes({}); });
}

// Ends the daemon, and the host if asked, and starts both again after the
// delay and up to 0.3 s.
void RestartPlay::RestartMachine(size_t side, Millis delay, bool with_host) {
  Daemon& daemon = *deployment_.sides()[side];
  if (daemon.is_removed) return;
  judge_->Disturb(daemon.ip);
  const Millis spread{300};
  deployment_.KillUntil(daemon,
                        MonotonicNow() + delay + Draw(Millis{0}, spread));
  if (!with_host || deployment_.host(side) == nullptr) return;
  deployment_.CrashHost(side);
  StartHostIn(side, delay + Draw(Millis{0}, spread));
}

void RestartPlay::Strike(Fault fault) {
  const bool is_power = fault == Fault::kPower;
  context_.record.Line(is_power ? "all machines lose power"
                                : "all daemons are killed");
  const Millis delay = Draw(Millis{600}, Millis{1'200});
  for (const std::unique_ptr<Daemon>& front : deployment_.fronts()) {
    judge_->Disturb(front->ip);
    deployment_.KillUntil(
        *front, MonotonicNow() + delay + Draw(Millis{0}, Millis{300}));
  }
  for (size_t side = 0; side < deployment_.sides().size(); ++side) {
    RestartMachine(side, delay, is_power);
  }
}

// A host that has drained tells its agent, exits, and its machine is removed.
void RestartPlay::RemoveHost(size_t side) {
  if (deployment_.host(side) == nullptr) return;
  deployment_.host(side)->Deregister();
  At(Millis{40}, [self = shared_from_this(), side] {
    self->deployment_.CrashHost(side);
    self->deployment_.Remove(*self->deployment_.sides()[side]);
  });
}

void RestartPlay::ScheduleTrouble() {
  const auto self = shared_from_this();
  At(kFirstLoss, [self] { self->Strike(self->plan_.middle); });
  const size_t leaving = 0;
  At(kDrainNotice, [self] { self->deployment_.host(leaving)->Drain(); });
  At(kHostLeaves, [self] { self->RemoveHost(leaving); });
  At(kClosingFault, [self] { self->Strike(self->plan_.closing); });
  if (plan_.repeats_machine_restarts) {
    for (const int64_t after : {7'000, 12'000}) {
      At(kFirstLoss + Millis{after}, [self] {
        for (size_t side = 1; side < self->services_.size(); side += 2) {
          self->RestartMachine(side, Millis{600}, true);
        }
      });
    }
  }
  if (plan_.has_planned_work) SchedulePlannedWork();
}

// Stops daemons one after the other by SIGTERM. The platform starts them again.
void RestartPlay::RollFrom(std::vector<std::unique_ptr<Daemon>>& daemons,
                           size_t index) {
  if (index >= daemons.size()) return;
  if (!daemons[index]->is_removed) {
    deployment_.Signal(*daemons[index], SIGTERM);
  }
  At(Millis{1'700}, [self = shared_from_this(), &daemons, index] {
    self->RollFrom(daemons, index + 1);
  });
}

// Adds a machine with a new host, and removes the old one after its drain.
void RestartPlay::ReplaceHost(size_t side) {
  const size_t added = deployment_.sides().size();
  services_.push_back(services_[side]);
  const Result<size_t> machine = deployment_.AddSide(
      "side-" + std::to_string(added + 1), "palermo", services_[side]);
  if (!IsOk(machine)) {
    context_.record.Invalid(ErrorOf(machine).message);
    return;
  }
  StartHostIn(added, Draw(Millis{0}, Millis{400}));
  deployment_.host(side)->Drain();
  At(Millis{3'600},
     [self = shared_from_this(), side] { self->RemoveHost(side); });
}

void RestartPlay::SchedulePlannedWork() {
  const auto self = shared_from_this();
  At(kFirstLoss + Millis{6'500},
     [self] { self->RollFrom(self->deployment_.sides(), 1); });
  const Millis front_roll{plan_.has_long_work ? 14'000 : 7'000};
  At(kFirstLoss + front_roll,
     [self] { self->RollFrom(self->deployment_.fronts(), 0); });
  At(kFirstLoss + Millis{9'000}, [self] { self->ReplaceHost(5); });
  At(kFirstLoss + Millis{10'000}, [self] { self->ReplaceHost(8); });
}

// A host crashes and starts again while the store does not answer its agent.
// A balancer that was restarted in between gets packets of the host's flows.
class WithdrawnEntryPlay
    : public std::enable_shared_from_this<WithdrawnEntryPlay> {
 public:
  explicit WithdrawnEntryPlay(const CaseContext& context)
      : context_(context),
        deployment_(context.deployment),
        judge_(std::make_shared<FlowJudge>(context)) {}

  Result<Ok> Begin(bool has_trouble);

 private:
  static constexpr size_t kSide = 0;

  void StartHost(size_t side) {
    const Result<Ok> started = deployment_.StartHost(
        side, "i-" + std::to_string(next_host_++), WallNow().value);
    if (!IsOk(started)) context_.record.Invalid(ErrorOf(started).message);
  }
  void At(Millis time, void (WithdrawnEntryPlay::*step)()) {
    After(context_.loop, time,
          [self = shared_from_this(), step] { (self.get()->*step)(); });
  }
  void Crash();
  void CutFromStore();
  void StartAgain() { StartHost(kSide); }
  void StopBalancer() { deployment_.Signal(*deployment_.fronts()[1], SIGTERM); }

  CaseContext context_;
  Deployment& deployment_;
  std::shared_ptr<FlowJudge> judge_;
  int next_host_ = 1;
};

void WithdrawnEntryPlay::Crash() {
  judge_->Disturb(deployment_.sides()[kSide]->ip);
  deployment_.CrashHost(kSide);
}

void WithdrawnEntryPlay::CutFromStore() {
  context_.record.Line("the store gives side-1 no responses");
  deployment_.sides()[kSide]->store_fault = StoreFault::kNoResponse;
}

Result<Ok> WithdrawnEntryPlay::Begin(bool has_trouble) {
  Result<Ok> started = deployment_.Start();
  if (!IsOk(started)) return started;
  judge_->Begin();
  for (int index = 0; index < 4; ++index) {
    const Result<size_t> side = deployment_.AddSide(
        "side-" + std::to_string(index + 1), "ktm-teku", kDesk);
    if (!IsOk(side)) return ErrorOf(side);
    StartHost(ValueOf(side));
  }
  deployment_.WriteConfiguration(
      100, Json{RouteTo("orders", kFirstRoute, kDesk, "unsafe")});
  for (int index = 0; index < 2; ++index) {
    started = deployment_.AddFront("front-" + std::to_string(index + 1),
                                   index == 0 ? "ktm-teku" : "ktm-balaju");
    if (!IsOk(started)) return started;
  }
  for (int index = 0; index < 40; ++index) {
    ConsumerSettings orders;
    orders.route = kFirstRoute;
    orders.is_unsafe = true;
    orders.pause = Millis{2'500};
    orders.pause_spread = Millis{500};
    deployment_.consumers().Add(orders, Millis{11'500 + 120 * index});
  }
  if (has_trouble) {
    At(Millis{5'000}, &WithdrawnEntryPlay::Crash);
    // The agent withdraws its entry after three missed heartbeats and the time
    // for their acknowledgement.
    At(Millis{9'300}, &WithdrawnEntryPlay::CutFromStore);
    At(Millis{9'500}, &WithdrawnEntryPlay::StartAgain);
    At(Millis{14'000}, &WithdrawnEntryPlay::StopBalancer);
  }
  After(context_.loop, Millis{24'000},
        [context = context_] { context.loop.stop(); });
  return Ok{};
}

std::optional<RestartPlan> PlanOf(const std::string& name) {
  const std::map<std::string, RestartPlan> plans = {
      {"restart-power-power", {.closing = Fault::kPower}},
      {"restart-power-kill", {}},
      {"restart-kill-kill", {.middle = Fault::kDaemons}},
      {"restart-kill-power",
       {.middle = Fault::kDaemons, .closing = Fault::kPower}},
      {"restart-repeated", {.repeats_machine_restarts = true}},
      {"restart-planned", {.has_planned_work = true}},
      {"restart-moved-route", {.moves_route = true}},
      {"restart-cold-hosts",
       {.closing = Fault::kPower, .has_cold_hosts = true}},
      {"restart-long-work", {.has_long_work = true}},
      {"restart-long-work-planned",
       {.has_planned_work = true, .has_long_work = true}},
      {"restart-slow-links", {.has_slow_links = true}},
      {"restart-slow-links-planned",
       {.has_planned_work = true, .has_slow_links = true}},
  };
  const auto found = plans.find(name);
  if (found == plans.end()) return std::nullopt;
  return found->second;
}

uint64_t SeedOfEnvironment() {
  const char* text = std::getenv("SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}  // namespace

Result<Ok> BeginRestartCase(const std::string& name, bool has_trouble,
                            const CaseContext& context) {
  const uint64_t seed = SeedOfEnvironment();
  context.record.Line("seed " + std::to_string(seed));
  std::cout << "seed " << seed << "\n";
  if (name == "withdrawn-entry") {
    return std::make_shared<WithdrawnEntryPlay>(context)->Begin(has_trouble);
  }
  const std::optional<RestartPlan> plan = PlanOf(name);
  if (!plan.has_value())
    return Error{ErrorCode::kInvalidInput, "unknown case " + name};
  return std::make_shared<RestartPlay>(context, *plan, seed)
      ->Begin(has_trouble);
}

}  // namespace medlarwinch::review
