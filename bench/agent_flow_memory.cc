// Measures the resident memory per open flow and the time to open one: opens
// 300,000 flows at one agent engine, then sends each opening packet again.
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "medlarwinch/daemon/agent_engine.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kFlows = 300'000;
constexpr const char* kService = "probe-hub";

uint64_t ResidentBytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word != "VmRSS:") continue;
    uint64_t kibibytes = 0;
    status >> kibibytes;
    return kibibytes * 1'024;
  }
  return 0;
}

Bytes MakeOpenPacket(const KeySet& keys, uint32_t caller, const Frame& frame) {
  ForwardedPacket packet;
  packet.service = kService;
  packet.service_address = Endpoint{0x0a630001, 443};
  packet.caller = Endpoint{0x0a000000 + caller / 50'000,
                           static_cast<uint16_t>(1'024 + caller % 50'000)};
  packet.fabric_address = Endpoint{0x7f000001, 9};
  Bytes identifier(kCallerIdentifierBytes);
  for (size_t index = 0; index < sizeof(caller); ++index) {
    identifier[index] = static_cast<uint8_t>(caller >> (8 * index));
  }
  AppendLongHeader(kThinProtocolVersion, Bytes(8, 1), identifier,
                   packet.payload);
  EncodeTo(frame, packet.payload);
  return EncodeDataMessage(keys.mac_key(), packet);
}

double SecondsSince(std::chrono::steady_clock::time_point since) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - since)
      .count();
}

int Run() {
  boost::asio::io_context context;
  Metrics metrics;
  AgentEngineOptions options;
  options.identity = AgentIdentity{kService, Endpoint{0x7f000001, 7'000}, 1};
  options.slots = 100;
  uint64_t replies = 0;
  AgentEngineCallbacks callbacks;
  callbacks.send = [&replies](const Endpoint&, ByteView) { ++replies; };
  callbacks.set_phase = [](MemberPhase) {};
  callbacks.record_account_entry = [](AccountEntry) {};
  AgentEngine engine(options, callbacks, context, metrics);
  const KeySet keys(FleetKey{}, KeyRing{});
  const Endpoint from{0x7f000001, 8'000};
  const uint64_t bytes_before = ResidentBytes();
  const auto open_start = std::chrono::steady_clock::now();
  for (uint32_t caller = 0; caller < kFlows; ++caller) {
    engine.OnDatagram(from, MakeOpenPacket(keys, caller, OpenFrame{}));
  }
  const double open_seconds = SecondsSince(open_start);
  const uint64_t bytes_after = ResidentBytes();
  const uint32_t flows = engine.CollectLoad().flows;
  const auto repeat_start = std::chrono::steady_clock::now();
  for (uint32_t caller = 0; caller < kFlows; ++caller) {
    engine.OnDatagram(from, MakeOpenPacket(keys, caller, OpenFrame{}));
  }
  const double repeat_seconds = SecondsSince(repeat_start);
  std::printf("flows %u answers %llu\n", flows,
              static_cast<unsigned long long>(replies));
  std::printf("bytes_per_flow %.0f\n",
              static_cast<double>(bytes_after - bytes_before) / kFlows);
  std::printf("open_us %.2f repeated_open_us %.2f (packet included)\n",
              open_seconds * 1e6 / kFlows, repeat_seconds * 1e6 / kFlows);
  return flows == kFlows ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace medlarwinch

int main() { return medlarwinch::Run(); }
