#include "medlarwinch/quic/quic_connection.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>

#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/protocol/packet_header.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kSeed = 7;

// A client and a server connected by packet queues that can drop packets. The
// test advances the clock.
struct ClientServerPair {
  ClientServerPair() {
    const CertificatePair pair =
        TakeValue(MakeSelfSignedCertificate("probe-hub"));
    server_credentials = TakeValue(
        TlsCredentials::ForServer(pair.certificate_pem, pair.private_key_pem));
    client_credentials =
        TakeValue(TlsCredentials::ForClient(pair.certificate_pem));
  }

  bool ShouldDropPacket() { return random() % 100 < loss_percent; }

  QuicConnectionEvents ClientEvents() {
    QuicConnectionEvents events;
    events.send = [this](ByteView packet) {
      if (!ShouldDropPacket())
        to_server.emplace_back(packet.begin(), packet.end());
    };
    events.on_response = [this](int64_t stream, const Http3ResponseHead& head) {
      statuses[stream] = head.status;
    };
    events.on_body = [this](int64_t stream, ByteView chunk) {
      bodies[stream].append(chunk.begin(), chunk.end());
    };
    events.on_closed = [this](int64_t stream, uint64_t code) {
      codes[stream] = code;
    };
    events.on_go_away = [this](int64_t first) { go_away = first; };
    return events;
  }

  QuicConnectionEvents ServerEvents() {
    QuicConnectionEvents events;
    events.send = [this](ByteView packet) {
      if (!ShouldDropPacket())
        to_client.emplace_back(packet.begin(), packet.end());
    };
    events.issue_identifier = [this] {
      return IssueFlowIdentifier(
          keys, "probe-hub",
          FlowIdentifier{0, Endpoint{0x7f000001, 7200}, 3, ++flow_number});
    };
    events.on_request = [this](int64_t stream, const Http3Request& request) {
      requests[stream] = request;
    };
    events.on_cancelled = [this](int64_t stream) { cancelled = stream; };
    return events;
  }

  void Connect() {
    client = TakeValue(QuicConnection::Connect(*client_credentials, "probe-hub",
                                               ClientEvents(), now));
    Run(200);
    BOOST_REQUIRE(client->is_connected());
  }

  // Exchanges packets for `millis` milliseconds of simulated time.
  void Run(int millis) {
    for (int step = 0; step < millis; ++step) {
      now = now + Millis{1};
      if (client->NextTimer() <= now) client->OnTimer(now);
      if (server != nullptr && server->NextTimer() <= now) server->OnTimer(now);
      client->Flush(now);
      if (server != nullptr) server->Flush(now);
      Deliver();
    }
  }

  void Deliver() {
    std::deque<Bytes> arrived;
    arrived.swap(to_server);
    for (const Bytes& packet : arrived) {
      if (server == nullptr) {
        server = TakeValue(QuicConnection::Accept(*server_credentials, packet,
                                                  ServerEvents(), now));
      }
      CountRoutable(packet);
      server->Receive(packet, now);
    }
    arrived.clear();
    arrived.swap(to_client);
    for (const Bytes& packet : arrived) client->Receive(packet, now);
  }

  // Checks that every short-header packet can be routed by a stateless
  // balancer, and counts the routable packets.
  void CountRoutable(const Bytes& packet) {
    const Result<PacketHeader> header = ParsePacketHeader(packet);
    BOOST_REQUIRE(IsOk(header));
    const bool is_routable =
        VerifyFlowIdentifier(keys, "probe-hub", ValueOf(header).destination)
            .has_value();
    if (!ValueOf(header).is_long) BOOST_CHECK(is_routable);
    routable_packets += is_routable ? 1 : 0;
  }

  Http3Request Get(const std::string& path) {
    return Http3Request{"GET", path, "probe-hub", {{"x-tenant", "t1"}}, {}};
  }

