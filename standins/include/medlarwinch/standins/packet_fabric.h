#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <shared_mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/standins/delay_queue.h"
#include "medlarwinch/standins/fabric_settings.h"
#include "medlarwinch/transport/http_server.h"
#include "medlarwinch/transport/udp_socket.h"

namespace medlarwinch {

/// Percentage of packets that each fault affects. Injected packets are sent in
/// addition to the caller's own.
struct FabricFaults {
  std::atomic<double> loss_percent{0};
  std::atomic<double> duplicate_percent{0};
  /// Delays a packet by up to 20 ms, so that later packets overtake it.
  std::atomic<double> reorder_percent{0};
  /// Injects a copy with a random flow identifier that names an existing agent.
  std::atomic<double> forge_percent{0};
  /// Injects a copy with one bit of the identifier flipped.
  std::atomic<double> corrupt_percent{0};
  /// Injects a copy addressed to each other service.
  std::atomic<double> replay_percent{0};
};

/// Packet counters since the start.
struct FabricCounters {
  std::atomic<uint64_t> from_callers{0};
  std::atomic<uint64_t> to_balancers{0};
  std::atomic<uint64_t> to_callers{0};
  std::atomic<uint64_t> lost{0};
  std::atomic<uint64_t> duplicated{0};
  std::atomic<uint64_t> reordered{0};
  std::atomic<uint64_t> forged{0};
  std::atomic<uint64_t> corrupted{0};
  std::atomic<uint64_t> replayed{0};
  std::atomic<uint64_t> malformed{0};
  /// Packets without a destination: no balancer was registered, or the chosen
  /// one is partitioned.
  std::atomic<uint64_t> without_balancer{0};
  /// Response packets to a caller that never sent a packet.
  std::atomic<uint64_t> unknown_caller{0};
  /// Response packets on behalf of a service that the caller never addressed,
  /// except Reset, with which a service rejects a packet that it does not own.
  std::atomic<uint64_t> misdelivered{0};
  /// Reset packets on behalf of another service.
  std::atomic<uint64_t> foreign_resets{0};
};

/// Sprays caller packets over the balancers and returns response packets, with
/// latency and fault injection. HTTP control server:
/// - POST /control/balancers?add=NAME&data=E&domain=D
/// - POST /control/balancers?remove=NAME
/// - POST /control/cut?balancer=NAME&on=1
/// - POST /control/fault?kind=KIND&percent=P
/// - GET /control/stats
class PacketFabric {
 public:
  /// Binds all sockets; fails with kUnavailable.
  static Result<std::unique_ptr<PacketFabric>> Start(
      const FabricSettings& settings);

  ~PacketFabric();
  PacketFabric(const PacketFabric&) = delete;
  PacketFabric& operator=(const PacketFabric&) = delete;

  const FabricCounters& counters() const { return counters_; }
  FabricFaults& faults() { return faults_; }

  void AddBalancer(const FabricBalancer& balancer);
  void RemoveBalancer(const std::string& name);
  /// Drops all packets to a balancer that stays registered.
  void SetPartitioned(const std::string& name, bool is_partitioned);

 private:
  // Return path to a caller.
  struct ReturnPath {
    // Socket of the load generator; port 0 for a caller that sends plain
    // packets.
    Endpoint load_generator;
    Endpoint service_address;
    std::string entry_domain;
  };

  explicit PacketFabric(const FabricSettings& settings);

  Result<Ok> Open();
  void OnIngressDatagram(const Endpoint& from, ByteView datagram);
  void OnPlainPacket(const Endpoint& service, const Endpoint& from,
                     ByteView payload);
  void OnResponsePacket(const Endpoint& from, ByteView datagram);
  ReturnPath RecordReturnPath(const FabricPacket& packet,
                              const Endpoint& load_generator);
  void Spray(const FabricPacket& packet, const std::string& entry_domain);
  void SendToBalancer(const FabricPacket& packet,
                      const std::string& entry_domain);
  void InjectCopies(const FabricPacket& packet,
                    const std::string& entry_domain);
  void CountForeignResponse(const FabricPacket& packet);
  std::optional<FabricBalancer> ChooseBalancer();
  bool ShouldInject(double percent);
  uint64_t Random();
  std::chrono::microseconds SampleDelay(const std::string& from_domain,
                                        const std::string& to_domain);
  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse HandleControlPost(const HttpTarget& target);
  HttpResponse SetFault(const std::string& kind, double percent);
  HttpResponse Stats() const;

  FabricSettings settings_;
  FabricCounters counters_;
  FabricFaults faults_;
  std::mutex random_mutex_;
  std::mt19937_64 random_;
  mutable std::shared_mutex balancers_mutex_;
  std::vector<FabricBalancer> balancers_;
  std::set<std::string> partitioned_;
  mutable std::shared_mutex return_paths_mutex_;
  std::unordered_map<uint64_t, ReturnPath> return_paths_;
  std::unique_ptr<UdpSocket> ingress_socket_;
  std::unique_ptr<UdpSocket> fabric_socket_;
  std::map<Endpoint, std::unique_ptr<UdpSocket>> service_sockets_;
  std::unique_ptr<DelayQueue> delays_;
  std::unique_ptr<HttpServer> control_server_;
};

}  // namespace medlarwinch
