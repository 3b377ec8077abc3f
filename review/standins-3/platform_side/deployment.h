#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/platform_side/metadata_service.h"
#include "medlarwinch/platform_side/simulated_callers.h"
#include "medlarwinch/platform_side/simulated_upstream.h"
#include "medlarwinch/standins/child_process.h"
#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_http_server.h"
#include "medlarwinch/transport/async_udp_socket.h"

namespace medlarwinch::review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// A process of the system: a balancer, or an agent beside a host.
struct Daemon {
  std::string name;
  std::string role;
  uint32_t ip = 0;
  std::string zone;
  std::string service;
  std::unique_ptr<ChildProcess> process;
  /// Checks of the platform's routers; balancers only.
  std::unique_ptr<AsyncHttpClient> probe;
  int missed_probes = 2;
  bool is_in_rotation = false;
};

/// A small deployment on loopback addresses: the daemons of the deploy file as
/// separate processes; the store, the routers, the hosts and the consumers as
/// stand-ins in this process.
class Deployment {
 public:
  Deployment(boost::asio::io_context& loop, const std::string& record_file);
  ~Deployment();

  /// Starts `balancers` balancers and one agent and one host for each service
  /// in `services`. Returns false if a process can't be started.
  bool Start(int balancers, const std::vector<std::string>& services);
  /// Starts `users` consumers, each of which keeps a flow open.
  bool StartConsumers(int users);

  /// Runs all stand-ins for `duration`.
  void Run(Millis duration);
  bool RunUntil(const std::function<bool()>& condition, Millis timeout);

  /// Sends SIGTERM, as the platform does to stop a process.
  void Stop(const std::string& daemon);
  void Kill(const std::string& daemon);
  /// Starts the daemon after its process has exited.
  bool StartAgain(const std::string& daemon);
  bool HasExited(const std::string& daemon);

  /// Ends the host beside the agent as a crash does.
  void CrashHost(const std::string& agent);
  /// Starts a new incarnation of the host beside the agent.
  bool StartHost(const std::string& agent, uint32_t incarnation);
  /// Delivers a heartbeat of an incarnation that was held up on its way.
  /// Returns the status of the response, or 0.
  int DeliverLateHeartbeat(const std::string& agent, uint32_t incarnation,
                           uint64_t sequence);

  /// Loses the answer of the next removal of an object; the store executes it
  /// when ExecuteLateRemoval() is called, if its condition still holds.
  void LoseNextRemoval() { loses_next_removal_ = true; }
  bool HasLateRemoval() const { return late_removal_.has_value(); }
  void ExecuteLateRemoval();
  /// Sends an opening that nobody may answer.
  void SendOpening(const std::string& balancer);

  /// Opens a flow of one consumer through `balancer`, with one request.
  bool OpenSingleFlow(const std::string& balancer);
  /// Sends another request on the open flow through `balancer`, with
  /// retransmissions for `timeout`. Returns true if it was answered.
  bool SendRequest(const std::string& balancer, Millis timeout);
  /// Name of the agent whose host has the flow; empty if none has.
  std::string OwnerOfFlow() const;

  void Record(const std::string& line);
  const std::vector<std::string>& breaks() const { return breaks_; }
  CallerCounts counts() const {
    return consumers_ == nullptr ? CallerCounts{} : consumers_->counts();
  }

 private:
  /// The flow of OpenSingleFlow().
  struct SingleFlow {
    FlowTuple flow;
    uint32_t sequence = 0;
    uint32_t expected_sequence = 0;
    uint64_t requests = 0;
    bool is_open = false;
    bool is_answered = false;
    bool is_reset = false;
  };

  bool Spawn(Daemon& daemon);
  bool StartHost(const Daemon& daemon, uint32_t incarnation);
  void SendFlowPacket(const std::string& balancer, bool is_syn,
                      const std::string& data);
  bool OpenConsumerSocket();
  void HandleStoreCall(const HttpRequest& request,
                       const AsyncHttpServer::Responder& respond);
  void HandleFlowPacket(const Endpoint& from, std::span<uint8_t> datagram);
  Daemon& Find(const std::string& name);
  void ProbeBalancers();
  Endpoint RouteOf(const FlowTuple& flow) const;
  void HandleReset(const FlowTuple& flow, uint32_t sender);
  /// `host` has received a packet of a flow that it does not hold.
  void HandleForeignPacket(const std::string& host, const FlowTuple& flow);
  /// Checks FLOW (b) for all flows of which foreign packets were seen.
  void CheckForeignPackets();
  std::string NameOf(uint32_t ip) const;

  boost::asio::io_context& loop_;
  std::ofstream record_;
  std::string folder_;
  uint32_t network_ = 0;
  TimePoint started_;
  TimePoint next_probe_;
  MetadataService store_;
  std::unique_ptr<AsyncHttpServer> store_server_;
  bool loses_next_removal_ = false;
  std::optional<HttpRequest> late_removal_;
  std::vector<AsyncHttpServer::Responder> silent_calls_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  /// By the name of their agent.
  std::map<std::string, std::unique_ptr<SimulatedUpstream>> hosts_;
  std::unique_ptr<SimulatedCallers> consumers_;
  std::unique_ptr<AsyncUdpSocket> consumer_;
  SingleFlow single_;
  uint16_t next_port_ = 2'000;
  /// Start times of the hosts by incarnation, in Unix milliseconds.
  std::map<uint32_t, int64_t> born_;
  /// Times at which packets of a flow reached other hosts than its own.
  std::map<FlowTuple, std::vector<TimePoint>> foreign_packets_;
  std::vector<std::string> breaks_;
};

}  // namespace medlarwinch::review