  TimePoint now{1'000};
  uint32_t loss_percent = 0;
  std::mt19937 random{kSeed};
  KeySet keys{FleetKey{1}, KeyRing{}};
  uint32_t flow_number = 0;
  std::unique_ptr<TlsCredentials> server_credentials;
  std::unique_ptr<TlsCredentials> client_credentials;
  std::unique_ptr<QuicConnection> client;
  std::unique_ptr<QuicConnection> server;
  std::deque<Bytes> to_server;
  std::deque<Bytes> to_client;
  std::map<int64_t, Http3Request> requests;
  std::map<int64_t, int> statuses;
  std::map<int64_t, std::string> bodies;
  std::map<int64_t, uint64_t> codes;
  int64_t cancelled = -1;
  int64_t go_away = -1;
  int routable_packets = 0;
};

BOOST_FIXTURE_TEST_SUITE(QuicConnectionPair, ClientServerPair)

// Guards against packets that balancers can't route. Every short-header packet
// must carry an identifier that the agent issued.
BOOST_AUTO_TEST_CASE(Handshake_RequestCompleted_PacketsAreRoutable) {
  Connect();
  Http3Request request = Get("/samples");
  request.method = "POST";
  request.body = Bytes(3'000, 'b');
  const int64_t stream = TakeValue(client->SubmitRequest(request));
  Run(100);
  BOOST_REQUIRE(requests.count(stream) == 1U);
  BOOST_TEST(requests[stream].path == "/samples");
  BOOST_CHECK(requests[stream].body == request.body);
  BOOST_TEST(requests[stream].headers.at("x-tenant") == "t1");
  BOOST_CHECK(IsOk(server->SubmitResponse(stream, Http3ResponseHead{200, {}})));
  server->AppendBody(stream, Bytes(100'000, 'a'), true);
  Run(500);
  BOOST_TEST(statuses[stream] == 200);
  BOOST_TEST(bodies[stream] == std::string(100'000, 'a'));
  BOOST_TEST(codes[stream] == kH3NoError);
  BOOST_TEST(routable_packets > 0);
}

// Guards against responses with missing or repeated bytes when packets are
// lost.
BOOST_AUTO_TEST_CASE(LossyPath_FeedStreamed_BodyIsComplete) {
  Connect();
  loss_percent = 10;
  const int64_t stream = TakeValue(client->SubmitRequest(Get("/feed")));
  Run(1'000);
  BOOST_REQUIRE(IsOk(server->SubmitResponse(stream, Http3ResponseHead{})));
  std::string sent;
  for (int line = 0; line < 200; ++line) {
    const std::string text = "line " + std::to_string(line) + "\n";
    sent += text;
    server->AppendBody(stream, Bytes(text.begin(), text.end()), line == 199);
    Run(10);
  }
  Run(5'000);
  BOOST_TEST(bodies[stream] == sent);
  BOOST_TEST(server->UnacknowledgedBytes(stream) == 0U);
}

// Guards against a rejection that the caller can't distinguish from a lost
// response.
BOOST_AUTO_TEST_CASE(RequestRejected_StreamReset_ClientSeesRejectedCode) {
  Connect();
  const int64_t stream = TakeValue(client->SubmitRequest(Get("/orders")));
  Run(100);
  server->ResetStream(stream, kH3RequestRejected);
  Run(300);
  BOOST_REQUIRE(codes.count(stream) == 1U);
  BOOST_TEST(codes[stream] == kH3RequestRejected);
}

BOOST_AUTO_TEST_CASE(RequestCancelled_StreamReset_ServerIsNotified) {
  Connect();
  const int64_t stream = TakeValue(client->SubmitRequest(Get("/feed")));
  Run(100);
  server->SubmitResponse(stream, Http3ResponseHead{});
  server->AppendBody(stream, Bytes(10, 'x'), false);
  Run(100);
  client->ResetStream(stream, kH3RequestCancelled);
  Run(300);
  BOOST_TEST(cancelled == stream);
}

// Guards against a drain that truncates a response in progress.
BOOST_AUTO_TEST_CASE(GoAwaySent_ResponseInProgress_CompletesNormally) {
  Connect();
  const int64_t stream = TakeValue(client->SubmitRequest(Get("/report")));
  Run(100);
  server->SubmitResponse(stream, Http3ResponseHead{});
  server->AppendBody(stream, Bytes(50'000, 'r'), false);
  server->GoAway();
  Run(100);
  server->AppendBody(stream, Bytes(50'000, 'r'), true);
  Run(500);
  BOOST_TEST(go_away > stream);
  BOOST_TEST(bodies[stream].size() == 100'000U);
  BOOST_TEST(codes[stream] == kH3NoError);
}

BOOST_AUTO_TEST_CASE(RandomPacket_Accepted_IsRejected) {
  const Bytes packet(1'200, 0x5a);
  BOOST_CHECK(!IsOk(QuicConnection::Accept(*server_credentials, packet,
                                           ServerEvents(), now)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
