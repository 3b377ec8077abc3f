#include "medlarwinch/node/node_runtime.h"

#include <chrono>
#include <csignal>
#include <utility>

#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpServiceUnavailable = 503;

}  // namespace

PeriodicTimer::PeriodicTimer(boost::asio::io_context& loop, Millis interval,
                             std::function<void()> callback)
    : timer_(loop), interval_(interval), callback_(std::move(callback)) {}

void PeriodicTimer::Start() {
  timer_.expires_after(std::chrono::milliseconds(interval_.value));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    callback_();
    Start();
  });
}

NodeSignalHandler::NodeSignalHandler(boost::asio::io_context& loop,
                                     std::function<void()> on_stop,
                                     std::function<void()> on_reload)
    : signal_set_(loop, SIGTERM, SIGINT, SIGHUP),
      on_stop_(std::move(on_stop)),
      on_reload_(std::move(on_reload)) {
  // Writing to a connection that the peer has closed must not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  Wait();
}

void NodeSignalHandler::Wait() {
  signal_set_.async_wait([this](boost::system::error_code error, int signal) {
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
      loop, settings.readiness_address,
      [readiness_path,
       is_ready = std::move(is_ready)](const HttpRequest& request) {
        HttpResponse response;
        if (ParseTarget(request.target).path != readiness_path) {
          response.status = kHttpNotFound;
          return response;
        }
        response.status = is_ready() ? kHttpOk : kHttpServiceUnavailable;
        return response;
      });
  if (!IsOk(readiness)) return ErrorOf(readiness);
  servers->readiness_ = TakeValue(std::move(readiness));
  Result<std::unique_ptr<AsyncHttpServer>> metrics = AsyncHttpServer::Listen(
      loop, settings.metrics_address,
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
                         const PlatformAdapter& platform)
    : loop_(loop),
      settings_(settings),
      platform_(platform),
      settings_reloader_(settings, platform) {}

Result<Ok> NodeRuntime::Start(NodeCallbacks callbacks) {
  Result<std::unique_ptr<NodeStatusServers>> status = NodeStatusServers::Listen(
      loop_, settings_, platform_.readiness_path, std::move(callbacks.is_ready),
      std::move(callbacks.render_metrics));
  if (!IsOk(status)) return ErrorOf(status);
  status_ = TakeValue(std::move(status));
  tick_timer_ = std::make_unique<PeriodicTimer>(loop_, kTickInterval,
                                                std::move(callbacks.tick));
  tick_timer_->Start();
  settings_check_timer_ = std::make_unique<PeriodicTimer>(
      loop_, kSettingsCheckInterval,
      [this] { settings_reloader_.ReloadIfChanged(); });
  settings_check_timer_->Start();
  signal_handler_ = std::make_unique<NodeSignalHandler>(
      loop_, std::move(callbacks.begin_stop),
      [this] { settings_reloader_.Reload(); });
  return Ok{};
}

const Bytes& RelayedPacketEncoder::Encode(
    RelayHeader header, const std::optional<OpeningContext>& context,
    ByteView packet) {
  if (context.has_value()) {
    RelayedOpening& opening = std::get<RelayedOpening>(opening_message_);
    opening.header = std::move(header);
    opening.context = *context;
    opening.packet.assign(packet.begin(), packet.end());
    EncodeRelayMessage(opening_message_, encoded_);
    return encoded_;
  }
  RelayedPacket& relayed = std::get<RelayedPacket>(message_);
  relayed.header = std::move(header);
  relayed.packet.assign(packet.begin(), packet.end());
  EncodeRelayMessage(message_, encoded_);
  return encoded_;
}

void LogSuppressedLines(LogRateLimiter& limiter) {
  for (const auto& [event, count] : limiter.TakeSuppressed()) {
    Log(LogLevel::kInfo, "lines_suppressed",
        {{"of", event}, {"count", static_cast<int64_t>(count)}});
  }
}

void SendResetPacket(AsyncUdpSocket& socket, const PlatformAdapter& platform,
                     const ResetCaller& reset) {
  socket.Send(platform.caller_gateway(reset.flow.caller),
              platform.make_reset(reset.flow, reset.sequence));
}

bool AllowResetLogLine(LogRateLimiter& limiter, TimePoint now) {
  return limiter.AllowLine("flow_reset", kFailureLogLinesPerSecond, now);
}

void LogDroppedPackets(LogRateLimiter& limiter, const DropPackets& drop,
                       TimePoint now) {
  constexpr double kDropLogLinesPerSecond = 50;
  if (!limiter.AllowLine("packet_dropped", kDropLogLinesPerSecond, now)) return;
  Log(LogLevel::kWarning, "packet_dropped",
      {{"flow", FormatFlow(drop.flow)},
       {"reason", PacketDropReasonName(drop.reason)}});
}

std::string FormatFlow(const FlowTuple& flow) {
  return ToString(flow.caller) + ">" + ToString(flow.service_address);
}

}  // namespace medlarwinch
