#include "consumers.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "host.h"
#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

constexpr std::chrono::milliseconds kTick{10};
// One way between consumers and the balancers, as the sheets say.
constexpr Millis kLinkDelay{3};
constexpr Millis kFirstCopyAfter{200};
constexpr Millis kSecondCopyAfter{600};
constexpr Millis kOpeningTimeout{1'400};
constexpr Millis kPauseAfterFailure{100};

}  // namespace

void After(boost::asio::io_context& loop, Millis delay,
           std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop, std::chrono::milliseconds(delay.value));
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) action();
      });
}

Consumers::Consumers(boost::asio::io_context& loop, uint32_t ip, uint64_t seed,
                     Record& record, Hooks hooks)
    : loop_(loop),
      ip_(ip),
      record_(record),
      hooks_(std::move(hooks)),
      random_(seed),
      timer_(loop) {}

Consumers::~Consumers() = default;

Result<Ok> Consumers::Start() {
  const Result<Ok> opened = AsyncUdpSocket::OpenInto(
      socket_, loop_, Endpoint{ip_, kDatagramPort},
      [this](const Endpoint& from, std::span<uint8_t> datagram) {
        HandleDatagram(from, datagram);
      });
  if (!IsOk(opened)) return opened;
  Tick();
  return Ok{};
}

void Consumers::Add(const ConsumerSettings& settings,
                    Millis first_request_after) {
  auto consumer = std::make_unique<Consumer>();
  consumer->settings = settings;
  consumer->next_request_at = MonotonicNow() + first_request_after;
  consumers_.push_back(std::move(consumer));
}

void Consumers::Tick() {
  const TimePoint now = MonotonicNow();
  for (const std::unique_ptr<Consumer>& entry : consumers_) {
    Consumer& consumer = *entry;
    if (consumer.end != nullptr) consumer.end->Tick(now);
    const bool is_waiting = !consumer.request_id.empty();
    if (is_waiting && now >= consumer.deadline) {
      EndRequest(consumer, false, "the time budget is over", now);
      continue;
    }
    if (consumer.is_opening) {
      const Millis elapsed = now - consumer.opening_sent_at;
      const bool is_due =
          (consumer.copies == 0 && elapsed >= kFirstCopyAfter) ||
          (consumer.copies == 1 && elapsed >= kSecondCopyAfter);
      if (is_due) {
        ++consumer.copies;
        SendOpening(consumer);
      }
      if (elapsed >= kOpeningTimeout) {
        EndRequest(consumer, false, "the flow did not open", now);
      }
      continue;
    }
    if (is_waiting || is_stopped_ || now < consumer.next_request_at) continue;
    BeginRequest(consumer, now);
  }
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) Tick();
  });
}

void Consumers::BeginRequest(Consumer& consumer, TimePoint now) {
  consumer.request_id =
      "r" + std::to_string(ip_ & 0xff) + "-" + std::to_string(next_request_++);
  const bool is_unsafe = consumer.settings.is_unsafe;
  std::string body(is_unsafe ? 900 : 0, 'x');
  consumer.request =
      std::string(is_unsafe ? "POST" : "GET") +
      " /item HTTP/1.1\r\nHost: service\r\nX-Request-Id: " +
      consumer.request_id +
      "\r\nX-Answer-Bytes: " + std::to_string(consumer.settings.answer_bytes) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  consumer.deadline = now + consumer.settings.time_budget;
  ++sent_;
  if (consumer.is_open) {
    record_.Line("consumer sends " + consumer.request_id + " on " +
                 FlowText(consumer.flow));
    consumer.end->Write(consumer.request, now);
    return;
  }
  OpenFlow(consumer, now);
}

void Consumers::OpenFlow(Consumer& consumer, TimePoint now) {
  DropFlow(consumer);
  consumer.flow =
      FlowTuple{Endpoint{ip_, next_port_++}, consumer.settings.route};
  by_port_[consumer.flow.caller.port] = &consumer;
  consumer.first_sequence = static_cast<uint32_t>(random_());
  consumer.is_opening = true;
  consumer.copies = 0;
  consumer.opening_sent_at = now;
  record_.Line("consumer opens " + FlowText(consumer.flow) + " for " +
               consumer.request_id);
  SendOpening(consumer);
}

void Consumers::SendOpening(Consumer& consumer) {
  FlowPacket packet;
  packet.source = consumer.flow.caller;
  packet.destination = consumer.flow.service_address;
  packet.is_syn = true;
  packet.sequence = consumer.first_sequence;
  packet.acknowledged = consumer.copies;
  hooks_.route(consumer.flow, EncodePacket(packet, {}));
}

