#include "medlarwinch/transport/tcp_exchange.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "fake_platform.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

namespace asio = boost::asio;

constexpr Millis kTimeout{300};

// A server that echoes the request. A request of one byte N is answered with N
// * 1,000 bytes.
struct EchoServer {
  EchoServer() {
    Result<std::unique_ptr<TcpExchangeServer>> listening =
        TcpExchangeServer::Listen(address, kTimeout, [this](ByteView request) {
          ++requests;
          if (request.size() != 1) return Bytes(request.begin(), request.end());
          return Bytes(request[0] * size_t{1'000}, 7);
        });
    BOOST_REQUIRE(IsOk(listening));
    server = TakeValue(std::move(listening));
  }

  // Sends raw bytes and returns the time until the server closes the
  // connection.
  Millis TimeToClose(const std::string& bytes) const {
    const TimePoint start = MonotonicNow();
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4(address.ip), address.port});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::array<char, 64> buffer{};
    asio::read(socket, asio::buffer(buffer), error);
    return MonotonicNow() - start;
  }

  Endpoint address = TestAddress(77);
  std::atomic<int> requests{0};
  std::unique_ptr<TcpExchangeServer> server;
};

BOOST_FIXTURE_TEST_SUITE(TcpExchangeWithEcho, EchoServer)

BOOST_AUTO_TEST_CASE(Requests_Sent_RepliesAreComplete) {
  const Result<Bytes> reply = ExchangeOverTcp(address, {1, 2, 3}, kTimeout);
  BOOST_REQUIRE(IsOk(reply));
  BOOST_CHECK(ValueOf(reply) == (Bytes{1, 2, 3}));
  const Result<Bytes> large = ExchangeOverTcp(address, {250}, kTimeout);
  BOOST_REQUIRE(IsOk(large));
  BOOST_TEST(ValueOf(large).size() == 250'000U);
}

// Guards against a length that makes the server allocate gigabytes, and against
// a peer that holds a connection open without sending anything.
BOOST_AUTO_TEST_CASE(InvalidPeers_Connected_AreClosedWithoutHandling) {
  BOOST_TEST(TimeToClose("\xff\xff\xff\xff abc").value < kTimeout.value);
  const Millis silent_duration = TimeToClose("");
  BOOST_TEST(silent_duration.value >= kTimeout.value - 50);
  BOOST_TEST(silent_duration.value < kTimeout.value + 1'000);
  BOOST_TEST(requests == 0);
  BOOST_TEST(IsOk(ExchangeOverTcp(address, {1, 2}, kTimeout)));
}

// Guards against a client that blocks on a server that is down or sends no
// reply.
BOOST_AUTO_TEST_CASE(NoServerOrNoReply_RequestSent_FailsWithinTimeout) {
  const TimePoint start = MonotonicNow();
  const Result<Bytes> refused = ExchangeOverTcp(address, {0}, kTimeout);
  BOOST_REQUIRE(!IsOk(refused));
  BOOST_CHECK(ErrorOf(refused).code == ErrorCode::kTimeout);
  server.reset();
  const Result<Bytes> absent = ExchangeOverTcp(address, {1, 2}, kTimeout);
  BOOST_REQUIRE(!IsOk(absent));
  BOOST_CHECK(ErrorOf(absent).code == ErrorCode::kUnavailable);
  BOOST_TEST((MonotonicNow() - start).value < 2 * kTimeout.value + 500);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
