#include <caf/all.hpp>
#include <chrono>
#include <thread>

#include "medlarwinch/daemon/account_writer.h"
#include "medlarwinch/daemon/balancer_status.h"
#include "medlarwinch/daemon/control_plane.h"
#include "medlarwinch/daemon/roles.h"
#include "medlarwinch/daemon/routing_actor.h"
#include "medlarwinch/transport/http_server.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr int kDataThreads = 2;
constexpr std::chrono::milliseconds kPollInterval{20};
// Time for the fabric and the other balancers to learn of the stop; packets
// that still arrive are forwarded.
constexpr std::chrono::milliseconds kForwardingTimeAfterLeaving{1'000};

HttpResponse HandleAdminRequest(const HttpRequest& request,
                                const Metrics& metrics,
                                const ControlPlane& control) {
  if (request.method != "GET") {
    return HttpResponse{405, "text/plain", "only GET is allowed\n"};
  }
  const std::string path = ParseTarget(request.target).path;
  if (path == "/metrics") {
    return HttpResponse{200, "text/plain; version=0.0.4", metrics.Render()};
  }
  if (path == "/status") {
    return HttpResponse{
        200, "application/json",
        BalancerStatusJson(*control.view(), control.StatusJson(),
                           MonotonicNow())};
  }
  return HttpResponse{404, "text/plain",
                      "not found; available paths: /metrics, /status\n"};
}

int ReportStartFailure(const Error& error) {
  Log(LogLevel::kError, "balancer_start_failed",
      {{"code", ErrorCodeName(error.code)}, {"error", error.message}});
  return 1;
}

// A balancer without documents would drop every packet, so it becomes ready
// only once it has one or the platform has reported that there are none.
bool IsReadyToForward(const ControlView& view) {
  return !view.documents.empty() || view.last_platform_response.value >= 0;
}

void ServeUntilTerminated(ControlPlane& control) {
  bool is_ready = false;
  while (g_termination_signal_count == 0) {
    if (!is_ready && IsReadyToForward(*control.view())) {
      is_ready = true;
      control.SetPhase(MemberPhase::kReady);
      Log(LogLevel::kInfo, "balancer_ready",
          {{"documents",
            static_cast<int64_t>(control.view()->documents.size())}});
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  control.SetPhase(MemberPhase::kLeft);
  Log(LogLevel::kInfo, "balancer_leaving", {{"rule", "termination_signal"}});
  std::this_thread::sleep_for(kForwardingTimeAfterLeaving);
}

// Stops the actor before the objects that it refers to are destroyed.
void StopActorAndWait(caf::actor_system& system, const caf::actor& actor) {
  caf::scoped_actor self(system);
  self->send_exit(actor, caf::exit_reason::user_shutdown);
  self->wait_for(actor);
}

int Serve(caf::actor_system& system, const Settings& settings,
          Metrics& metrics) {
  AccountWriter account_writer(system, settings, metrics);
  Result<std::unique_ptr<DataPath>> data_path =
      DataPath::Start(settings.data, kDataThreads);
  if (!IsOk(data_path)) return ReportStartFailure(ErrorOf(data_path));
  const auto record = [&account_writer](AccountEntry entry) {
    account_writer.Record(std::move(entry));
  };
  const caf::actor routing = SpawnRoutingActor(
      system, RoutingActorContext{ValueOf(data_path).get(), &metrics, record});
  ControlPlaneHooks hooks;
  hooks.record_account_entry = record;
  hooks.on_view = [routing,
                   &account_writer](std::shared_ptr<const ControlView> view) {
    account_writer.SetDaemonCount(view->members.size());
    caf::anon_send(routing, ViewMessage{std::move(view)});
  };
  Result<std::unique_ptr<ControlPlane>> control = ControlPlane::Start(
      system, settings, MemberKind::kBalancer, hooks, metrics);
  if (!IsOk(control)) {
    StopActorAndWait(system, routing);
    return ReportStartFailure(ErrorOf(control));
  }
  ControlPlane& control_plane = *ValueOf(control);
  Result<std::unique_ptr<HttpServer>> admin = HttpServer::Listen(
      settings.admin, [&metrics, &control_plane](const HttpRequest& request) {
        return HandleAdminRequest(request, metrics, control_plane);
      });
  if (!IsOk(admin)) {
    StopActorAndWait(system, routing);
    return ReportStartFailure(ErrorOf(admin));
  }
  ServeUntilTerminated(control_plane);
  TakeValue(std::move(admin)).reset();
  TakeValue(std::move(control)).reset();
  StopActorAndWait(system, routing);
  return 0;
}

}  // namespace

int RunBalancer(const Settings& settings) {
  InitLog(ParseLogLevel(settings.log_level), "balancer/" + settings.name);
  caf::actor_system_config config;
  config.set("scheduler.max-threads", size_t{2});
  caf::actor_system system(config);
  Metrics metrics;
  const int code = Serve(system, settings, metrics);
  Log(LogLevel::kInfo, "balancer_stopped",
      {{"code", static_cast<int64_t>(code)}});
  return code;
}

}  // namespace medlarwinch
