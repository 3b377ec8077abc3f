#include "medlarwinch/standins/packet_fabric.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/protocol/frames.h"
#include "medlarwinch/protocol/packet_header.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr int kSocketThreads = 2;
constexpr int64_t kMaxReorderMicros = 20'000;
constexpr double kMicrosPerMilli = 1'000;

uint64_t CallerKey(const Endpoint& caller) {
  return (static_cast<uint64_t>(caller.ip) << 16) | caller.port;
}

std::string QueryValue(const HttpTarget& target, const std::string& name) {
  const auto found = target.query.find(name);
  return found == target.query.end() ? std::string() : found->second;
}

// Offset of the destination identifier in a packet. Returns 0 for a malformed
// packet, and for a long header, whose identifier was not issued by an agent.
size_t IdentifierOffset(const FabricPacket& packet) {
  const Result<PacketHeader> header = ParsePacketHeader(packet.payload);
  if (!IsOk(header) || ValueOf(header).is_long) return 0;
  return 1;
}

}  // namespace

Result<std::unique_ptr<PacketFabric>> PacketFabric::Start(
    const FabricSettings& settings) {
  std::unique_ptr<PacketFabric> fabric(new PacketFabric(settings));
  const Result<Ok> opened = fabric->Open();
  if (!IsOk(opened)) return ErrorOf(opened);
  return fabric;
}

