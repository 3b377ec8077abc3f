#include <boost/test/unit_test.hpp>
#include <csignal>
#include <variant>

#include "medlarwinch/platform/packet_format.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "running_daemons.h"

namespace medlarwinch {
namespace {

// Longer than a caller's attempt to open a flow, 1.4 s.
constexpr std::chrono::milliseconds kLongSuspension{1'700};
constexpr std::chrono::milliseconds kShortSuspension{300};
constexpr std::chrono::milliseconds kReaction{400};

// The test takes the place of a balancer, of the next agent and of a caller,
// and sends an opening to an agent that is suspended.
struct SuspendedAgent : RunningDaemons {
  SuspendedAgent() {
    caller.reset();
    BOOST_REQUIRE(IsOk(AsyncUdpSocket::OpenInto(
        caller, loop, Endpoint{caller_ip, kDatagramPort},
        [this](const Endpoint& /*from*/, std::span<uint8_t> datagram) {
          Receive(datagram);
        })));
  }

  void Receive(std::span<uint8_t> datagram) {
    const std::optional<FlowPacket> packet = platform::DecodePacket(datagram);
    const bool is_to_caller =
        packet.has_value() && packet->destination.port == port;
    if (is_to_caller && packet->is_reset) ++resets;
    if (is_to_caller && packet->is_syn) ++answers;
    const Result<RelayMessage> message = DecodeRelayMessage(datagram);
    if (!IsOk(message)) return;
    if (std::holds_alternative<RelayedPacket>(ValueOf(message))) ++passed_on;
  }

  void Drain() {
    upstream.Drain();
    BOOST_REQUIRE(
        RunUntil([this] { return upstream.is_drain_acknowledged(); }));
  }

  void SendOpeningWhileSuspended(const RelayHeader& header,
                                 std::chrono::milliseconds suspension) {
    ++port;
    Bytes message;
    EncodeRelayMessage(RelayedPacket{header, Packet(true, 0, port)}, message);
    agent->Signal(SIGSTOP);
    Send(Endpoint{agent_ip, kDatagramPort}, message);
    Run(suspension);
    agent->Signal(SIGCONT);
    Run(kReaction);
  }

  uint16_t port = 2'000;
  int resets = 0;
  int answers = 0;
  int passed_on = 0;
};

BOOST_FIXTURE_TEST_SUITE(LateOpeningTest, SuspendedAgent)

// Guards against the reset of a flow that a later copy of the opening has
// opened at another upstream: the agent of a draining upstream refuses the
// first copy, which waited in its socket.
BOOST_AUTO_TEST_CASE(OpeningHeld_UpstreamDrains_CallerIsNotReset) {
  Drain();
  RelayHeader header = MakeHeader();
  header.alternates.clear();
  SendOpeningWhileSuspended(header, kLongSuspension);
  BOOST_TEST(resets == 0);
}

// Guards against an opening that another agent refuses or takes after the
// caller's attempt, because a suspended agent passed it on.
BOOST_AUTO_TEST_CASE(OpeningHeld_UpstreamDrains_IsNotPassedOn) {
  Drain();
  SendOpeningWhileSuspended(MakeHeader(), kLongSuspension);
  BOOST_TEST(passed_on == 0);
  BOOST_TEST(resets == 0);
}

// Guards against a flow at an upstream that its caller has opened elsewhere.
BOOST_AUTO_TEST_CASE(OpeningHeld_UpstreamReady_IsNotDelivered) {
  SendOpeningWhileSuspended(MakeHeader(), kLongSuspension);
  BOOST_TEST(answers == 0);
}

BOOST_AUTO_TEST_CASE(OpeningHeldBriefly_UpstreamReady_IsDelivered) {
  SendOpeningWhileSuspended(MakeHeader(), kShortSuspension);
  BOOST_TEST(answers == 1);
  BOOST_TEST(passed_on == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
