#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "medlarwinch/daemon/packet_router.h"
#include "medlarwinch/transport/metrics.h"
#include "medlarwinch/transport/udp_socket.h"

namespace medlarwinch {

/// Packet counters of one service since the start of the process.
struct ServiceCounters {
  std::atomic<uint64_t> packets{0};
  std::atomic<uint64_t> established{0};
  std::atomic<uint64_t> new_flows{0};
  std::atomic<uint64_t> without_identifier{0};
  std::array<std::atomic<uint64_t>, kDropReasons> dropped{};
};

/// Immutable tables and keys that the receive threads use until a newer
/// snapshot is published.
struct RoutingSnapshot {
  /// Never null.
  std::shared_ptr<const RoutingTables> tables;
  std::shared_ptr<const KeySet> keys;
  /// In the order of `tables.services`.
  std::vector<std::shared_ptr<ServiceCounters>> counters;
};

/// The data path of a balancer: receives packets from the fabric and forwards
/// them to agents. Each receive thread caches a pointer to the current snapshot
/// and takes a lock only after a newer one was published.
class DataPath {
 public:
  /// Binds `local`; port 0 selects a free port. Fails with kUnavailable; the
  /// message names the address.
  static Result<std::unique_ptr<DataPath>> Start(const Endpoint& local,
                                                 int threads);

  ~DataPath();
  DataPath(const DataPath&) = delete;
  DataPath& operator=(const DataPath&) = delete;

  const Endpoint& local() const { return socket_->local(); }

  /// Replaces the current tables and keys; neither may be null.
  void Publish(std::shared_ptr<const RoutingTables> tables,
               std::shared_ptr<const KeySet> keys);

  /// Adds the increments since the last call to `metrics`. Must be called by
  /// one thread at a time.
  void FlushCounters(Metrics& metrics);

 private:
  /// Counter values at the last flush, by service and counter name.
  using FlushedCounts = std::map<std::string, std::map<std::string, uint64_t>>;

  explicit DataPath(std::unique_ptr<UdpSocket> socket);

  void HandleDatagram(const Endpoint& from, ByteView datagram);
  const RoutingSnapshot& CurrentSnapshot();
  std::shared_ptr<ServiceCounters> CountersOf(const std::string& service);

  /// Distinguishes data paths in the thread-local caches of the receive
  /// threads.
  const uint64_t id_;
  std::atomic<uint64_t> sequence_{0};
  std::mutex mutex_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<std::string, std::shared_ptr<ServiceCounters>> counters_;
  FlushedCounts flushed_;
  /// Counts packets that match no service.
  ServiceCounters unknown_service_counters_;
  std::atomic<uint64_t> send_failures_{0};
  /// Declared last, so that its threads stop before the other members are
  /// destroyed.
  std::unique_ptr<UdpSocket> socket_;
};

}  // namespace medlarwinch