PacketFabric::PacketFabric(const FabricSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      balancers_(settings.balancers) {}

PacketFabric::~PacketFabric() {
  control_server_.reset();
  if (ingress_socket_ != nullptr) ingress_socket_->Stop();
  for (const auto& [address, socket] : service_sockets_) socket->Stop();
  if (fabric_socket_ != nullptr) fabric_socket_->Stop();
  delays_.reset();
}

Result<Ok> PacketFabric::Open() {
  Result<std::unique_ptr<UdpSocket>> ingress =
      UdpSocket::Bind(settings_.ingress);
  if (!IsOk(ingress)) return ErrorOf(ingress);
  ingress_socket_ = TakeValue(std::move(ingress));
  Result<std::unique_ptr<UdpSocket>> fabric = UdpSocket::Bind(settings_.fabric);
  if (!IsOk(fabric)) return ErrorOf(fabric);
  fabric_socket_ = TakeValue(std::move(fabric));
  for (const FabricService& service : settings_.services) {
    if (!settings_.bind_services) continue;
    Result<std::unique_ptr<UdpSocket>> socket =
        UdpSocket::Bind(service.address);
    if (!IsOk(socket)) return ErrorOf(socket);
    service_sockets_[service.address] = TakeValue(std::move(socket));
  }
  delays_ = std::make_unique<DelayQueue>();
  fabric_socket_->Start(
      [this](const Endpoint& from, ByteView datagram) {
        OnResponsePacket(from, datagram);
      },
      kSocketThreads);
  ingress_socket_->Start(
      [this](const Endpoint& from, ByteView datagram) {
        OnIngressDatagram(from, datagram);
      },
      kSocketThreads);
  for (const auto& [address, socket] : service_sockets_) {
    socket->Start(
        [this, service = address](const Endpoint& from, ByteView datagram) {
          OnPlainPacket(service, from, datagram);
        });
  }
  Result<std::unique_ptr<HttpServer>> control = HttpServer::Listen(
      settings_.control,
      [this](const HttpRequest& request) { return HandleControl(request); });
  if (!IsOk(control)) return ErrorOf(control);
  control_server_ = TakeValue(std::move(control));
  return Ok{};
}

void PacketFabric::AddBalancer(const FabricBalancer& balancer) {
  RemoveBalancer(balancer.name);
  const std::unique_lock<std::shared_mutex> lock(balancers_mutex_);
  balancers_.push_back(balancer);
}

void PacketFabric::RemoveBalancer(const std::string& name) {
  const std::unique_lock<std::shared_mutex> lock(balancers_mutex_);
  std::erase_if(balancers_, [&](const FabricBalancer& balancer) {
    return balancer.name == name;
  });
}

void PacketFabric::SetPartitioned(const std::string& name,
                                  bool is_partitioned) {
  const std::unique_lock<std::shared_mutex> lock(balancers_mutex_);
  if (is_partitioned) {
    partitioned_.insert(name);
  } else {
    partitioned_.erase(name);
  }
}

void PacketFabric::OnIngressDatagram(const Endpoint& from, ByteView datagram) {
  const Result<FabricPacket> packet = DecodeFabricPacket(datagram);
  if (!IsOk(packet)) {
    ++counters_.malformed;
    return;
  }
  const ReturnPath path = RecordReturnPath(ValueOf(packet), from);
  Spray(ValueOf(packet), path.entry_domain);
}

void PacketFabric::OnPlainPacket(const Endpoint& service, const Endpoint& from,
                                 ByteView payload) {
  if (payload.size() > kMaxPacketBytes) {
    ++counters_.malformed;
    return;
  }
  const FabricPacket packet{service, from,
                            Bytes(payload.begin(), payload.end())};
  const ReturnPath path = RecordReturnPath(packet, Endpoint{});
  Spray(packet, path.entry_domain);
}

PacketFabric::ReturnPath PacketFabric::RecordReturnPath(
    const FabricPacket& packet, const Endpoint& load_generator) {
  const uint64_t key = CallerKey(packet.caller);
  {
    const std::shared_lock<std::shared_mutex> lock(return_paths_mutex_);
    const auto found = return_paths_.find(key);
    if (found != return_paths_.end() &&
        found->second.load_generator == load_generator &&
        found->second.service_address == packet.service_address) {
      return found->second;
    }
  }
  ReturnPath path{load_generator, packet.service_address, ""};
  if (!settings_.domains.empty()) {
    path.entry_domain = settings_.domains[key % settings_.domains.size()];
  }
  const std::unique_lock<std::shared_mutex> lock(return_paths_mutex_);
  return_paths_[key] = path;
  return path;
}

void PacketFabric::Spray(const FabricPacket& packet,
                         const std::string& entry_domain) {
  ++counters_.from_callers;
  InjectCopies(packet, entry_domain);
  if (ShouldInject(faults_.loss_percent)) {
    ++counters_.lost;
    return;
  }
  if (ShouldInject(faults_.duplicate_percent)) {
    ++counters_.duplicated;
    SendToBalancer(packet, entry_domain);
  }
  SendToBalancer(packet, entry_domain);
}

void PacketFabric::SendToBalancer(const FabricPacket& packet,
                                  const std::string& entry_domain) {
  const std::optional<FabricBalancer> balancer = ChooseBalancer();
  if (!balancer.has_value()) {
    ++counters_.without_balancer;
    return;
  }
  ++counters_.to_balancers;
  delays_->Send(*fabric_socket_, balancer->data, EncodeFabricPacket(packet),
                SampleDelay(entry_domain, balancer->domain));
}

void PacketFabric::InjectCopies(const FabricPacket& packet,
                                const std::string& entry_domain) {
  const size_t offset = IdentifierOffset(packet);
  if (offset == 0) return;
  if (ShouldInject(faults_.forge_percent)) {
    FabricPacket copy = packet;
    // Keeps the epoch and the agent's address, so that the packet would get
    // through if the tag were not verified.
    for (size_t index = 7; index < kFlowIdentifierBytes; ++index) {
      copy.payload[offset + index] = static_cast<uint8_t>(Random());
    }
    ++counters_.forged;
    SendToBalancer(copy, entry_domain);
  }
  if (ShouldInject(faults_.corrupt_percent)) {
    FabricPacket copy = packet;
    const uint64_t bit = Random() % (kFlowIdentifierBytes * 8);
    copy.payload[offset + bit / 8] ^= static_cast<uint8_t>(1U << (bit % 8));
    ++counters_.corrupted;
    SendToBalancer(copy, entry_domain);
  }
  if (!ShouldInject(faults_.replay_percent)) return;
  for (const FabricService& service : settings_.services) {
    if (service.address == packet.service_address) continue;
    FabricPacket copy = packet;
    copy.service_address = service.address;
    ++counters_.replayed;
    SendToBalancer(copy, entry_domain);
  }
}

void PacketFabric::OnResponsePacket(const Endpoint& from, ByteView datagram) {
  const Result<FabricPacket> decoded = DecodeFabricPacket(datagram);
  if (!IsOk(decoded)) {
    ++counters_.malformed;
    return;
  }
  const FabricPacket& packet = ValueOf(decoded);
  ReturnPath path;
  {
    const std::shared_lock<std::shared_mutex> lock(return_paths_mutex_);
    const auto found = return_paths_.find(CallerKey(packet.caller));
    if (found == return_paths_.end()) {
      ++counters_.unknown_caller;
      return;
    }
    path = found->second;
  }
  if (path.service_address != packet.service_address) {
    CountForeignResponse(packet);
  }
  if (ShouldInject(faults_.loss_percent)) {
    ++counters_.lost;
    return;
  }
  const auto host = settings_.host_domains.find(from.ip);
  const std::string domain =
      host == settings_.host_domains.end() ? "" : host->second;
  const std::chrono::microseconds delay =
      SampleDelay(domain, path.entry_domain);
  const int copies = ShouldInject(faults_.duplicate_percent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    ++counters_.to_callers;
    if (path.load_generator.port != 0) {
      delays_->Send(*ingress_socket_, path.load_generator,
                    Bytes(datagram.begin(), datagram.end()), delay);
      continue;
    }
    const auto socket = service_sockets_.find(packet.service_address);
    if (socket == service_sockets_.end()) continue;
    delays_->Send(*socket->second, packet.caller, packet.payload, delay);
  }
}

void PacketFabric::CountForeignResponse(const FabricPacket& packet) {
  const Result<PacketHeader> header = ParsePacketHeader(packet.payload);
  if (IsOk(header)) {
    const Result<Frame> frame = DecodeFrame(ValueOf(header).payload);
    if (IsOk(frame) && std::holds_alternative<ResetFrame>(ValueOf(frame))) {
      ++counters_.foreign_resets;
      return;
    }
  }
  ++counters_.misdelivered;
}

std::optional<FabricBalancer> PacketFabric::ChooseBalancer() {
  const uint64_t random = Random();
  const std::shared_lock<std::shared_mutex> lock(balancers_mutex_);
  if (balancers_.empty()) return std::nullopt;
  const FabricBalancer& balancer = balancers_[random % balancers_.size()];
  if (partitioned_.contains(balancer.name)) {
    ++counters_.lost;
    return std::nullopt;
  }
  return balancer;
}

bool PacketFabric::ShouldInject(double percent) {
  if (percent <= 0) return false;
  constexpr double kScale = 100.0 / 9007199254740992.0;  // 100 * 2^-53
  return static_cast<double>(Random() >> 11) * kScale < percent;
}

uint64_t PacketFabric::Random() {
  const std::lock_guard<std::mutex> lock(random_mutex_);
  return random_();
}

std::chrono::microseconds PacketFabric::SampleDelay(
    const std::string& from_domain, const std::string& to_domain) {
  double delay = settings_.client_latency_ms * kMicrosPerMilli;
  if (from_domain != to_domain) {
    delay += settings_.domain_latency_ms * kMicrosPerMilli;
  }
  if (ShouldInject(faults_.reorder_percent)) {
    ++counters_.reordered;
    delay += static_cast<double>(Random() % kMaxReorderMicros);
  }
  return std::chrono::microseconds(static_cast<int64_t>(delay));
}

HttpResponse PacketFabric::HandleControl(const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request.target);
  if (target.path == "/control/stats") return Stats();
  if (request.method != "POST") return HttpResponse{404, "text/plain", ""};
  return HandleControlPost(target);
}

