#include "host.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

constexpr size_t kFlagsOffset = 26;
constexpr uint8_t kBouncedFlag = 32;
constexpr int kQueueLimit = 16;
constexpr size_t kMaxFlows = 2'000;
constexpr int kMaxRetransmissions = 8;
constexpr std::chrono::milliseconds kTick{10};
constexpr Millis kAckTimeout{1'000};

std::string HeaderOf(const std::string& head, const std::string& name) {
  const size_t at = head.find(name + ": ");
  if (at == std::string::npos) return "";
  const size_t begin = at + name.size() + 2;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

std::string FlowText(const FlowTuple& flow) {
  return ToString(flow.caller) + ">" + ToString(flow.service_address);
}

Host::Host(boost::asio::io_context& loop, HostSettings settings, Record& record)
    : loop_(loop),
      settings_(std::move(settings)),
      record_(record),
      random_(static_cast<uint64_t>(settings_.born) * 31 + settings_.ip),
      heartbeat_client_(loop, Endpoint{settings_.ip, kControlPort}),
      heartbeat_timer_(loop),
      tick_timer_(loop) {}

Host::~Host() { *alive_ = false; }

Result<Ok> Host::Start() {
  const Endpoint app{settings_.ip, kAppPort};
  const Result<Ok> opened = AsyncUdpSocket::OpenInto(
      socket_, loop_, app,
      [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
        HandleDelayed(datagram);
      });
  if (!IsOk(opened)) return opened;
  Result<std::unique_ptr<AsyncHttpServer>> server =
      AsyncHttpServer::Listen(loop_, app, [](const HttpRequest& /*request*/) {
        return HttpResponse{200, "text/plain", "healthy"};
      });
  if (!IsOk(server)) return ErrorOf(server);
  status_server_ = TakeValue(std::move(server));
  started_at_ = MonotonicNow();
  record_.Line("host " + settings_.id + " of " + settings_.service +
               " starts, born " + std::to_string(settings_.born));
  SendHeartbeat();
  Tick();
  return Ok{};
}

void Host::Drain() {
  is_draining_ = true;
  record_.Line("host " + settings_.id + " begins to drain");
  SendHeartbeat();
}

void Host::Deregister() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Deregister/" + settings_.id;
  request.body = nlohmann::json{{"born", settings_.born}}.dump();
  heartbeat_client_.Send(std::move(request), kAckTimeout, kAckTimeout,
                         [](const Result<HttpResponse>& /*result*/) {});
}

bool Host::HoldsOpenFlow(const FlowTuple& flow) const {
  const auto found = flows_.find(flow);
  return found != flows_.end() && found->second.is_open &&
         !found->second.is_finished;
}

void Host::Send(const FlowPacket& packet, std::string_view data) {
  socket_->Send(Endpoint{settings_.ip, kOutboundPort},
                EncodePacket(packet, data));
}

void Host::Bounce(std::span<uint8_t> datagram) {
  datagram[kFlagsOffset] |= kBouncedFlag;
  socket_->Send(Endpoint{settings_.ip, kOutboundPort}, datagram);
}

void Host::HandleOpening(const FlowPacket& packet) {
  const FlowTuple tuple = FlowFromCaller(packet);
  Flow& flow = flows_[tuple];
  if (flow.first_sequence == 0) {
    flow.first_sequence = static_cast<uint32_t>(random_() % 0x7fffffff) + 1;
    flow.caller_first = packet.sequence;
    flow.end = std::make_unique<FlowEnd>(
        tuple.service_address, tuple.caller, flow.first_sequence + 1,
        packet.sequence + 1,
        [this](const FlowPacket& sent, std::string_view data) {
          Send(sent, data);
        });
  }
  FlowPacket answer;
  answer.source = tuple.service_address;
  answer.destination = tuple.caller;
  answer.is_syn = true;
  answer.is_ack = true;
  answer.sequence = flow.first_sequence;
  answer.acknowledged = flow.caller_first + 1;
  AnswerOpening(answer);
}

bool Host::IsCold() const {
  return MonotonicNow() - started_at_ < settings_.cold_time;
}

void Host::AnswerOpening(const FlowPacket& answer) {
  if (!IsCold() || settings_.cold_delay <= Millis{0}) {
    Send(answer, {});
    return;
  }
  const auto bound = static_cast<uint64_t>(settings_.cold_delay.value);
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(random_() % bound));
  timer->async_wait(
      [this, timer, answer, alive = alive_](boost::system::error_code error) {
        if (!error && *alive) Send(answer, {});
      });
}

void Host::HandleDelayed(std::span<const uint8_t> datagram) {
  auto copy = std::make_shared<Bytes>(datagram.begin(), datagram.end());
  if (settings_.receive_delay <= Millis{0}) {
    HandleDatagram(*copy);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(settings_.receive_delay.value));
  timer->async_wait(
      [this, timer, copy, alive = alive_](boost::system::error_code error) {
        if (!error && *alive) HandleDatagram(*copy);
      });
}

