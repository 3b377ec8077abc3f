#include "medlarwinch/standins/packet_fabric.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "medlarwinch/protocol/frames.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

const Endpoint kIngress = TestEndpoint(17'411);
const Endpoint kFabric = TestEndpoint(17'412);
const Endpoint kControl = TestEndpoint(17'413);
const Endpoint kProbeHub = TestEndpoint(17'414);
const Endpoint kReportDesk = TestEndpoint(17'415);
const Endpoint kAnyPort = TestEndpoint(0);
constexpr Endpoint kCaller{0x0a000001, 1'024};

// Waits up to 3 s for a counter to reach a value.
template <typename Count>
bool WaitForCount(const Count& count, uint64_t value) {
  for (int attempt = 0; attempt < 300 && count < value; ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return count >= value;
}

std::unique_ptr<UdpSocket> BindAnyPort() {
  Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(kAnyPort);
  BOOST_REQUIRE(IsOk(socket));
  return TakeValue(std::move(socket));
}

// A balancer that responds to each packet itself, as an agent would.
class EchoBalancer {
 public:
  EchoBalancer() : socket_(BindAnyPort()) {
    socket_->Start([this](const Endpoint& from, ByteView datagram) {
      const Result<FabricPacket> packet = DecodeFabricPacket(datagram);
      if (!IsOk(packet)) return;
      ++received_;
      FabricPacket response = ValueOf(packet);
      if (!response_payload_.empty()) response.payload = response_payload_;
      socket_->Send(from, EncodeFabricPacket(response));
    });
  }
  ~EchoBalancer() { socket_->Stop(); }

  void set_response_payload(const Bytes& payload) {
    response_payload_ = payload;
  }
  const Endpoint& address() const { return socket_->local(); }
  const std::atomic<uint64_t>& received() const { return received_; }

 private:
  std::unique_ptr<UdpSocket> socket_;
  Bytes response_payload_;
  std::atomic<uint64_t> received_{0};
};

struct FabricWithTwoBalancers {
  FabricWithTwoBalancers() {
    FabricSettings settings;
    settings.ingress = kIngress;
    settings.fabric = kFabric;
    settings.control = kControl;
    settings.services = {{"probe-hub", kProbeHub},
                         {"report-desk", kReportDesk}};
    settings.balancers = {{"b1", first.address(), ""},
                          {"b2", second.address(), ""}};
    Result<std::unique_ptr<PacketFabric>> started =
        PacketFabric::Start(settings);
    BOOST_REQUIRE(IsOk(started));
    fabric = TakeValue(std::move(started));
    load_generator = BindAnyPort();
    load_generator->Start([this](const Endpoint&, ByteView datagram) {
      if (IsOk(DecodeFabricPacket(datagram))) ++responses;
    });
  }
  ~FabricWithTwoBalancers() { load_generator->Stop(); }

  void SendShortPackets(int count) const {
    FlowIdentifierBytes identifier{};
    FabricPacket packet{kProbeHub, kCaller, {}};
    AppendShortHeader(identifier, packet.payload);
    const Bytes frame = EncodeFrame(PingFrame{});
    packet.payload.insert(packet.payload.end(), frame.begin(), frame.end());
    const Bytes datagram = EncodeFabricPacket(packet);
    for (int index = 0; index < count; ++index)
      load_generator->Send(kIngress, datagram);
  }

  EchoBalancer first;
  EchoBalancer second;
  std::unique_ptr<PacketFabric> fabric;
  std::unique_ptr<UdpSocket> load_generator;
  std::atomic<uint64_t> responses{0};
};

BOOST_FIXTURE_TEST_SUITE(StandinFabric, FabricWithTwoBalancers)

BOOST_AUTO_TEST_CASE(ManyPackets_Sent_AreSprayedAndAnswered) {
  SendShortPackets(1'000);
  BOOST_TEST(WaitForCount(responses, 1'000));
  BOOST_TEST(first.received() > 350U);
  BOOST_TEST(second.received() > 350U);
  BOOST_TEST(fabric->counters().misdelivered == 0U);
}

BOOST_AUTO_TEST_CASE(PlainCaller_SendsToServiceAddress_GetsPlainResponse) {
  std::atomic<uint64_t> plain_responses{0};
  const std::unique_ptr<UdpSocket> caller = BindAnyPort();
  caller->Start([&](const Endpoint& from, ByteView datagram) {
    if (from == kProbeHub && datagram.size() == 3) ++plain_responses;
  });
  caller->Send(kProbeHub, Bytes{1, 2, 3});
  BOOST_TEST(WaitForCount(plain_responses, 1));
  caller->Stop();
}

// Guards against packets to a balancer that was removed from the fabric.
BOOST_AUTO_TEST_CASE(BalancerRemoved_PacketsSent_ReachOtherBalancer) {
  fabric->RemoveBalancer("b1");
  SendShortPackets(200);
  BOOST_TEST(WaitForCount(responses, 200));
  BOOST_TEST(first.received() == 0U);
}

BOOST_AUTO_TEST_CASE(BalancerPartitioned_PacketsSent_AboutHalfAreLost) {
  fabric->SetPartitioned("b1", true);
  SendShortPackets(400);
  BOOST_TEST(WaitForCount(fabric->counters().from_callers, 400));
  BOOST_TEST(fabric->counters().lost > 100U);
  BOOST_TEST(first.received() == 0U);
}

BOOST_AUTO_TEST_CASE(AllFaults_PacketsSent_AreCounted) {
  fabric->faults().loss_percent = 20;
  fabric->faults().duplicate_percent = 20;
  fabric->faults().reorder_percent = 20;
  fabric->faults().forge_percent = 20;
  fabric->faults().corrupt_percent = 20;
  fabric->faults().replay_percent = 20;
  SendShortPackets(1'000);
  BOOST_TEST(WaitForCount(fabric->counters().from_callers, 1'000));
  const FabricCounters& counters = fabric->counters();
  for (const std::atomic<uint64_t>* count :
       {&counters.lost, &counters.duplicated, &counters.reordered,
        &counters.forged, &counters.corrupted, &counters.replayed}) {
    BOOST_TEST(*count > 100U);
  }
}

// Guards against a misdelivery counter that never counts: these balancers
// respond to a packet replayed at another service's address.
BOOST_AUTO_TEST_CASE(ReplayedPacket_AnsweredByOtherService_IsMisdelivered) {
  fabric->faults().replay_percent = 100;
  SendShortPackets(10);
  BOOST_TEST(WaitForCount(fabric->counters().misdelivered, 10));
}

// Guards against counting the rejection of a replayed packet as misdelivery.
BOOST_AUTO_TEST_CASE(ReplayedPacket_RejectedWithReset_IsNotMisdelivered) {
  Bytes reset;
  AppendShortHeader(FlowIdentifierBytes{}, reset);
  const Bytes frame = EncodeFrame(ResetFrame{});
  reset.insert(reset.end(), frame.begin(), frame.end());
  first.set_response_payload(reset);
  second.set_response_payload(reset);
  fabric->faults().replay_percent = 100;
  SendShortPackets(10);
  BOOST_TEST(WaitForCount(fabric->counters().foreign_resets, 10));
  BOOST_TEST(fabric->counters().misdelivered == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a latency setting that is not applied.
BOOST_AUTO_TEST_CASE(DelayQueue_DelayOf50Ms_IsApplied) {
  const std::unique_ptr<UdpSocket> receiver = BindAnyPort();
  const std::unique_ptr<UdpSocket> sender = BindAnyPort();
  std::atomic<uint64_t> received{0};
  receiver->Start([&](const Endpoint&, ByteView) { ++received; });
  const auto start = std::chrono::steady_clock::now();
  DelayQueue queue;
  queue.Send(*sender, receiver->local(), Bytes{1},
             std::chrono::milliseconds(50));
  BOOST_TEST(WaitForCount(received, 1));
  const auto elapsed = std::chrono::steady_clock::now() - start;
  BOOST_TEST((elapsed >= std::chrono::milliseconds(50)));
  receiver->Stop();
}

}  // namespace
}  // namespace medlarwinch