HttpResponse PacketFabric::HandleControlPost(const HttpTarget& target) {
  if (target.path == "/control/fault") {
    return SetFault(
        QueryValue(target, "kind"),
        std::strtod(QueryValue(target, "percent").c_str(), nullptr));
  }
  if (target.path == "/control/cut") {
    SetPartitioned(QueryValue(target, "balancer"),
                   QueryValue(target, "on") != "0");
    return HttpResponse{};
  }
  if (target.path != "/control/balancers") {
    return HttpResponse{404, "text/plain", "unknown path"};
  }
  const std::string added = QueryValue(target, "add");
  if (added.empty()) {
    RemoveBalancer(QueryValue(target, "remove"));
    return HttpResponse{};
  }
  const Result<Endpoint> data = ParseEndpoint(QueryValue(target, "data"));
  if (!IsOk(data))
    return HttpResponse{400, "text/plain", ErrorOf(data).message};
  AddBalancer(
      FabricBalancer{added, ValueOf(data), QueryValue(target, "domain")});
  return HttpResponse{};
}

HttpResponse PacketFabric::SetFault(const std::string& kind, double percent) {
  const std::map<std::string, std::atomic<double>*> known{
      {"lose", &faults_.loss_percent},
      {"duplicate", &faults_.duplicate_percent},
      {"reorder", &faults_.reorder_percent},
      {"forge", &faults_.forge_percent},
      {"corrupt", &faults_.corrupt_percent},
      {"replay", &faults_.replay_percent}};
  const auto found = known.find(kind);
  if (found == known.end()) {
    return HttpResponse{400, "text/plain", "unknown fault '" + kind + "'"};
  }
  *found->second = percent;
  return HttpResponse{};
}

HttpResponse PacketFabric::Stats() const {
  const Json json{{"from_callers", counters_.from_callers.load()},
                  {"to_balancers", counters_.to_balancers.load()},
                  {"to_callers", counters_.to_callers.load()},
                  {"lost", counters_.lost.load()},
                  {"duplicated", counters_.duplicated.load()},
                  {"reordered", counters_.reordered.load()},
                  {"forged", counters_.forged.load()},
                  {"corrupted", counters_.corrupted.load()},
                  {"replayed", counters_.replayed.load()},
                  {"malformed", counters_.malformed.load()},
                  {"without_balancer", counters_.without_balancer.load()},
                  {"unknown_caller", counters_.unknown_caller.load()},
                  {"misdelivered", counters_.misdelivered.load()},
                  {"foreign_resets", counters_.foreign_resets.load()}};
  return HttpResponse{200, "application/json", json.dump()};
}

}  // namespace medlarwinch
