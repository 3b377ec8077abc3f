#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <thread>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "running_daemons.h"

namespace medlarwinch {
namespace {

// Total lengths in bytes. The first is the longest valid packet; 1,401 is the
// shortest that does not fit a relayed message; the last fills the receive
// buffer of a process.
constexpr size_t kPacketLengths[] = {1'236, 1'237, 1'300, 1'400, 1'401,
                                     1'500, 2'012, 2'047, 2'048};
constexpr size_t kValidLengths = 1;
constexpr size_t kFlagsOffset = 26;
constexpr uint8_t kBouncedFlag = 32;
constexpr int kRandomDatagrams = 300;
constexpr uint32_t kRandomSeed = 20261206;

BOOST_FIXTURE_TEST_SUITE(MalformedDatagramTest, RunningDaemons)

// Guards against a packet that is too long to be relayed and ends the balancer
// by an exception, as an opening and as data of an open flow.
BOOST_AUTO_TEST_CASE(OversizedPackets_SentToBalancer_ProcessStaysReady) {
  for (const size_t length : kPacketLengths) {
    for (const bool is_syn : {false, true}) {
      Send(balancer_datagrams,
           Packet(is_syn, length - platform::kPacketHeaderBytes));
    }
  }
  const uint64_t malformed = 2 * (std::size(kPacketLengths) - kValidLengths);
  BOOST_TEST(RunUntil([&] {
    return balancer->HasExited() ||
           Metric(balancer_ip,
                  "medlarwinch_balancer_packets_malformed_total") == malformed;
  }));
  CheckBothReady();
}

// Guards against relayed packets and packets of the upstream with more data
// than the platform allows.
BOOST_AUTO_TEST_CASE(OversizedPackets_SentToAgent_ProcessStaysReady) {
  RelayHeader header = MakeHeader();
  Bytes message;
  for (const size_t length : kPacketLengths) {
    for (const bool is_syn : {false, true}) {
      const Bytes packet =
          Packet(is_syn, length - platform::kPacketHeaderBytes);
      Send(Endpoint{agent_ip, kOutboundPort}, packet);
      Send(Endpoint{agent_ip, kDatagramPort}, packet);
      if (length > kMaxFlowPacketBytes) continue;
      header.purpose =
          is_syn ? RelayPurpose::kOpen : RelayPurpose::kEstablished;
      EncodeRelayMessage(RelayedPacket{header, packet}, message);
      Send(Endpoint{agent_ip, kDatagramPort}, message);
    }
  }
  CheckBothReady();
}

// Guards against an upstream that returns an opening with more data than a
// relayed message holds, which ends the agent when it passes the opening on.
BOOST_AUTO_TEST_CASE(OversizedOpening_ReturnedToAgent_ProcessStaysReady) {
  // No more than the upstream's slots, since the agent passes further openings
  // on without delivering them.
  constexpr size_t kLengths[] = {1'401, 2'012, 2'048};
  uint16_t port = 2'000;
  Bytes message;
  for (const size_t length : kLengths) {
    ++port;
    EncodeRelayMessage(RelayedPacket{MakeHeader(), Packet(true, 0, port)},
                       message);
    BOOST_REQUIRE(caller->Send(Endpoint{agent_ip, kDatagramPort}, message));
    // The upstream, which runs on this thread, must not answer before.
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Bytes returned = Packet(true, length - platform::kPacketHeaderBytes, port);
    returned[kFlagsOffset] |= kBouncedFlag;
    Send(Endpoint{agent_ip, kOutboundPort}, returned);
  }
  BOOST_TEST(RunUntil([&] {
    return agent->HasExited() ||
           Metric(agent_ip, "medlarwinch_agent_packets_malformed_total") ==
               std::size(kLengths);
  }));
  CheckBothReady();
}

// Guards against a search with the fields of another packet, after which a flow
// that is open would seem to have no owner and be reset.
BOOST_AUTO_TEST_CASE(ReturnedPacketOfOtherFlow_SentToBalancer_IsMalformed) {
  const Bytes packet = Packet(false, 4);
  const FlowTuple other{Endpoint{caller_ip, 1'031},
                        *RouteAddresses(kHubService).begin()};
  Bytes message;
  for (const Bytes& returned : {packet, Bytes(20, 1)}) {
    EncodeRelayMessage(
        FlowOwnershipReply{other, FlowOwnership::kNotOwned, returned}, message);
    Send(Endpoint{balancer_ip, kRelayPort}, message);
  }
  BOOST_TEST(RunUntil([this] {
    return Metric(balancer_ip,
                  "medlarwinch_balancer_messages_malformed_total") == 2;
  }));
  CheckBothReady();
}

BOOST_AUTO_TEST_CASE(RandomDatagrams_SentToEverySocket_ProcessesStayReady) {
  std::mt19937 random(kRandomSeed);
  const Endpoint sockets[] = {balancer_datagrams,
                              {balancer_ip, kRelayPort},
                              {agent_ip, kDatagramPort},
                              {agent_ip, kOutboundPort}};
  for (int index = 0; index < kRandomDatagrams; ++index) {
    Bytes datagram(random() % 2'049);
    for (uint8_t& byte : datagram) byte = static_cast<uint8_t>(random());
    // Half of them begin like a relay message of a known kind.
    if (index % 2 == 0 && datagram.size() > 5) {
      datagram[0] = 1;
      datagram[1] = static_cast<uint8_t>(random() % 13);
      datagram[2] = datagram[3] = datagram[4] = 0;
    }
    for (const Endpoint& socket : sockets) Send(socket, datagram);
  }
  CheckBothReady();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
