#include "medlarwinch/node/node_base.h"

#include <chrono>
#include <csignal>
#include <utility>

#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;

}  // namespace

Periodic::Periodic(boost::asio::io_context& loop, Millis interval,
                   std::function<void()> function)
    : timer_(loop), interval_(interval), function_(std::move(function)) {}

void Periodic::Start() {
  timer_.expires_after(std::chrono::milliseconds(interval_.value));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    function_();
    Start();
  });
}

NodeSignals::NodeSignals(boost::asio::io_context& loop,
                         std::function<void()> on_stop,
                         std::function<void()> on_reload)
    : signals_(loop, SIGTERM, SIGINT, SIGHUP),
      on_stop_(std::move(on_stop)),
      on_reload_(std::move(on_reload)) {
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  Wait();
}

void NodeSignals::Wait() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      on_reload_();
    } else {
      on_stop_();
    }
    Wait();
  });
}

Result<std::unique_ptr<NodeStatusServers>> NodeStatusServers::Listen(
    boost::asio::io_context& loop, const NodeSettings& settings,
    const std::string& readiness_path, std::function<bool()> is_ready,
    std::function<std::string()> render_metrics) {
  std::unique_ptr<NodeStatusServers> servers(new NodeStatusServers());
  Result<std::unique_ptr<AsyncHttpServer>> readiness = AsyncHttpServer::Listen(
      loop, settings.readiness,
      [readiness_path,
       is_ready = std::move(is_ready)](const HttpRequest& request) {
        HttpResponse response;
        if (ParseTarget(request.target).path != readiness_path) {
          response.status = kHttpNotFound;
          return response;
        }
        response.status = is_ready() ? kHttpOk : kHttpUnavailable;
        return response;
      });
  if (!IsOk(readiness)) return ErrorOf(readiness);
  servers->readiness_ = TakeValue(std::move(readiness));
  Result<std::unique_ptr<AsyncHttpServer>> metrics = AsyncHttpServer::Listen(
      loop, settings.metrics,
      [render = std::move(render_metrics)](const HttpRequest& /*request*/) {
        HttpResponse response;
        response.body = render();
        return response;
      });
  if (IsOk(metrics)) {
    servers->metrics_ = TakeValue(std::move(metrics));
  } else {
    Log(LogLevel::kWarning, "metrics_unavailable",
        {{"message", ErrorOf(metrics).message}});
  }
  return servers;
}

NodeRuntime::NodeRuntime(boost::asio::io_context& loop, NodeSettings& settings,
                         const PlatformPorts& ports)
    : loop_(loop),
      settings_(settings),
      ports_(ports),
      reload_(settings, ports) {}

Result<Ok> NodeRuntime::Start(NodeCallbacks callbacks) {
  Result<std::unique_ptr<NodeStatusServers>> status = NodeStatusServers::Listen(
      loop_, settings_, ports_.readiness_path, std::move(callbacks.is_ready),
      std::move(callbacks.render_metrics));
  if (!IsOk(status)) return ErrorOf(status);
  status_ = TakeValue(std::move(status));
  tick_timer_ = std::make_unique<Periodic>(loop_, kTickInterval,
                                           std::move(callbacks.tick));
  tick_timer_->Start();
  reload_timer_ = std::make_unique<Periodic>(
      loop_, kSettingsCheckInterval, [this] { reload_.ReloadIfChanged(); });
  reload_timer_->Start();
  signals_ = std::make_unique<NodeSignals>(
      loop_, std::move(callbacks.begin_stop), [this] { reload_.Reload(); });
  return Ok{};
}

const Bytes& RelayedPacketEncoder::Encode(RelayHeader header, ByteView packet) {
  RelayedPacket& relayed = std::get<RelayedPacket>(message_);
  relayed.header = std::move(header);
  relayed.packet.assign(packet.begin(), packet.end());
  EncodeRelayMessage(message_, encoded_);
  return encoded_;
}

void LogSuppressed(LogBudget& budget) {
  for (const auto& [event, count] : budget.TakeSuppressed()) {
    Log(LogLevel::kInfo, "lines_suppressed",
        {{"of", event}, {"count", static_cast<int64_t>(count)}});
  }
}

void SendResetPacket(AsyncUdpSocket& port, const PlatformPorts& ports,
                     const ResetCaller& reset) {
  port.Send(ports.caller_gateway(reset.flow.caller),
            ports.make_reset(reset.flow, reset.sequence));
}

bool AllowsResetLine(LogBudget& budget, TimePoint now) {
  return budget.Allows("flow_reset", kFailureLinesPerSecond, now);
}

void LogDrop(LogBudget& budget, const DropPackets& drop, TimePoint now) {
  constexpr double kLinesPerSecond = 50;
  if (!budget.Allows("packet_dropped", kLinesPerSecond, now)) return;
  Log(LogLevel::kWarning, "packet_dropped",
      {{"flow", FlowText(drop.flow)},
       {"reason", PacketDropReasonName(drop.reason)}});
}

std::string FlowText(const FlowTuple& flow) {
  return ToString(flow.caller) + ">" + ToString(flow.service_address);
}

}  // namespace medlarwinch
