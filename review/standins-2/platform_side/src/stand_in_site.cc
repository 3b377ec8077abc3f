#include "stand_in_site.h"

#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

using boost::asio::ip::address_v4;
using boost::asio::ip::tcp;

constexpr uint32_t kLoopbackNetwork = 127U << 24;
constexpr uint32_t kFirstNetwork = 128;
constexpr uint32_t kNetworks = 100;
constexpr std::chrono::milliseconds kStep{5};
constexpr std::chrono::milliseconds kProbeInterval{500};
constexpr Millis kProbeTimeout{400};
constexpr Millis kMaxExitTime{8'000};
constexpr Millis kMaxStartTime{10'000};

}  // namespace

Record::Record(const std::string& file)
    : file_(file), started_(MonotonicNow()) {}

void Record::Write(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ",
                static_cast<double>((MonotonicNow() - started_).value) / 1000);
  file_ << time << line << std::endl;
}

// Both directions of one proxied connection. Pending operations keep it alive.
struct StoreProxy::Connection : std::enable_shared_from_this<Connection> {
  Connection(boost::asio::io_context& loop, tcp::socket accepted)
      : daemon(std::move(accepted)), store(loop) {}

  void Pass(tcp::socket& from, tcp::socket& to,
            std::array<char, 16'384>& buffer) {
    from.async_read_some(
        boost::asio::buffer(buffer),
        [self = shared_from_this(), &from, &to, &buffer](
            boost::system::error_code error, size_t size) {
          if (self->is_silent) return;
          if (error) return self->Close();
          self->last_used = MonotonicNow();
          boost::asio::async_write(
              to, boost::asio::buffer(buffer.data(), size),
              [self, &from, &to, &buffer](boost::system::error_code failure,
                                          size_t /*size*/) {
                if (self->is_silent) return;
                if (failure) return self->Close();
                self->Pass(from, to, buffer);
              });
        });
  }

  void Close() {
    boost::system::error_code ignored;
    daemon.close(ignored);
    store.close(ignored);
  }

  tcp::socket daemon;
  tcp::socket store;
  std::array<char, 16'384> from_daemon;
  std::array<char, 16'384> from_store;
  TimePoint last_used = MonotonicNow();
  bool is_silent = false;
  // Keeps the sockets of a silent connection open.
  std::shared_ptr<Connection> keep_open;
};

StoreProxy::StoreProxy(boost::asio::io_context& loop, const Endpoint& local,
                       const Endpoint& store)
    : loop_(loop),
      acceptor_(loop, tcp::endpoint(address_v4(local.ip), local.port)),
      store_(address_v4(store.ip), store.port) {
  Accept();
}

void StoreProxy::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error,
                                tcp::socket socket) {
    if (error) return;
    auto connection = std::make_shared<Connection>(loop_, std::move(socket));
    connections_.push_back(connection);
    connection->store.async_connect(
        store_, [connection](boost::system::error_code failure) {
          if (failure) return connection->Close();
          connection->Pass(connection->daemon, connection->store,
                           connection->from_daemon);
          connection->Pass(connection->store, connection->daemon,
                           connection->from_store);
        });
    Accept();
  });
}

size_t StoreProxy::SilenceIdle(Millis idle) {
  size_t silenced = 0;
  for (const std::weak_ptr<Connection>& known : connections_) {
    const std::shared_ptr<Connection> connection = known.lock();
    if (connection == nullptr || !connection->daemon.is_open()) continue;
    if (MonotonicNow() - connection->last_used < idle) continue;
    connection->is_silent = true;
    connection->keep_open = connection;
    ++silenced;
  }
  return silenced;
}

Site::Site(SiteOptions options, Record& record)
    : options_(std::move(options)),
      record_(record),
      network_(kLoopbackNetwork |
               (kFirstNetwork + static_cast<uint32_t>(getpid()) % kNetworks)
                   << 16 |
               (static_cast<uint32_t>(getpid()) / kNetworks % 250 + 1) << 8),
      probe_timer_(loop_) {
  Result<std::unique_ptr<AsyncHttpServer>> listening =
      AsyncHttpServer::ListenDeferred(
          loop_, Endpoint{IpOf(1), kStorePort},
          [this](const HttpRequest& request,
                 AsyncHttpServer::Responder respond) {
            store_.Handle(request, StoreFault::kNone, MonotonicNow(),
                          std::move(respond));
          });
  if (!IsOk(listening)) throw std::runtime_error(ErrorOf(listening).message);
  store_server_ = TakeValue(std::move(listening));
  proxy_ = std::make_unique<StoreProxy>(
      loop_, Endpoint{IpOf(1), kStoreProxyPort}, Endpoint{IpOf(1), kStorePort});
  ProbeBalancers();
}

