#include "medlarwinch/daemon/data_path.h"

#include <utility>

namespace medlarwinch {
namespace {

// Thread-local copy of the pointer to the current snapshot.
struct ThreadSnapshot {
  uint64_t data_path = 0;
  uint64_t sequence = 0;
  std::shared_ptr<const RoutingSnapshot> snapshot;
};

std::atomic<uint64_t> g_next_data_path_id{1};

void Increment(std::atomic<uint64_t>& counter) {
  counter.fetch_add(1, std::memory_order_relaxed);
}

void CountPacket(const RoutedPacket& routed, ServiceCounters& counters) {
  Increment(counters.packets);
  if (const DropPacket* drop = std::get_if<DropPacket>(&routed.decision)) {
    Increment(counters.dropped.at(static_cast<size_t>(drop->reason)));
    return;
  }
  switch (routed.kind) {
    case PacketKind::kUnknown:
      return;
    case PacketKind::kEstablished:
      Increment(counters.established);
      return;
    case PacketKind::kNew:
      Increment(counters.new_flows);
      return;
    case PacketKind::kWithoutIdentifier:
      Increment(counters.without_identifier);
      return;
  }
}

// Adds the increment of one counter since its last flush.
void FlushCounter(Metrics& metrics, const std::string& name,
                  const MetricLabels& labels,
                  const std::atomic<uint64_t>& counter, uint64_t& flushed) {
  const uint64_t count = counter.load(std::memory_order_relaxed);
  if (count == flushed) return;
  metrics.Add(name, labels, static_cast<double>(count - flushed));
  flushed = count;
}

void FlushService(Metrics& metrics, const std::string& service,
                  const ServiceCounters& counters,
                  std::map<std::string, uint64_t>& flushed) {
  const MetricLabels labels{{"service", service}};
  const auto flush = [&](const std::string& name,
                         const std::atomic<uint64_t>& counter) {
    FlushCounter(metrics, name, labels, counter, flushed[name]);
  };
  flush("medlarwinch_packets_total", counters.packets);
  flush("medlarwinch_packets_established_total", counters.established);
  flush("medlarwinch_packets_new_total", counters.new_flows);
  flush("medlarwinch_packets_without_identifier_total",
        counters.without_identifier);
  for (size_t index = 0; index < kDropReasons; ++index) {
    const std::string reason = DropReasonName(static_cast<DropReason>(index));
    FlushCounter(metrics, "medlarwinch_packets_dropped_total",
                 {{"service", service}, {"reason", reason}},
                 counters.dropped.at(index), flushed[reason]);
  }
}

}  // namespace

Result<std::unique_ptr<DataPath>> DataPath::Start(const Endpoint& local,
                                                  int threads) {
  Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(local);
  if (!IsOk(socket)) return ErrorOf(socket);
  std::unique_ptr<DataPath> path(new DataPath(TakeValue(std::move(socket))));
  DataPath* self = path.get();
  self->socket_->Start(
      [self](const Endpoint& from, ByteView datagram) {
        self->HandleDatagram(from, datagram);
      },
      threads);
  return path;
}

DataPath::DataPath(std::unique_ptr<UdpSocket> socket)
    : id_(g_next_data_path_id++), socket_(std::move(socket)) {}

DataPath::~DataPath() = default;

void DataPath::Publish(std::shared_ptr<const RoutingTables> tables,
                       std::shared_ptr<const KeySet> keys) {
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->tables = std::move(tables);
  snapshot->keys = std::move(keys);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const ServiceTable& table : snapshot->tables->services) {
    snapshot->counters.push_back(CountersOf(table.service));
  }
  snapshot_ = std::move(snapshot);
  ++sequence_;
}

std::shared_ptr<ServiceCounters> DataPath::CountersOf(
    const std::string& service) {
  std::shared_ptr<ServiceCounters>& counters = counters_[service];
  if (counters == nullptr) counters = std::make_shared<ServiceCounters>();
  return counters;
}

const RoutingSnapshot& DataPath::CurrentSnapshot() {
  thread_local ThreadSnapshot cached;
  const uint64_t sequence = sequence_.load(std::memory_order_acquire);
  if (cached.data_path != id_ || cached.sequence != sequence) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cached = ThreadSnapshot{id_, sequence_.load(), snapshot_};
  }
  return *cached.snapshot;
}

void DataPath::HandleDatagram(const Endpoint& from, ByteView datagram) {
  // There are no tables before the first snapshot; callers retransmit.
  if (sequence_.load(std::memory_order_acquire) == 0) return;
  Result<FabricPacket> decoded = DecodeFabricPacket(datagram);
  if (!IsOk(decoded)) {
    Increment(unknown_service_counters_.packets);
    Increment(unknown_service_counters_.dropped.at(
        static_cast<size_t>(DropReason::kMalformedPacket)));
    return;
  }
  FabricPacket packet = TakeValue(std::move(decoded));
  const RoutingSnapshot& snapshot = CurrentSnapshot();
  const RoutedPacket routed =
      RouteFabricPacket(*snapshot.tables, *snapshot.keys,
                        packet.service_address, packet.caller, packet.payload);
  const bool is_known_service = routed.service < snapshot.counters.size();
  CountPacket(routed, is_known_service ? *snapshot.counters[routed.service]
                                       : unknown_service_counters_);
  if (std::holds_alternative<DropPacket>(routed.decision)) return;
  const AddressedDatagram forwarded = MakeForwardedDatagram(
      *snapshot.tables, *snapshot.keys, routed, from, std::move(packet));
  if (!socket_->Send(forwarded.agent, forwarded.bytes)) {
    Increment(send_failures_);
  }
}

void DataPath::FlushCounters(Metrics& metrics) {
  std::map<std::string, std::shared_ptr<ServiceCounters>> counters;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    counters = counters_;
  }
  for (const auto& [service, service_counters] : counters) {
    FlushService(metrics, service, *service_counters, flushed_[service]);
  }
  FlushService(metrics, "", unknown_service_counters_, flushed_[""]);
  FlushCounter(metrics, "medlarwinch_send_failures_total", {}, send_failures_,
               flushed_[""]["send_failures"]);
}

}  // namespace medlarwinch
