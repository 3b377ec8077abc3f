// A small site on loopback addresses: the metadata store, and the daemons of
// the deploy file as processes of their own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/platform_side/metadata_service.h"
#include "medlarwinch/standins/child_process.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_http_server.h"

namespace medlarwinch::review {

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;

/// Ports, the same on every machine of a site.
inline constexpr uint16_t kAppPort = 8165;
inline constexpr uint16_t kOutboundPort = 8162;
inline constexpr uint16_t kControlPort = 8166;
inline constexpr uint16_t kReadinessPort = 8167;
inline constexpr uint16_t kStorePort = 8169;
inline constexpr uint16_t kStoreProxyPort = 8168;

/// The record of a run; each line starts with the seconds since its start.
class Record {
 public:
  explicit Record(const std::string& file);

  void Write(const std::string& line);

 private:
  std::ofstream file_;
  TimePoint started_;
};

/// Passes the connections of daemons on to the store.
class StoreProxy {
 public:
  StoreProxy(boost::asio::io_context& loop, const Endpoint& local,
             const Endpoint& store);

  /// Passes nothing more on connections over which nothing has passed for
  /// `idle`, and leaves them open. Returns their number.
  size_t SilenceIdle(Millis idle);

 private:
  struct Connection;

  void Accept();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint store_;
  std::list<std::weak_ptr<Connection>> connections_;
};

struct SiteOptions {
  std::string daemon_program;
  std::string folder;
  Millis heartbeat_interval{1'200};
  nlohmann::json bounds;
  nlohmann::json contracts;
  nlohmann::json zones;
};

/// The settings and the process of one daemon.
struct SiteDaemon {
  std::string name;
  std::string role;
  uint32_t ip = 0;
  std::string settings_file;
  std::unique_ptr<ChildProcess> process;
  /// The routers' view of a balancer.
  int missed_probes = 2;
  std::unique_ptr<AsyncHttpClient> probe;
};

class Site {
 public:
  Site(SiteOptions options, Record& record);

  boost::asio::io_context& loop() { return loop_; }
  MetadataService& store() { return store_; }
  StoreProxy& proxy() { return *proxy_; }

  /// Returns the loopback address number `index` of this site.
  uint32_t IpOf(uint32_t index) const { return network_ + index; }

  /// Starts a daemon of a role of the deploy file. `service` is empty for a
  /// balancer.
  SiteDaemon& AddDaemon(const std::string& name, const std::string& role,
                        uint32_t ip, const std::string& zone,
                        const std::string& service);

  /// Starts the process of a daemon, with the settings that it had.
  void StartProcess(SiteDaemon& daemon);

  /// Returns the balancers that are in rotation.
  std::vector<const SiteDaemon*> ReadyBalancers() const;

  /// Runs the site for a time.
  void Run(Millis duration);

  /// Runs the site until the daemon's process has ended; false after 8 s.
  bool AwaitExit(SiteDaemon& daemon);

  /// Runs the site until all balancers are in rotation; false after 10 s.
  bool AwaitReady();

 private:
  void ProbeBalancers();

  SiteOptions options_;
  Record& record_;
  uint32_t network_;
  boost::asio::io_context loop_;
  MetadataService store_;
  std::unique_ptr<AsyncHttpServer> store_server_;
  std::unique_ptr<StoreProxy> proxy_;
  std::list<SiteDaemon> daemons_;
  boost::asio::steady_timer probe_timer_;
};

}  // namespace medlarwinch::review
