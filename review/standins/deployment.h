#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
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
};

/// A small deployment: the platform's store and routers, daemons as separate
/// processes, hosts and consumers, all on one loopback network of its own.
class Deployment {
 public:
  Deployment(boost::asio::io_context& loop, std::string program,
             std::string folder, Record& record);

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

  /// Returns the host that holds the open flow, or a null pointer.
  const Host* HolderOf(const FlowTuple& flow) const;
  std::string NameOfAddress(uint32_t ip) const;

  std::function<void(const FlowTuple&, const std::string& request,
                     bool is_unsafe, uint32_t from)>
      on_reset;

 private:
  Result<Ok> AddDaemon(Daemon& daemon, const std::string& zone,
                       const std::string& service);
  Result<Ok> StartProcess(Daemon& daemon);
  void Tick();
  void Probe(Daemon& daemon);
  void Route(const FlowTuple& flow, Bytes packet);

  boost::asio::io_context& loop_;
  std::string program_;
  std::string folder_;
  Record& record_;
  uint32_t network_ = 0;
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