void Host::HandleDatagram(std::span<uint8_t> datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  const bool is_sound = packet.has_value() && !packet->is_bounced &&
                        HasValidChecksum(datagram) &&
                        !(packet->is_syn && packet->is_ack);
  if (!is_sound) {
    record_.Broken("UNASKED host " + settings_.id +
                   " got a packet that its sender didn't write so");
    return;
  }
  const FlowTuple tuple = FlowFromCaller(*packet);
  const TimePoint now = MonotonicNow();
  const auto found = flows_.find(tuple);
  if (on_packet) on_packet(tuple, HoldsOpenFlow(tuple));
  if (packet->is_syn) {
    const bool is_known = found != flows_.end() && !found->second.is_open;
    const bool is_full = flows_.size() >= kMaxFlows ||
                         static_cast<int>(queue_.size()) >= kQueueLimit;
    if ((found != flows_.end() && !is_known) || (is_full && !is_known)) {
      Bounce(datagram);
      return;
    }
    HandleOpening(*packet);
    return;
  }
  const bool is_held =
      found != flows_.end() &&
      packet->acknowledged - found->second.first_sequence <=
          found->second.end->next_sequence() - found->second.first_sequence;
  if (!is_held) {
    Bounce(datagram);
    return;
  }
  Flow& flow = found->second;
  if (packet->is_reset) {
    flow.is_finished = true;
    return;
  }
  if (!flow.is_open) {
    flow.is_open = true;
    flow.opened_at = now;
    record_.Line("host " + settings_.id + " holds " + FlowText(tuple));
  }
  flow.received += flow.end->HandlePacket(*packet, DataOf(datagram), now);
  TakeRequests(tuple);
  if (flow.end->is_remote_finished() && !flow.is_running && !flow.is_finished &&
      flow.received.empty()) {
    flow.is_finished = true;
    flow.end->Finish(now);
  }
}

void Host::TakeRequests(const FlowTuple& tuple) {
  Flow& flow = flows_.at(tuple);
  if (flow.is_running) return;
  const size_t end = flow.received.find("\r\n\r\n");
  if (end == std::string::npos) return;
  const std::string head = flow.received.substr(0, end + 4);
  const std::string length = HeaderOf(head, "Content-Length");
  const size_t body = length.empty() ? 0 : std::stoul(length);
  if (flow.received.size() < head.size() + body) return;
  flow.received.erase(0, head.size() + body);
  flow.is_running = true;
  queue_.emplace_back(tuple, head);
  StartQueued();
}

void Host::StartQueued() {
  while (running_ < settings_.slots && !queue_.empty()) {
    const auto [tuple, head] = queue_.front();
    queue_.pop_front();
    ++running_;
    record_.Line("host " + settings_.id + " runs " +
                 HeaderOf(head, "X-Request-Id"));
    auto timer = std::make_shared<boost::asio::steady_timer>(
        loop_,
        std::chrono::milliseconds(
            (IsCold() ? settings_.work + settings_.cold_work : settings_.work)
                .value));
    timer->async_wait([this, timer, tuple = tuple, head = head,
                       alive = alive_](boost::system::error_code error) {
      if (error || !*alive) return;
      --running_;
      Respond(tuple, head);
      StartQueued();
    });
  }
}

void Host::Respond(const FlowTuple& tuple, const std::string& head) {
  const auto found = flows_.find(tuple);
  if (found == flows_.end()) return;
  Flow& flow = found->second;
  flow.is_running = false;
  const std::string id = HeaderOf(head, "X-Request-Id");
  const std::string wanted = HeaderOf(head, "X-Answer-Bytes");
  const size_t size = wanted.empty() ? 600 : std::stoul(wanted);
  std::string body = "answer to " + id + " ";
  body.resize(std::max(size, body.size()), '.');
  const TimePoint now = MonotonicNow();
  flow.end->Write("HTTP/1.1 200 OK\r\nX-Server-Seal: " + settings_.id +
                      "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body,
                  now);
  if (is_draining_ && !flow.is_finished) {
    flow.is_finished = true;
    flow.end->Finish(now);
    return;
  }
  TakeRequests(tuple);
}

void Host::SendHeartbeat() {
  heartbeat_timer_.expires_after(
      std::chrono::milliseconds(settings_.heartbeat_interval.value));
  heartbeat_timer_.async_wait(
      [this, alive = alive_](boost::system::error_code error) {
        if (!error && *alive) SendHeartbeat();
      });
  if (heartbeat_client_.is_busy()) return;
  const bool says_draining = is_draining_;
  const nlohmann::json body = {
      {"service", settings_.service},
      {"address", ToString(Endpoint{settings_.ip, kAppPort})},
      {"zone", settings_.zone},
      {"version", "v1"},
      {"slots", settings_.slots},
      {"state", says_draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"sequence", ++sequence_},
      {"born", settings_.born}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/Instances.Heartbeat/" + settings_.id;
  request.body = body.dump();
  heartbeat_client_.Send(
      std::move(request), kAckTimeout, kAckTimeout,
      [this, says_draining,
       alive = alive_](const Result<HttpResponse>& result) {
        if (!*alive || !IsOk(result)) return;
        if (ValueOf(result).status / 100 != 2) return;
        last_acknowledged_at_ = MonotonicNow();
        if (!says_draining || drain_acknowledged_at_.has_value()) return;
        drain_acknowledged_at_ = MonotonicNow();
        record_.Line("host " + settings_.id + " has the ack of its drain");
      });
}

void Host::Tick() {
  const TimePoint now = MonotonicNow();
  for (auto position = flows_.begin(); position != flows_.end();) {
    Flow& flow = position->second;
    flow.end->Tick(now);
    const bool has_given_up = flow.end->retransmissions() > kMaxRetransmissions;
    if (has_given_up) {
      record_.Line("host " + settings_.id + " gives up " +
                   FlowText(position->first));
      position = flows_.erase(position);
      continue;
    }
    ++position;
  }
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait(
      [this, alive = alive_](boost::system::error_code error) {
        if (!error && *alive) Tick();
      });
}

}  // namespace medlarwinch::review
