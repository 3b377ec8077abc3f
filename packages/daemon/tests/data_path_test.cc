#include "medlarwinch/daemon/data_path.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <deque>

#include "test_address.h"

namespace medlarwinch {
namespace {

const uint32_t kLoopback = ProcessLoopbackIp();
constexpr Endpoint kServiceAddress{0x0a000001, 443};
constexpr Endpoint kCaller{0x0a000099, 5'000};

// A UDP socket that queues its datagrams for the test.
class ReceivingSocket {
 public:
  ReceivingSocket()
      : socket_(TakeValue(UdpSocket::Bind(Endpoint{kLoopback, 0}))) {
    socket_->Start([this](const Endpoint&, ByteView datagram) {
      const std::lock_guard<std::mutex> lock(mutex_);
      received_.emplace_back(datagram.begin(), datagram.end());
      arrived_.notify_one();
    });
  }
  ~ReceivingSocket() { socket_->Stop(); }

  // Returns an empty datagram if none arrives within 2 s.
  Bytes ReceiveOne() {
    std::unique_lock<std::mutex> lock(mutex_);
    arrived_.wait_for(lock, std::chrono::seconds(2),
                      [this] { return !received_.empty(); });
    if (received_.empty()) return {};
    Bytes bytes = received_.front();
    received_.pop_front();
    return bytes;
  }

  const UdpSocket& socket() const { return *socket_; }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<Bytes> received_;
  std::unique_ptr<UdpSocket> socket_;
};

struct DataPathWithOneUpstream {
  DataPathWithOneUpstream() {
    document.service = "probe-hub";
    document.addresses = {kServiceAddress};
    MemberEntry member;
    member.id = Endpoint{kLoopback, 7'100};
    member.version.phase = MemberPhase::kReady;
    member.service = document.service;
    member.slots = 4;
    member.data = upstream.socket().local();
    members[member.id] = member;
    Publish();
  }

  void Publish() {
    const RoutingInput input{
        members, doubtful, ready_since, {RoutedDocument{3, &document}}, means};
    path->Publish(
        std::make_shared<RoutingTables>(
            BuildRoutingTables(input, RoutingTables{}, TimePoint{0}).tables),
        keys);
  }

  void SendFromFabric(const Bytes& payload) {
    fabric.socket().Send(
        path->local(),
        EncodeFabricPacket(FabricPacket{kServiceAddress, kCaller, payload}));
  }

  ForwardedPacket ReceiveForwarded() {
    const Result<DataMessage> message =
        DecodeDataMessage(keys->mac_key(), upstream.ReceiveOne());
    BOOST_REQUIRE(IsOk(message));
    return std::get<ForwardedPacket>(ValueOf(message));
  }

  ServiceDocument document;
  std::map<Endpoint, MemberEntry> members;
  std::set<Endpoint> doubtful;
  std::map<Endpoint, TimePoint> ready_since;
  std::map<std::string, double> means{{"probe-hub", 12.5}};
  std::shared_ptr<const KeySet> keys =
      std::make_shared<KeySet>(FleetKey{1}, KeyRing{});
  ReceivingSocket upstream;
  ReceivingSocket fabric;
  std::unique_ptr<DataPath> path =
      TakeValue(DataPath::Start(Endpoint{kLoopback, 0}, 2));
};

BOOST_FIXTURE_TEST_SUITE(DataPathOnLoopback, DataPathWithOneUpstream)

// Guards against an agent that can't respond because fields of the forwarded
// packet are missing.
BOOST_AUTO_TEST_CASE(OpenPacket_Received_IsForwardedWithCandidates) {
  Bytes open;
  AppendLongHeader(kThinProtocolVersion, Bytes(20, 9), Bytes(8, 1), open);
  SendFromFabric(open);
  const ForwardedPacket packet = ReceiveForwarded();
  BOOST_TEST(packet.service == "probe-hub");
  BOOST_CHECK(packet.service_address == kServiceAddress);
  BOOST_CHECK(packet.caller == kCaller);
  BOOST_CHECK(packet.fabric_address == fabric.socket().local());
  BOOST_CHECK(packet.candidates ==
              std::vector<Endpoint>{upstream.socket().local()});
  BOOST_TEST(packet.accepting_candidates == 1);
  BOOST_TEST(packet.mean_flows_per_slot == 12.5);
  BOOST_CHECK(packet.payload == open);
}

BOOST_AUTO_TEST_CASE(ValidIdentifier_Received_GoesToNamedAgent) {
  FlowIdentifier identifier;
  identifier.agent = upstream.socket().local();
  Bytes data;
  AppendShortHeader(IssueFlowIdentifier(*keys, "probe-hub", identifier), data);
  members.clear();
  Publish();
  SendFromFabric(data);
  const ForwardedPacket packet = ReceiveForwarded();
  BOOST_TEST(packet.candidates.empty());
  Metrics metrics;
  path->FlushCounters(metrics);
  BOOST_TEST(metrics.Render().find("medlarwinch_packets_established_total{"
                                   "service=\"probe-hub\"} 1") !=
             std::string::npos);
}

// Guards against counts that each flush adds again.
BOOST_AUTO_TEST_CASE(DroppedPackets_FlushedTwice_AreCountedOnce) {
  fabric.socket().Send(path->local(), Bytes(5, 1));
  SendFromFabric(Bytes{0x40, 1});
  Bytes open;
  AppendLongHeader(kThinProtocolVersion, Bytes(20, 9), Bytes(8, 1), open);
  SendFromFabric(open);
  ReceiveForwarded();
  Metrics metrics;
  path->FlushCounters(metrics);
  path->FlushCounters(metrics);
  const std::string text = metrics.Render();
  BOOST_TEST(text.find("medlarwinch_packets_dropped_total{reason=\"malformed_"
                       "packet\",service=\"probe-hub\"} 1\n") !=
             std::string::npos);
  BOOST_TEST(text.find("medlarwinch_packets_dropped_total{reason=\"malformed_"
                       "packet\",service=\"\"} 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