SiteDaemon& Site::AddDaemon(const std::string& name, const std::string& role,
                            uint32_t ip, const std::string& zone,
                            const std::string& service) {
  const auto at = [ip](uint16_t port) { return ToString(Endpoint{ip, port}); };
  const bool is_agent = role == "agent";
  nlohmann::json settings = {
      {"node_name", name},
      {"role", role},
      {"machine_class", is_agent ? "side" : "front"},
      {"serves", {is_agent ? "side" : "front"}},
      {"zone", zone},
      {"region", "region-1"},
      {"zones", options_.zones},
      {"listen",
       {{"datagram_addr", at(kDatagramPort)},
        {"readiness_addr", at(kReadinessPort)}}},
      {"internal_port_range", {7'720, 7'735}},
      {"seeds", nlohmann::json::array()},
      {"bootstrap", true},
      {"limits",
       {{"cpu_share", 0.25},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4'100},
        {"link_mbps", 1'000.0},
        {"disk_mb", 0}}},
      {"data_dir", nullptr},
      {"heartbeat_ms", options_.heartbeat_interval.value},
      {"contracts", options_.contracts},
      {"bounds", options_.bounds},
      {"flow_hash", "mod"},
      {"deploy_mode", "agent"},
      {"platform",
       {{"address", ToString(Endpoint{IpOf(1), kStoreProxyPort})},
        {"deploy_mode", "objects"},
        {"writes_per_s", 400},
        {"reads_per_s", 2'000},
        {"history_s", 20},
        {"value_bytes", 1'048'576}}}};
  if (is_agent) {
    settings["listen"]["outbound"] = at(kOutboundPort);
    settings["listen"]["control"] = at(kControlPort);
    settings["app"] = at(kAppPort);
    settings["service"] = service;
  }
  SiteDaemon& daemon = daemons_.emplace_back();
  daemon.name = name;
  daemon.role = role;
  daemon.ip = ip;
  daemon.settings_file = options_.folder + "/" + name + ".json";
  std::ofstream(daemon.settings_file) << settings.dump(1);
  daemon.probe =
      std::make_unique<AsyncHttpClient>(loop_, Endpoint{ip, kReadinessPort});
  StartProcess(daemon);
  return daemon;
}

void Site::StartProcess(SiteDaemon& daemon) {
  setenv("MEDLARWINCH_BOOT", daemon.settings_file.c_str(), 1);
  Result<std::unique_ptr<ChildProcess>> process =
      ChildProcess::Spawn(options_.daemon_program, {daemon.role},
                          options_.folder + "/" + daemon.name + ".log");
  if (!IsOk(process)) throw std::runtime_error(ErrorOf(process).message);
  daemon.process = TakeValue(std::move(process));
  record_.Write("start " + daemon.name);
}

std::vector<const SiteDaemon*> Site::ReadyBalancers() const {
  std::vector<const SiteDaemon*> ready;
  for (const SiteDaemon& daemon : daemons_) {
    if (daemon.role != "balancer" || daemon.missed_probes >= 2) continue;
    ready.push_back(&daemon);
  }
  return ready;
}

void Site::ProbeBalancers() {
  for (SiteDaemon& daemon : daemons_) {
    if (daemon.role != "balancer" || daemon.probe->is_busy()) continue;
    HttpRequest request;
    request.method = "GET";
    request.target = "/readiness";
    daemon.probe->Send(
        std::move(request), kProbeTimeout, kProbeTimeout,
        [&daemon](const Result<HttpResponse>& result) {
          const bool is_ready = IsOk(result) && ValueOf(result).status == 200;
          daemon.missed_probes = is_ready ? 0 : daemon.missed_probes + 1;
        });
  }
  probe_timer_.expires_after(kProbeInterval);
  probe_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) ProbeBalancers();
  });
}

void Site::Run(Millis duration) {
  const TimePoint end = MonotonicNow() + duration;
  while (MonotonicNow() < end) {
    loop_.restart();
    loop_.run_for(kStep);
    store_.Tick(MonotonicNow());
  }
}

bool Site::AwaitExit(SiteDaemon& daemon) {
  const TimePoint end = MonotonicNow() + kMaxExitTime;
  while (!daemon.process->HasExited()) {
    if (MonotonicNow() >= end) return false;
    Run(Millis{10});
  }
  return true;
}

bool Site::AwaitReady() {
  const TimePoint end = MonotonicNow() + kMaxStartTime;
  size_t balancers = 0;
  for (const SiteDaemon& daemon : daemons_) {
    if (daemon.role == "balancer") ++balancers;
  }
  while (ReadyBalancers().size() < balancers) {
    if (MonotonicNow() >= end) return false;
    Run(Millis{50});
  }
  return true;
}

}  // namespace medlarwinch::review
