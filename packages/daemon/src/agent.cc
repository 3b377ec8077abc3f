#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <caf/all.hpp>
#include <chrono>
#include <random>
#include <thread>
#include <utility>

#include "medlarwinch/daemon/account_writer.h"
#include "medlarwinch/daemon/agent_actor.h"
#include "medlarwinch/daemon/agent_engine.h"
#include "medlarwinch/daemon/certificate_files.h"
#include "medlarwinch/daemon/control_plane.h"
#include "medlarwinch/daemon/roles.h"
#include "medlarwinch/transport/http_server.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"
#include "medlarwinch/transport/udp_socket.h"

namespace medlarwinch {
namespace {

constexpr int kDataThreads = 2;
constexpr std::chrono::milliseconds kPollInterval{20};
// Time for the announcement of the phase `left` and its repetitions to be sent.
constexpr std::chrono::milliseconds kLeftAnnouncementTime{300};

int ReportStartFailure(const Error& error) {
  Log(LogLevel::kError, "agent_start_failed",
      {{"code", ErrorCodeName(error.code)}, {"error", error.message}});
  return 1;
}

HttpResponse HandleAdminRequest(const HttpRequest& request,
                                const Metrics& metrics,
                                const ControlPlane& control,
                                AgentEngine& engine) {
  const std::string path = ParseTarget(request.target).path;
  if (request.method == "GET" && path == "/metrics") {
    return HttpResponse{200, "text/plain; version=0.0.4", metrics.Render()};
  }
  if (request.method == "GET" && path == "/status") {
    return HttpResponse{200, "application/json",
                        engine.StatusJson(control.StatusJson())};
  }
  if (request.method == "POST" && path == "/drain") {
    engine.DrainByUpstream();
    return HttpResponse{202, "text/plain", "draining\n"};
  }
  return HttpResponse{
      404, "text/plain",
      "not found; available: GET /metrics, GET /status, POST /drain\n"};
}

// Runs the io_context of the upstream connections on its own thread.
class IoContextThread {
 public:
  IoContextThread()
      : work_guard_(boost::asio::make_work_guard(context_)),
        thread_([this] { context_.run(); }) {}
  ~IoContextThread() { Stop(); }
  IoContextThread(const IoContextThread&) = delete;
  IoContextThread& operator=(const IoContextThread&) = delete;

  boost::asio::io_context& context() { return context_; }

  void Stop() {
    context_.stop();
    if (thread_.joinable()) thread_.join();
  }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

void StopActorAndWait(caf::actor_system& system, const caf::actor& actor) {
  caf::scoped_actor self(system);
  self->send_exit(actor, caf::exit_reason::user_shutdown);
  self->wait_for(actor);
}

AgentEngineOptions EngineOptions(const Settings& settings,
                                 CertificatePair certificate, int64_t boot) {
  AgentEngineOptions options;
  options.identity =
      AgentIdentity{settings.agent->service, settings.data, boot};
  options.upstream = settings.agent->upstream;
  options.slots = settings.agent->slots;
  options.fleet_key = settings.fleet_key;
  options.seed = std::random_device{}();
  options.certificate = std::move(certificate);
  return options;
}

// The components of a running agent, in order of construction.
class AgentProcess {
 public:
  AgentProcess(caf::actor_system& system, const Settings& settings)
      : system_(system),
        settings_(settings),
        account_writer_(system, settings, metrics_) {}
  ~AgentProcess() {
    // All of these call the engine, and the engine calls the control plane.
    admin_server_.reset();
    if (agent_actor_) StopActorAndWait(system_, agent_actor_);
    if (data_socket_ != nullptr) data_socket_->Stop();
    io_context_thread_.Stop();
    control_.reset();
  }
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  Result<Ok> Start() {
    if (!settings_.agent->certificate_file.empty()) {
      Result<CertificatePair> certificate = ReadCertificate(
          settings_.agent->certificate_file, settings_.agent->private_key_file);
      if (!IsOk(certificate)) return ErrorOf(certificate);
      certificate_ = TakeValue(std::move(certificate));
    }
    Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(settings_.data);
    if (!IsOk(socket)) return ErrorOf(socket);
    data_socket_ = TakeValue(std::move(socket));
    const Result<Ok> control_started = StartControl();
    if (!IsOk(control_started)) return control_started;
    Result<std::unique_ptr<HttpServer>> admin =
        HttpServer::Listen(settings_.admin, [this](const HttpRequest& request) {
          return HandleAdminRequest(request, metrics_, *control_, *engine_);
        });
    if (!IsOk(admin)) return ErrorOf(admin);
    admin_server_ = TakeValue(std::move(admin));
    data_socket_->Start(
        [this](const Endpoint& from, ByteView datagram) {
          engine_->OnDatagram(from, datagram);
        },
        kDataThreads);
    return Ok{};
  }