void Consumers::DropFlow(Consumer& consumer) {
  by_port_.erase(consumer.flow.caller.port);
  consumer.end.reset();
  consumer.is_open = false;
  consumer.is_opening = false;
  consumer.received.clear();
}

Millis Consumers::PauseOf(const ConsumerSettings& settings) {
  if (settings.pause_spread <= Millis{0}) return settings.pause;
  const auto spread = static_cast<uint64_t>(settings.pause_spread.value);
  return settings.pause + Millis{static_cast<int64_t>(random_() % spread)};
}

void Consumers::EndRequest(Consumer& consumer, bool is_answered,
                           const std::string& reason, TimePoint now) {
  if (is_answered) {
    ++answered_;
    record_.Line("consumer has the answer to " + consumer.request_id);
    consumer.next_request_at = now + PauseOf(consumer.settings);
    if (consumer.settings.opens_flow_for_each && consumer.end != nullptr) {
      consumer.end->Finish(now);
      consumer.is_open = false;
    }
  } else {
    ++failed_;
    record_.Line("consumer has no answer to " + consumer.request_id + ": " +
                 reason);
    consumer.next_request_at = now + kPauseAfterFailure;
    DropFlow(consumer);
  }
  consumer.request_id.clear();
}

void Consumers::HandleDatagram(const Endpoint& from,
                               std::span<const uint8_t> datagram) {
  After(loop_, kLinkDelay,
        [this, from, copy = Bytes(datagram.begin(), datagram.end())] {
          HandlePacket(from, copy);
        });
}

void Consumers::HandlePacket(const Endpoint& from, const Bytes& datagram) {
  const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
  if (!packet.has_value()) {
    record_.Broken("MIXED a consumer got bytes that are no packet");
    return;
  }
  const auto found = by_port_.find(packet->destination.port);
  if (found == by_port_.end()) return;
  Consumer& consumer = *found->second;
  if (FlowFromUpstream(*packet) != consumer.flow) return;
  const TimePoint now = MonotonicNow();
  if (packet->is_reset) {
    const bool is_of_host = HasValidChecksum(datagram);
    record_.Line(std::string("consumer gets a reset of ") +
                 (is_of_host ? "the host" : "the system") + " on " +
                 FlowText(consumer.flow));
    if (consumer.is_open && !is_of_host) {
      hooks_.on_reset(consumer.flow, consumer.request_id,
                      consumer.settings.is_unsafe, from.ip);
    }
    if (!consumer.request_id.empty()) {
      EndRequest(consumer, false, "reset", now);
    } else {
      DropFlow(consumer);
    }
    return;
  }
  if (!HasValidChecksum(datagram)) {
    record_.Broken(
        "MIXED a consumer got a packet that its sender didn't "
        "write so");
    return;
  }
  if (packet->is_syn) {
    if (!consumer.is_opening) return;
    consumer.is_opening = false;
    consumer.is_open = true;
    consumer.end = std::make_unique<FlowEnd>(
        consumer.flow.caller, consumer.flow.service_address,
        consumer.first_sequence + 1, packet->sequence + 1,
        [this, flow = consumer.flow](const FlowPacket& sent,
                                     std::string_view data) {
          hooks_.route(flow, EncodePacket(sent, data));
        });
    record_.Line("consumer sends " + consumer.request_id + " on " +
                 FlowText(consumer.flow));
    consumer.end->Write(consumer.request, now);
    return;
  }
  if (consumer.end == nullptr) return;
  consumer.received +=
      consumer.end->HandlePacket(*packet, DataOf(datagram), now);
  TakeAnswer(consumer, now);
  if (consumer.end != nullptr && consumer.end->is_remote_finished() &&
      consumer.is_open) {
    consumer.is_open = false;
    consumer.end->Finish(now);
  }
}

void Consumers::TakeAnswer(Consumer& consumer, TimePoint now) {
  const size_t end = consumer.received.find("\r\n\r\n");
  if (end == std::string::npos || consumer.request_id.empty()) return;
  const std::string name = "Content-Length: ";
  const size_t at = consumer.received.find(name);
  const size_t size = std::stoul(consumer.received.substr(at + name.size()));
  if (consumer.received.size() < end + 4 + size) return;
  const std::string expected = "answer to " + consumer.request_id + " ";
  if (consumer.received.compare(end + 4, expected.size(), expected) != 0) {
    record_.Broken("MIXED the answer belongs to another request than " +
                   consumer.request_id);
  }
  consumer.received.erase(0, end + 4 + size);
  EndRequest(consumer, true, "", now);
}

}  // namespace medlarwinch::review
