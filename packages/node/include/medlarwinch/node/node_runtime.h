#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "medlarwinch/coordination/packet_path/relay_actions.h"
#include "medlarwinch/node/log_rate_limiter.h"
#include "medlarwinch/node/node_settings.h"
#include "medlarwinch/node/platform_adapter.h"
#include "medlarwinch/node/settings_reloader.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_http_server.h"
#include "medlarwinch/transport/async_udp_socket.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Periodic timer on an event loop. Each interval starts when the callback
/// returns: a late call delays the next ones, and missed calls are not made up
/// for.
class PeriodicTimer {
 public:
  PeriodicTimer(boost::asio::io_context& loop, Millis interval,
                std::function<void()> callback);

  void Start();

 private:
  boost::asio::steady_timer timer_;
  Millis interval_;
  std::function<void()> callback_;
};

/// Calls `on_stop` on SIGTERM or SIGINT and `on_reload` on SIGHUP. Ignores
/// SIGPIPE.
class NodeSignalHandler {
 public:
  NodeSignalHandler(boost::asio::io_context& loop,
                    std::function<void()> on_stop,
                    std::function<void()> on_reload);

 private:
  void Wait();

  boost::asio::signal_set signal_set_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
};

/// HTTP servers for readiness and metrics. Metrics are rendered on request.
class NodeStatusServers {
 public:
  /// Fails with kUnavailable when the readiness address can't be bound. When
  /// the metrics address can't be bound, logs a warning and runs without
  /// metrics.
  static Result<std::unique_ptr<NodeStatusServers>> Listen(
      boost::asio::io_context& loop, const NodeSettings& settings,
      const std::string& readiness_path, std::function<bool()> is_ready,
      std::function<std::string()> render_metrics);

 private:
  std::unique_ptr<AsyncHttpServer> readiness_;
  std::unique_ptr<AsyncHttpServer> metrics_;
};

/// Interval of NodeCallbacks::tick.
inline constexpr Millis kTickInterval{100};

/// Callbacks that NodeRuntime needs from a balancer or an agent.
struct NodeCallbacks {
  std::function<bool()> is_ready;
  std::function<std::string()> render_metrics;
  /// Called every kTickInterval.
  std::function<void()> tick;
  /// Called on SIGTERM or SIGINT.
  std::function<void()> begin_stop;
};

/// Services common to balancers and agents: status servers, periodic tick,
/// signal handling and reload of the settings.
class NodeRuntime {
 public:
  /// A reload changes `settings`. `settings` and `platform` must outlive this
  /// object.
  NodeRuntime(boost::asio::io_context& loop, NodeSettings& settings,
              const PlatformAdapter& platform);

  /// Fails with kUnavailable when the readiness address can't be bound.
  Result<Ok> Start(NodeCallbacks callbacks);

 private:
  boost::asio::io_context& loop_;
  const NodeSettings& settings_;
  const PlatformAdapter& platform_;
  SettingsReloader settings_reloader_;
  std::unique_ptr<NodeStatusServers> status_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  std::unique_ptr<PeriodicTimer> settings_check_timer_;
  std::unique_ptr<NodeSignalHandler> signal_handler_;
};

/// Encodes relayed packets, reusing its buffers to avoid allocations.
class RelayedPacketEncoder {
 public:
  /// Encodes a RelayedOpening if `context` is set, else a RelayedPacket. The
  /// result is valid until the next call.
  const Bytes& Encode(RelayHeader header,
                      const std::optional<OpeningContext>& context,
                      ByteView packet);

 private:
  RelayMessage message_ = RelayedPacket{};
  RelayMessage opening_message_ = RelayedOpening{};
  Bytes encoded_;
};

/// Logs one line with the number of suppressed lines for each event.
void LogSuppressedLines(LogRateLimiter& limiter);

/// Rate limit, in lines per second, of log events that report failures.
inline constexpr double kFailureLogLinesPerSecond = 100;

/// Sends a reset packet to the caller of a flow.
void SendResetPacket(AsyncUdpSocket& socket, const PlatformAdapter& platform,
                     const ResetCaller& reset);

/// Returns whether `limiter` allows a `flow_reset` line.
bool AllowResetLogLine(LogRateLimiter& limiter, TimePoint now);

/// Logs dropped packets, unless `limiter` suppresses the line.
void LogDroppedPackets(LogRateLimiter& limiter, const DropPackets& drop,
                       TimePoint now);

/// Formats a flow for log lines as "caller>service_address".
std::string FormatFlow(const FlowTuple& flow);

}  // namespace medlarwinch