  void ServeUntilDrained() {
    while (!engine_->HasLeft()) std::this_thread::sleep_for(kPollInterval);
    std::this_thread::sleep_for(kLeftAnnouncementTime);
  }

 private:
  // Flow identifiers must carry the boot time that the member entry announces,
  // so the engine is created with the one that the control plane chose.
  Result<Ok> StartControl() {
    ControlPlaneHooks hooks;
    hooks.record_account_entry = [this](AccountEntry entry) {
      account_writer_.Record(std::move(entry));
    };
    hooks.on_view = [this](const std::shared_ptr<const ControlView>& view) {
      const std::lock_guard<std::mutex> lock(agent_actor_mutex_);
      if (agent_actor_) caf::anon_send(agent_actor_, AgentViewMessage{view});
    };
    hooks.load = [this] {
      const std::lock_guard<std::mutex> lock(agent_actor_mutex_);
      return engine_ == nullptr ? UpstreamLoad{} : engine_->CollectLoad();
    };
    Result<std::unique_ptr<ControlPlane>> control = ControlPlane::Start(
        system_, settings_, MemberKind::kAgent, hooks, metrics_);
    if (!IsOk(control)) return ErrorOf(control);
    control_ = TakeValue(std::move(control));
    const std::shared_ptr<const ControlView> view = control_->view();
    std::unique_ptr<AgentEngine> engine = std::make_unique<AgentEngine>(
        EngineOptions(settings_, std::move(certificate_),
                      view->self.version.boot),
        AgentEngineCallbacks{
            [this](const Endpoint& to, ByteView datagram) {
              data_socket_->Send(to, datagram);
            },
            [this](MemberPhase phase) { control_->SetPhase(phase); },
            hooks.record_account_entry},
        io_context_thread_.context(), metrics_);
    engine->OnView(*view);
    const std::lock_guard<std::mutex> lock(agent_actor_mutex_);
    engine_ = std::move(engine);
    agent_actor_ = SpawnAgentActor(system_, engine_.get());
    return Ok{};
  }

  caf::actor_system& system_;
  const Settings& settings_;
  CertificatePair certificate_;
  Metrics metrics_;
  AccountWriter account_writer_;
  IoContextThread io_context_thread_;
  std::unique_ptr<UdpSocket> data_socket_;
  std::unique_ptr<ControlPlane> control_;
  std::unique_ptr<AgentEngine> engine_;
  std::mutex agent_actor_mutex_;
  caf::actor agent_actor_;
  std::unique_ptr<HttpServer> admin_server_;
};

int Serve(caf::actor_system& system, const Settings& settings) {
  AgentProcess process(system, settings);
  const Result<Ok> started = process.Start();
  if (!IsOk(started)) return ReportStartFailure(ErrorOf(started));
  process.ServeUntilDrained();
  return 0;
}

}  // namespace

int RunAgent(const Settings& settings) {
  InitLog(ParseLogLevel(settings.log_level), "agent/" + settings.name);
  caf::actor_system_config config;
  config.set("scheduler.max-threads", size_t{2});
  caf::actor_system system(config);
  const int code = Serve(system, settings);
  Log(LogLevel::kInfo, "agent_stopped", {{"code", static_cast<int64_t>(code)}});
  return code;
}

}  // namespace medlarwinch
