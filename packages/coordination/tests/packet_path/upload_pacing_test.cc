#include <boost/test/unit_test.hpp>

#include "medlarwinch/coordination/packet_path/held_packets.h"
#include "upload_model.h"

namespace medlarwinch {
namespace {

// Callers of uploads need the response within 800 ms.
constexpr Millis kLatencyObjective{800};
constexpr Millis kRunTime{20'000};
constexpr uint32_t kNarrowKbps = 10'000;

BOOST_FIXTURE_TEST_SUITE(UploadModelTest, UploadModel)

// Guards against first windows of several uploads that overrun the queue.
BOOST_AUTO_TEST_CASE(NarrowLink_ThreeUploadsAtOnce_CompleteInTimeWithoutLoss) {
  for (int count = 0; count < 3; ++count) Start(now_us);
  BOOST_TEST(Run(kRunTime).value < kLatencyObjective.value);
  BOOST_TEST(lost == 0U);
}

// Guards against losses while more uploads are under way than meet the
// objective.
BOOST_AUTO_TEST_CASE(NarrowLink_EightUploadsAtOnce_LoseNothing) {
  for (int count = 0; count < 8; ++count) Start(now_us);
  BOOST_TEST(Run(kRunTime).value < 2 * kLatencyObjective.value);
  BOOST_TEST(lost == 0U);
}

// Guards against uploads under way that do not learn of later ones.
BOOST_AUTO_TEST_CASE(NarrowLink_UploadsBeginWhileOthersRun_LoseNothing) {
  for (int count = 0; count < 8; ++count) Start(now_us + count * 30'000);
  Run(kRunTime);
  BOOST_TEST(lost == 0U);
}

// Guards against a model in which nothing is lost anyway.
BOOST_AUTO_TEST_CASE(NarrowLink_WithoutPacing_LosesPackets) {
  is_paced = false;
  for (int count = 0; count < 3; ++count) Start(now_us);
  BOOST_TEST(Run(kRunTime).value > kLatencyObjective.value);
  BOOST_TEST(lost > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

// An upload flow at an agent, whose round trip was measured as 10 ms.
struct PacedUpload {
  PacedUpload() {
    FlowPacket answer;
    answer.acknowledged = 1'000;
    RecordUploadOpened(pacing, FlowFromCaller(caller), kBalancerAddress, answer,
                       now);
    now = now + Millis{10};
    CallerSends(kBalancerAddress);
    Poll(kBalancerAddress, 2);
    Acknowledge(1'200);
  }

  void CallerSends(const Endpoint& balancer) {
    RelayActions none;
    RecordUploadPath(pacing, caller, balancer, now, none);
  }

  void Poll(const Endpoint& balancer, uint32_t uploads,
            uint32_t link_kbps = kNarrowKbps) {
    RecordBalancerLink(pacing, balancer, link_kbps, uploads, now);
  }

  FlowPacket FromUpstream() const {
    FlowPacket packet;
    packet.source = caller.destination;
    packet.destination = caller.source;
    packet.is_ack = true;
    packet.acknowledged = acknowledged;
    return packet;
  }

  RelayActions Deliver(const FlowPacket& packet, bool is_stopping = false) {
    RelayActions actions;
    AddDelivery(pacing, packet, is_stopping, now, actions);
    return actions;
  }

  // Acknowledges `bytes` more. Returns how long the packet is held.
  Millis Acknowledge(uint32_t bytes = 2'400, bool is_stopping = false) {
    acknowledged += bytes;
    const std::vector<HoldPacket> holds =
        ActionsOf<HoldPacket>(Deliver(FromUpstream(), is_stopping));
    return holds.empty() ? Millis{0} : holds.front().due - now;
  }

  // Returns true if the packet is sent now and replaces the held ones.
  bool Supersedes(const FlowPacket& packet) {
    const RelayActions actions = Deliver(packet);
    return ActionsOf<DiscardHeld>(actions).size() == 1 &&
           ActionsOf<DeliverToCaller>(actions).size() == 1 &&
           ActionsOf<HoldPacket>(actions).empty();
  }

  FlowPacket caller = CallerPacket(2'000, 1);
  TimePoint now{10'000};
  uint32_t acknowledged = 1'000;
  AckPacing pacing;
};

BOOST_FIXTURE_TEST_SUITE(AckPacingTest, PacedUpload)

// Guards against flows that send faster than their part of the link: 2,400
// bytes of data are 2,600 on the link, of which the flow has 468 a millisecond.
BOOST_AUTO_TEST_CASE(TwoUploads_NextAcknowledgements_AreSpacedByShare) {
  BOOST_TEST(Acknowledge().value == 2);
  BOOST_TEST(Acknowledge().value == 8);
}

// Guards against retransmissions by callers whose packets stay unacknowledged
// for 200 ms, also with wrong figures from the wire.
BOOST_AUTO_TEST_CASE(
    AbsurdFigures_Acknowledgements_AreHeldLessThanRoundTripAllows) {
  Poll(kBalancerAddress, UINT32_MAX, 1);
  for (int count = 0; count < 20; ++count) {
    BOOST_TEST(Acknowledge().value <= 140);
  }
}

// Guards against delays of what the caller waits for.
BOOST_AUTO_TEST_CASE(HeldAcknowledgement_DuplicateDataFinOrReset_SupersedesIt) {
  std::vector<FlowPacket> packets(4);
  for (FlowPacket& packet : packets) packet = FromUpstream();
  packets[1].data_bytes = 500;
  packets[2].is_fin = true;
  packets[3].is_reset = true;
  for (FlowPacket packet : packets) {
    BOOST_TEST(Acknowledge().value > 0);
    packet.acknowledged = acknowledged;
    BOOST_TEST(Supersedes(packet));
  }
}

// Guards against pacing by a balancer that has died.
BOOST_AUTO_TEST_CASE(SilentBalancer_AfterTwoSeconds_PacesNoMore) {
  now = now + Millis{2'000};
  Acknowledge();
  BOOST_TEST(Acknowledge().value == 0);
  BOOST_TEST(RefreshAckPacing(pacing, now).size() == 1U);
  BOOST_TEST(pacing.links.empty());
}

// Guards against pacing by the link of an earlier balancer.
BOOST_AUTO_TEST_CASE(Flow_MovesToOtherBalancer_IsPacedByItsLink) {
  const Endpoint other{kBalancerAddress.ip + 1, 7'000};
  Poll(other, 2, kNarrowKbps / 4);
  CallerSends(other);
  Acknowledge();
  BOOST_TEST(Acknowledge().value == 24);
  Poll(other, 2, kUnpacedLinkKbps);
  acknowledged += 2'400;
  BOOST_TEST(Supersedes(FromUpstream()));
}

// Guards against delays without need: one window in each round trip is less
// than the share.
BOOST_AUTO_TEST_CASE(AloneWithLongRoundTrip_Acknowledgements_AreNotHeld) {
  Poll(kBalancerAddress, 1);
  pacing.flows.begin()->second.round_trip = Millis{40};
  Acknowledge();
  BOOST_TEST(Acknowledge().value == 0);
}

// Guards against acknowledgements that are lost when the process stops.
BOOST_AUTO_TEST_CASE(StoppingAgent_Acknowledgements_AreNotHeld) {
  BOOST_TEST(Acknowledge(2'400, true).value == 0);
  BOOST_TEST(Acknowledge(2'400, true).value == 0);
}

// Guards against acknowledgements that follow a caller's reset.
BOOST_AUTO_TEST_CASE(HeldAcknowledgement_ResetOfCaller_IsDiscarded) {
  Acknowledge();
  caller.is_reset = true;
  RelayActions actions;
  RecordUploadPath(pacing, caller, kBalancerAddress, now, actions);
  BOOST_TEST(ActionsOf<DiscardHeld>(actions).size() == 1U);
  BOOST_TEST(pacing.flows.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UploadFlowsTest)

UploadPacketEffect Open(UploadFlows& uploads, uint16_t port, uint32_t copy,
                        TimePoint now) {
  return RecordUploadPacket(uploads, OpeningPacket(port, copy), kNarrowKbps,
                            now);
}

// Guards against a second opening of a flow beside the held one.
BOOST_AUTO_TEST_CASE(HeldOpening_NextCopy_RenewsIt) {
  UploadFlows uploads;
  for (uint16_t port = 1; port <= 3; ++port) Open(uploads, port, 0, {1'000});
  const UploadPacketEffect copy = Open(uploads, 3, 1, {1'200});
  BOOST_TEST((copy.action == UploadPacketAction::kRenewHeld));
}

// Guards against openings that are held beyond the caller's last copy, and
// against dropping that last copy.
BOOST_AUTO_TEST_CASE(FullLink_Openings_AreLeftToCopiesUntilLastOne) {
  UploadFlows uploads;
  for (uint16_t port = 1; port <= 40; ++port) Open(uploads, port, 0, {1'000});
  BOOST_TEST(
      (Open(uploads, 41, 1, {1'000}).action == UploadPacketAction::kDrop));
  for (uint16_t port = 50; port <= 90; ++port) {
    const UploadPacketEffect last = Open(uploads, port, 2, {1'000});
    BOOST_TEST((last.action == UploadPacketAction::kHold));
    BOOST_TEST((last.due - TimePoint{1'000}).value <= 600);
  }
}

// Guards against shares for uploads that have ended or have not begun.
BOOST_AUTO_TEST_CASE(EndedAndHeldUploads_Count_AreLeftOut) {
  UploadFlows uploads;
  Open(uploads, 1, 0, {1'000});
  Open(uploads, 2, 0, {1'000});
  FlowPacket data = CallerPacket(1, 1);
  data.data_bytes = 1'200;
  RecordUploadPacket(uploads, data, kNarrowKbps, {1'010});
  BOOST_TEST(CountUploads(uploads, {1'010}) == 1U);
  BOOST_TEST(CountUploads(uploads, {1'060}) == 0U);
}

// Guards against unbounded memory: the packet that is due first is released.
BOOST_AUTO_TEST_CASE(HeldPackets_Full_ReleaseThePacketDueFirst) {
  HeldPackets held;
  const FlowTuple flow = FlowFromCaller(CallerPacket(1, 0));
  for (size_t index = 0; index < kMaxHeldPackets; ++index) {
    const TimePoint due{static_cast<int64_t>(2'000 - index)};
    BOOST_TEST(!AddHeldPacket(held, due, {flow, due, {}}).has_value());
  }
  const auto released = AddHeldPacket(held, {5'000}, {flow, {5'000}, {}});
  BOOST_REQUIRE(released.has_value());
  BOOST_TEST(released->received_at.value == 2'000 - 511);
  BOOST_TEST(TakeDuePackets(held, {1'500}).size() == 11U);
  BOOST_TEST(TakeAllPackets(held).size() == kMaxHeldPackets - 11);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
