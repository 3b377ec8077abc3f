#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "medlarwinch/coordination/relay_actions.h"
#include "medlarwinch/node/log_budget.h"
#include "medlarwinch/node/node_settings.h"
#include "medlarwinch/node/platform_ports.h"
#include "medlarwinch/node/settings_reload.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "medlarwinch/transport/async_http_server.h"
#include "medlarwinch/transport/async_udp_socket.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Calls a function again and again on an event loop. A call that comes late
/// delays the next ones; none is made up for.
class Periodic {
 public:
  Periodic(boost::asio::io_context& loop, Millis interval,
           std::function<void()> function);

  void Start();

 private:
  boost::asio::steady_timer timer_;
  Millis interval_;
  std::function<void()> function_;
};

/// Signals of a node's process: `on_stop` at SIGTERM or SIGINT, `on_reload` at
/// SIGHUP.
class NodeSignals {
 public:
  NodeSignals(boost::asio::io_context& loop, std::function<void()> on_stop,
              std::function<void()> on_reload);

 private:
  void Wait();

  boost::asio::signal_set signals_;
  std::function<void()> on_stop_;
  std::function<void()> on_reload_;
};

/// Serves readiness and metrics. Metrics are rendered when they are asked for.
class NodeStatusServers {
 public:
  /// Fails with kUnavailable when the readiness address can't be bound. Without
  /// the metrics address the node runs on and says so in the log.
  static Result<std::unique_ptr<NodeStatusServers>> Listen(
      boost::asio::io_context& loop, const NodeSettings& settings,
      const std::string& readiness_path, std::function<bool()> is_ready,
      std::function<std::string()> render_metrics);

 private:
  std::unique_ptr<AsyncHttpServer> readiness_;
  std::unique_ptr<AsyncHttpServer> metrics_;
};

/// Time between two ticks of a node.
inline constexpr Millis kTickInterval{100};

/// What a node of either role does for the parts that all nodes have.
struct NodeCallbacks {
  std::function<bool()> is_ready;
  std::function<std::string()> render_metrics;
  /// Called every kTickInterval.
  std::function<void()> tick;
  /// Called at SIGTERM or SIGINT.
  std::function<void()> begin_stop;
};

/// The parts that all nodes have: status servers, the tick, signals, and the
/// reload of settings.
class NodeRuntime {
 public:
  /// `settings` are changed by a reload; they and `ports` outlive this object.
  NodeRuntime(boost::asio::io_context& loop, NodeSettings& settings,
              const PlatformPorts& ports);

  /// Fails with kUnavailable when the readiness address can't be bound.
  Result<Ok> Start(NodeCallbacks callbacks);

 private:
  boost::asio::io_context& loop_;
  const NodeSettings& settings_;
  const PlatformPorts& ports_;
  SettingsReload reload_;
  std::unique_ptr<NodeStatusServers> status_;
  std::unique_ptr<Periodic> tick_timer_;
  std::unique_ptr<Periodic> reload_timer_;
  std::unique_ptr<NodeSignals> signals_;
};

/// Encodes relayed packets without an allocation for each of them.
class RelayedPacketEncoder {
 public:
  /// The result is valid until the next call.
  const Bytes& Encode(RelayHeader header, ByteView packet);

 private:
  RelayMessage message_ = RelayedPacket{};
  Bytes encoded_;
};

/// Writes one line with the counts of lines that `budget` left out.
void LogSuppressed(LogBudget& budget);

/// Log lines per second for an event that tells of a failure.
inline constexpr double kFailureLinesPerSecond = 100;

/// Sends the packet that ends a flow at its caller.
void SendResetPacket(AsyncUdpSocket& port, const PlatformPorts& ports,
                     const ResetCaller& reset);

/// Whether `budget` allows a line for a reset.
bool AllowsResetLine(LogBudget& budget, TimePoint now);

/// Writes a line for packets that go nowhere, within `budget`.
void LogDrop(LogBudget& budget, const DropPackets& drop, TimePoint now);

/// Text of a flow in log lines: "caller>service_address".
std::string FlowText(const FlowTuple& flow);

}  // namespace medlarwinch
