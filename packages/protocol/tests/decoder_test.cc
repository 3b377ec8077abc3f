#include <boost/test/unit_test.hpp>
#include <limits>
#include <random>

#include "medlarwinch/protocol/control_messages.h"
#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/frames.h"
#include "medlarwinch/protocol/packet_header.h"
#include "medlarwinch/protocol/relay_messages.h"
#include "mutation.h"

namespace medlarwinch {
namespace {

constexpr int kMutations = 20'000;
constexpr uint32_t kSeed = 20261204;

// Decodes mutated encodings of `message`. Guards against decoders that crash,
// read past the end, or accept input that can't be encoded again.
template <typename Message>
void CheckMutations(const Message& message) {
  std::mt19937 random(kSeed);
  const Bytes encoded = Encode(message);
  const Result<Message> round_trip = Decode<Message>(encoded);
  BOOST_REQUIRE(IsOk(round_trip));
  BOOST_CHECK(ValueOf(round_trip) == message);
  int accepted = 0;
  for (int index = 0; index < kMutations; ++index) {
    const Result<Message> decoded = Decode<Message>(Mutate(encoded, random));
    if (!IsOk(decoded)) continue;
    ++accepted;
    Encode(ValueOf(decoded));
  }
  BOOST_TEST(accepted < kMutations);
}

BOOST_AUTO_TEST_SUITE(Decoders)

BOOST_AUTO_TEST_CASE(MutatedFrame_Decoded_FailsOrReencodes) {
  RequestFrame request;
  request.number = 5;
  request.method = "POST";
  request.path = "/samples";
  request.idempotency_key = "k1";
  request.earlier_flow = Bytes(kFlowIdentifierBytes, 3);
  request.body = Bytes(300, 9);
  CheckMutations(Frame(request));
  CheckMutations(Frame(
      ResponsePartFrame{5, 1'000, Bytes(200, 1), true, 200, Verdict::kRan}));
  CheckMutations(Frame(ResetFrame{ResetReason::kShed}));
}

BOOST_AUTO_TEST_CASE(MutatedDataMessage_Decoded_FailsOrReencodes) {
  ForwardedPacket packet;
  packet.service = "probe-hub";
  packet.candidates = {Endpoint{1, 2}, Endpoint{3, 4}};
  packet.payload = Bytes(100, 7);
  CheckMutations(DataMessage(packet));
  CheckMutations(DataMessage(
      KeyReservationRequest{1, "probe-hub", {1, 2}, {3, 4}, 5, {6, 7}, 8}));
  CheckMutations(DataMessage(
      KeyQueryReply{1, {1, 2}, 3, KeyState::kRan, 200, true, Bytes(50, 1)}));
  CheckMutations(FabricPacket{{1, 2}, {3, 4}, Bytes(80, 5)});
}

BOOST_AUTO_TEST_CASE(MutatedRelayMessage_Decoded_FailsOrReencodes) {
  RelayHeader header;
  header.allowed = {MakeServiceId("probe-hub"), MakeServiceId("report-desk")};
  header.alternates = {{1, 2}, {3, 4}};
  CheckMutations(RelayMessage(RelayedPacket{header, Bytes(200, 7)}));
  CheckMutations(
      RelayMessage(OwnershipQuery{{{1, 2}, {3, 4}}, 9, header.allowed}));
  CheckMutations(RelayMessage(FlowOwnershipReply{
      {{1, 2}, {3, 4}}, FlowOwnership::kUndetermined, Bytes(50, 1)}));
  CheckMutations(RelayMessage(OwnershipBatchQuery{
      header.allowed, {{{{1, 2}, {3, 4}}, 9}, {{{5, 6}, {3, 4}}, 10}}}));
  CheckMutations(RelayMessage(
      OwnershipBatchReply{{{{{1, 2}, {3, 4}}, FlowOwnership::kOwned}}}));
  CheckMutations(RelayMessage(AgentPoll{false, 12}));
  CheckMutations(RelayMessage(BalancerCount{59}));
  const OpeningContext context{
      TimePoint{5'000}, 1,
      RouteTerms{RequestKind::kUpload, 2, Millis{800}, Millis{4'000}}};
  const EvacuationView evacuations{true, {1, 40}, {"catania", "ragusa"}};
  CheckMutations(RelayMessage(ProtocolOffer{kExtendedProtocolVersion}));
  CheckMutations(RelayMessage(RelayedOpening{header, context, Bytes(36, 7)}));
  CheckMutations(RelayMessage(OpeningRefused{{{1, 2}, {3, 4}}, context}));
  CheckMutations(RelayMessage(OpeningDeclined{{{1, 2}, {3, 4}}, 2}));
  CheckMutations(RelayMessage(UnlistedAgents{{{1, 2}, {3, 4}}}));
  CheckMutations(RelayMessage(
      ExtendedPoll{AgentPoll{true, 12}, BalancerTerms{evacuations,
                                                      {20, Millis{2'000}},
                                                      10'000,
                                                      3,
                                                      {{{3, 4}, 50, 4'000}}}}));
  CheckMutations(RelayMessage(
      ExtendedStatus{{}, evacuations, {47.5, 0.25, 10, {{{3, 4}, 9, 50, 4}}}}));
  AgentReport report;
  report.phase = UpstreamPhase::kDraining;
  report.mean_outstanding = 2.5;
  CheckMutations(RelayMessage(AgentStatus{report, 12}));
}

// Guards against a byte that is neither true nor false, which was copied into a
// bool; fuzzing found it in an EvacuationView.
BOOST_AUTO_TEST_CASE(BooleanWithOtherValue_Decoded_IsRejected) {
  Bytes encoded = Encode(RelayMessage(AgentPoll{true, 12}));
  BOOST_TEST(IsOk(DecodeRelayMessage(encoded)));
  constexpr size_t kIsListedOffset = 5;
  encoded[kIsListedOffset] = 0x31;
  BOOST_TEST(!IsOk(DecodeRelayMessage(encoded)));
}

// Guards against loads that can't be ordered: ranking by them is undefined.
BOOST_AUTO_TEST_CASE(NumberThatIsNotFinite_Decoded_IsRejected) {
  for (const double load : {std::numeric_limits<double>::quiet_NaN(),
                            std::numeric_limits<double>::infinity()}) {
    AgentStatus status;
    status.report.mean_outstanding = load;
    Bytes encoded;
    EncodeRelayMessage(status, encoded);
    BOOST_TEST(!IsOk(DecodeRelayMessage(encoded)));
  }
}

// Guards against figures with which the arithmetic of the receiver overflows.
BOOST_AUTO_TEST_CASE(FigureOutOfRange_Decoded_IsClamped) {
  const OpeningContext context{
      TimePoint{std::numeric_limits<int64_t>::min()}, 1,
      RouteTerms{RequestKind::kSafe, 0, Millis{-5}, Millis{INT64_MAX}}};
  Bytes encoded;
  EncodeRelayMessage(OpeningRefused{{{1, 2}, {3, 4}}, context}, encoded);
  const Result<RelayMessage> refused = DecodeRelayMessage(encoded);
  BOOST_REQUIRE(IsOk(refused));
  const OpeningContext& decoded =
      std::get<OpeningRefused>(ValueOf(refused)).context;
  BOOST_TEST(decoded.relayed_at.value == 0);
  BOOST_TEST(decoded.terms.latency_objective.value == 0);
  BOOST_TEST(decoded.terms.request_timeout.value == kMaxDecodedDurationMs);
  ExtendedStatus status;
  status.status.report.mean_outstanding = -1e300;
  status.load.suspected_failures = 7;
  EncodeRelayMessage(status, encoded);
  const Result<RelayMessage> reported = DecodeRelayMessage(encoded);
  BOOST_REQUIRE(IsOk(reported));
  const ExtendedStatus& clamped = std::get<ExtendedStatus>(ValueOf(reported));
  BOOST_TEST(clamped.status.report.mean_outstanding == 0);
  BOOST_TEST(clamped.load.suspected_failures == 1);
}

// Guards against batches that exceed the maximum datagram size.
BOOST_AUTO_TEST_CASE(LargestOwnershipBatch_Encoded_FitsOneMessage) {
  OwnershipBatchQuery query;
  query.allowed.resize(kMaxRelayServices);
  query.flows.resize(kMaxBatchedFlows);
  Bytes bytes;
  EncodeRelayMessage(query, bytes);
  BOOST_TEST(bytes.size() <= kMaxRelayMessageBytes);
  OwnershipBatchReply reply;
  reply.flows.resize(kMaxBatchedFlows);
  EncodeRelayMessage(reply, bytes);
  BOOST_TEST(bytes.size() <= kMaxRelayMessageBytes);
}

// Guards against relayed packets that exceed the maximum datagram size.
BOOST_AUTO_TEST_CASE(LargestRelayedPacket_Encoded_FitsOneMessage) {
  RelayHeader header;
  header.allowed.resize(kMaxRelayServices);
  header.alternates.resize(kMaxRelayAlternates);
  Bytes bytes;
  EncodeRelayMessage(RelayedPacket{header, Bytes(kMaxFlowPacketBytes, 1)},
                     bytes);
  BOOST_TEST(bytes.size() <= kMaxRelayMessageBytes);
}

BOOST_AUTO_TEST_CASE(MutatedControlMessage_Decoded_FailsOrReencodes) {
  Heartbeat heartbeat;
  heartbeat.entry.service = "probe-hub";
  heartbeat.entry.failure_domain = "catania";
  CheckMutations(ControlMessage(heartbeat));
  HeartbeatAck ack;
  ack.roster = {RosterEntry{{1, 2}, 3, MemberPhase::kReady, 4}};
  ack.monitors = {Endpoint{1, 2}};
  CheckMutations(ControlMessage(ack));
  Delta delta;
  delta.members = {heartbeat.entry};
  delta.records = {RecordVersion{"config/probe-hub", 7}};
  CheckMutations(ControlMessage(delta));
  CheckMutations(FetchRequest{{"config/a", "keys/ring"}, false, true, "a"});
  CheckMutations(
      FetchReply{{Record{"config/a", 3, "service: a"}}, {}, ack.roster});
}

// Guards against a length field that makes the decoder allocate gigabytes.
BOOST_AUTO_TEST_CASE(HugeLength_Decoded_ExceedsBound) {
  Bytes encoded = Encode(FabricPacket{{1, 2}, {3, 4}, Bytes(4, 5)});
  for (size_t index = 0; index < 4; ++index) {
    encoded[encoded.size() - 8 + index] = 0xff;
  }
  const Result<FabricPacket> decoded = DecodeFabricPacket(encoded);
  BOOST_REQUIRE(!IsOk(decoded));
  BOOST_TEST(ErrorOf(decoded).message.find("bound") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RandomPacket_HeaderParsed_StaysWithinPacket) {
  std::mt19937 random(kSeed);
  for (int index = 0; index < kMutations; ++index) {
    Bytes packet(random() % 64);
    for (uint8_t& byte : packet) byte = static_cast<uint8_t>(random());
    const Result<PacketHeader> header = ParsePacketHeader(packet);
    if (!IsOk(header)) continue;
    BOOST_REQUIRE(ValueOf(header).payload.size() <= packet.size());
  }
}

BOOST_AUTO_TEST_CASE(LongAndShortHeader_AppendedAndParsed_AreUnchanged) {
  const Bytes caller(kCallerIdentifierBytes, 4);
  const FlowIdentifierBytes identifier{1, 2, 3};
  Bytes packet;
  AppendLongHeader(kThinProtocolVersion, identifier, caller, packet);
  packet.push_back(99);
  const Result<PacketHeader> long_header = ParsePacketHeader(packet);
  BOOST_REQUIRE(IsOk(long_header));
  BOOST_TEST(ValueOf(long_header).is_long);
  BOOST_TEST(ValueOf(long_header).version == kThinProtocolVersion);
  BOOST_TEST(ValueOf(long_header).source.size() == kCallerIdentifierBytes);
  BOOST_TEST(ValueOf(long_header).payload.size() == 1U);
  Bytes short_packet;
  AppendShortHeader(identifier, short_packet);
  const Result<PacketHeader> short_header = ParsePacketHeader(short_packet);
  BOOST_REQUIRE(IsOk(short_header));
  BOOST_TEST(!ValueOf(short_header).is_long);
  BOOST_TEST(ValueOf(short_header).destination[2] == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
