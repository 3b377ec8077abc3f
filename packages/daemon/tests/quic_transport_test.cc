#include "medlarwinch/daemon/quic_transport.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <mutex>

#include "agent_fixture.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// An HTTP/3 caller behind the relay: one connection on its own socket.
class Http3Caller {
 public:
  explicit Http3Caller(const Endpoint& relay)
      : relay_(relay),
        socket_(TakeValue(UdpSocket::Bind(Endpoint{0x7f000001, 0}))),
        credentials_(TakeValue(TlsCredentials::ForClient(""))) {
    QuicConnectionEvents events;
    events.send = [this](ByteView packet) {
      FabricPacket wrapped{kTestServiceAddress, caller_, {}};
      wrapped.payload.assign(packet.begin(), packet.end());
      socket_->Send(relay_, EncodeFabricPacket(wrapped));
    };
    events.on_response = [this](int64_t stream, const Http3ResponseHead& head) {
      heads_[stream] = head;
    };
    events.on_body = [this](int64_t stream, ByteView chunk) {
      bodies_[stream].append(chunk.begin(), chunk.end());
    };
    events.on_closed = [this](int64_t stream, uint64_t code) {
      codes_[stream] = code;
    };
    events.on_go_away = [this](int64_t) { received_go_away_ = true; };
    connection_ = TakeValue(QuicConnection::Connect(
        *credentials_, "probe-hub", std::move(events), MonotonicNow()));
    socket_->Start([this](const Endpoint&, ByteView datagram) {
      const Result<FabricPacket> packet = DecodeFabricPacket(datagram);
      if (!IsOk(packet)) return;
      const std::lock_guard<std::mutex> lock(mutex_);
      const Result<Ok> received =
          connection_->Receive(ValueOf(packet).payload, MonotonicNow());
      ended_ = ended_ || !IsOk(received);
      connection_->Flush(MonotonicNow());
    });
  }
  ~Http3Caller() { socket_->Stop(); }

  // Drives the connection until `condition` is true; `condition` runs under the
  // lock.
  bool Until(const std::function<bool()>& condition) {
    return WaitFor([&] {
      const std::lock_guard<std::mutex> lock(mutex_);
      const TimePoint now = MonotonicNow();
      if (connection_->NextTimer() <= now) connection_->OnTimer(now);
      connection_->Flush(now);
      return condition();
    });
  }
  bool Connect() {
    return Until([this] { return connection_->is_connected(); });
  }
  int64_t Send(const std::string& method, const std::string& path,
               std::map<std::string, std::string> headers = {}) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Http3Request request{method, path, "probe-hub", std::move(headers), {}};
    if (method == "POST") request.body = Bytes(20, 's');
    const int64_t stream = TakeValue(connection_->SubmitRequest(request));
    connection_->Flush(MonotonicNow());
    return stream;
  }
  bool HasEnded(int64_t stream) { return codes_.contains(stream); }

  std::map<int64_t, Http3ResponseHead> heads_;
  std::map<int64_t, std::string> bodies_;
  std::map<int64_t, uint64_t> codes_;
  bool received_go_away_ = false;
  bool ended_ = false;

 private:
  Endpoint relay_;
  Endpoint caller_{0x0a000001, 5'000};
  std::unique_ptr<UdpSocket> socket_;
  std::unique_ptr<TlsCredentials> credentials_;
  std::mutex mutex_;
  std::unique_ptr<QuicConnection> connection_;
};

BOOST_FIXTURE_TEST_SUITE(AgentWithCertificate, AgentsBehindRelay)

// Guards against an HTTP/3 request that does not reach the upstream, and
// against an incomplete response.
BOOST_AUTO_TEST_CASE(Http3Caller_ReportRequested_BodyIsComplete) {
  Http3Caller caller(relay->local());
  BOOST_REQUIRE(caller.Connect());
  const int64_t stream = caller.Send("GET", "/report?bytes=300000");
  BOOST_REQUIRE(caller.Until([&] { return caller.HasEnded(stream); }));
  BOOST_TEST(caller.codes_[stream] == kH3NoError);
  BOOST_TEST(caller.heads_[stream].status == 200);
  // The stand-in prepends one line about the request to the requested bytes.
  const std::string& body = caller.bodies_[stream];
  BOOST_TEST(body.size() - body.find('\n') - 1 == 300'000U);
}

// Guards against a repeated idempotency key that runs a second time.
BOOST_AUTO_TEST_CASE(Http3Caller_KeyRepeated_RunsOnce) {
  Http3Caller caller(relay->local());
  BOOST_REQUIRE(caller.Connect());
  const std::map<std::string, std::string> headers{{"idempotency-key", "k-1"}};
  const int64_t first = caller.Send("POST", "/samples", headers);
  BOOST_REQUIRE(caller.Until([&] { return caller.HasEnded(first); }));
  const int64_t second = caller.Send("POST", "/samples", headers);
  BOOST_REQUIRE(caller.Until([&] { return caller.HasEnded(second); }));
  BOOST_TEST(caller.codes_[second] == kH3NoError);
  BOOST_TEST(executed_request_count() == 1U);
}

// Guards against a drain that aborts a live feed or accepts new requests.
BOOST_AUTO_TEST_CASE(
    Http3Caller_AgentDrains_FeedContinuesAndNewRequestRejected) {
  Http3Caller caller(relay->local());
  BOOST_REQUIRE(caller.Connect());
  const int64_t feed = caller.Send("GET", "/feed?lines=30&interval_ms=50");
  BOOST_REQUIRE(caller.Until([&] { return !caller.bodies_[feed].empty(); }));
  agents.front()->engine->DrainBySignal();
  BOOST_REQUIRE(caller.Until([&] { return caller.received_go_away_; }));
  BOOST_TEST(!agents.front()->engine->HasLeft());
  BOOST_REQUIRE(caller.Until([&] { return caller.HasEnded(feed); }));
  BOOST_TEST(caller.codes_[feed] == kH3NoError);
  BOOST_REQUIRE(
      caller.Until([&] { return agents.front()->engine->HasLeft(); }));
}

BOOST_AUTO_TEST_CASE(RequestWithoutKey_Converted_RunsAtMostOnce) {
  Http3Request request;
  request.method = "POST";
  request.path = "/orders";
  const RequestFrame frame = ToRequestFrame(request, 3, "unique");
  BOOST_TEST(!frame.is_idempotent);
  BOOST_TEST(frame.idempotency_key == "unique");
  request.method = "GET";
  BOOST_TEST(ToRequestFrame(request, 3, "unique").is_idempotent);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
