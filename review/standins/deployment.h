#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "consumers.h"
#include "host.h"
#include "medlarwinch/platform_side/metadata_service.h"
#include "medlarwinch/standins/child_process.h"
#include "medlarwinch/transport/async_http_client.h"
#include "record.h"

namespace medlarwinch::review {

inline constexpr Millis kHeartbeatInterval{770};
/// `addr` and port of the routes, as consumers' packets name them.
inline constexpr Endpoint kFirstRoute{0xc6120001, 443};
inline constexpr Endpoint kSecondRoute{0xc6120002, 443};

/// A daemon of the system, as a process of its own.
struct Daemon {
  std::string name;
  std::string role;
  std::string zone;
  uint32_t ip = 0;
  std::string settings_file;
  std::unique_ptr<ChildProcess> process;
  std::unique_ptr<AsyncHttpServer> store;
  std::unique_ptr<AsyncHttpClient> readiness;
  bool is_ready = false;
  int misses = 2;
  /// Start of the process.
  TimePoint started_at;
  /// A restart by the platform is pending from this time on.
  std::optional<TimePoint> exited_at;
  /// Time of the next start, in place of the usual delay after an end.
  std::optional<TimePoint> restart_at;
  /// The machine was removed: the daemon is not started again.
  bool is_removed = false;
  /// Fault of the store for this daemon's calls.
  StoreFault store_fault = StoreFault::kNone;
};

/// Zones, heartbeats and routing of a deployment.
struct SiteSettings {
  std::vector<std::string> zones = {"ktm-teku", "ktm-balaju"};
  Millis heartbeat_interval = kHeartbeatInterval;
  /// Routes a flow to the balancers of one zone, as the platform does, in
  /// place of all balancers.
  bool routes_by_zone = false;
  /// Times of hosts that have just started, as in HostSettings.
  Millis cold_time{0};
  Millis cold_delay{0};
  Millis cold_work{0};
  /// Time that a host works on a request.
  Millis work{30};
  /// Delays of the packets to the hosts of each zone.
  std::map<std::string, Millis> link_delays = {};
  /// Share of the consumers' packets that are lost on their way.
  int loss_percent = 0;
};

/// A small deployment: the platform's store and routers, daemons as separate
/// processes, hosts and consumers, all on one loopback network of its own.
class Deployment {
 public:
  Deployment(boost::asio::io_context& loop, std::string program,
             std::string folder, Record& record);

  /// To be called before the first machine is added.
  void UseSite(SiteSettings site) { site_ = std::move(site); }

  /// Chooses a loopback network that no other process uses, and starts the
  /// routers.
  Result<Ok> Start();

  Result<Ok> AddFront(const std::string& name, const std::string& zone);
  /// Adds a machine with an agent and the number of its host.
  Result<size_t> AddSide(const std::string& name, const std::string& zone,
                         const std::string& service);
  /// Starts the host on a side machine. A running one is replaced.
  Result<Ok> StartHost(size_t side, const std::string& id, int64_t born);
  /// Ends the host without a word, as a crash does.
  void CrashHost(size_t side);

  /// Writes `config/main` as the operator does.
  void WriteConfiguration(uint64_t version, const nlohmann::json& routes);

  /// Sends a signal to a daemon. A daemon that ends is started again.
  void Signal(Daemon& daemon, int signal);

  Consumers& consumers() { return *consumers_; }
  Record& record() { return record_; }
  std::vector<std::unique_ptr<Daemon>>& fronts() { return fronts_; }
  std::vector<std::unique_ptr<Daemon>>& sides() { return sides_; }
  Host* host(size_t side) { return hosts_.at(side).get(); }
  bool is_all_ready() const;

  /// Ends a daemon without a signal that it can handle, and starts it again at
  /// `restart_at`.
  void KillUntil(Daemon& daemon, TimePoint restart_at);
  /// Stops a daemon by SIGTERM and does not start it again.
  void Remove(Daemon& daemon);

  /// Returns the host that holds the open flow, or a null pointer.
  const Host* HolderOf(const FlowTuple& flow) const;
  std::string NameOfAddress(uint32_t ip) const;

  std::function<void(const FlowTuple&, const std::string& request,
                     bool is_unsafe, uint32_t from)>
      on_reset;
  /// Called for each packet that reaches a host, and through which balancer its
  /// sender sent it last.
  std::function<void(const Host&, const FlowTuple&, bool is_held,
                     const Daemon* balancer)>
      on_packet;
  /// Called when a daemon's process is started.
  std::function<void(const Daemon&)> on_start;

 private:
  Result<Ok> AddDaemon(Daemon& daemon, const std::string& zone,
                       const std::string& service);
  Result<Ok> StartProcess(Daemon& daemon);
  void Tick();
  void Probe(Daemon& daemon);
  void Route(const FlowTuple& flow, Bytes packet);
  std::vector<Daemon*> Rotation(const FlowTuple& flow) const;
  std::vector<Daemon*> RotationOfZone(const std::string& zone) const;

  boost::asio::io_context& loop_;
  std::string program_;
  std::string folder_;
  Record& record_;
  uint32_t network_ = 0;
  SiteSettings site_;
  std::map<FlowTuple, const Daemon*> last_balancers_;
  std::mt19937_64 random_{7};
  MetadataService store_;
  std::vector<std::unique_ptr<Daemon>> fronts_;
  std::vector<std::unique_ptr<Daemon>> sides_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<HostSettings> host_settings_;
  std::unique_ptr<Consumers> consumers_;
  std::unique_ptr<AsyncUdpSocket> router_;
  boost::asio::steady_timer timer_;
  TimePoint next_probe_at_;
};

}  // namespace medlarwinch::review
