#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/transport/async_http_client.h"
#include "medlarwinch/transport/async_http_server.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

const Endpoint kServer{ProcessLoopbackIp(), 17'382};
constexpr Millis kTimeout{2'000};

struct AsyncHttpFixture {
  AsyncHttpFixture() {
    Result<std::unique_ptr<AsyncHttpServer>> listening =
        AsyncHttpServer::Listen(loop, kServer, [](const HttpRequest& request) {
          return HttpResponse{200, "text/plain", request.target};
        });
    BOOST_REQUIRE(IsOk(listening));
    server = TakeValue(std::move(listening));
  }

  void Get(const std::string& target) {
    client.Send(HttpRequest{"GET", target, "", {}}, kTimeout, kTimeout,
                [this, target](const Result<HttpResponse>& result) {
                  results.emplace_back(target, IsOk(result)
                                                   ? ValueOf(result).body
                                                   : ErrorOf(result).message);
                });
  }

  boost::asio::io_context loop;
  std::unique_ptr<AsyncHttpServer> server;
  AsyncHttpClient client{loop, kServer};
  std::vector<std::pair<std::string, std::string>> results;
};

BOOST_FIXTURE_TEST_SUITE(AsyncHttpClientAndServer, AsyncHttpFixture)

// Guards against a second request that overwrites the callback of the first
// one, which would lose the response or match it to the wrong request.
BOOST_AUTO_TEST_CASE(RequestInProgress_SecondSent_OnlySecondFails) {
  Get("/first");
  Get("/second");
  loop.run_for(std::chrono::milliseconds(500));
  BOOST_REQUIRE(results.size() == 2U);
  BOOST_TEST(results[0].first == "/second");
  BOOST_TEST(results[0].second == "a request is in progress");
  BOOST_TEST(results[1].first == "/first");
  BOOST_TEST(results[1].second == "/first");
}

BOOST_AUTO_TEST_CASE(RequestCompleted_SecondSent_IsAnswered) {
  Get("/first");
  loop.run_for(std::chrono::milliseconds(200));
  loop.restart();
  Get("/second");
  loop.run_for(std::chrono::milliseconds(200));
  BOOST_REQUIRE(results.size() == 2U);
  BOOST_TEST(results[1].second == "/second");
}

BOOST_AUTO_TEST_SUITE_END()

/// A server that answers each request, and sends a second copy of the first
/// answer `copy_delay` later on the same connection.
struct RepeatingServer {
  using tcp = boost::asio::ip::tcp;

  explicit RepeatingServer(std::chrono::milliseconds delay)
      : copy_delay(delay) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket accepted) {
          if (error) return;
          sockets.push_back(std::make_unique<tcp::socket>(std::move(accepted)));
          Read(*sockets.back());
          Accept();
        });
  }

  void Read(tcp::socket& socket) {
    const auto request = std::make_shared<std::string>();
    boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(*request), "\r\n\r\n",
        [this, request, &socket](boost::system::error_code error, size_t) {
          if (error) return;
          const std::string target =
              request->substr(4, request->find(' ', 4) - 4);
          const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                     std::to_string(target.size()) +
                                     "\r\n\r\n" + target;
          boost::system::error_code ignored;
          boost::asio::write(socket, boost::asio::buffer(answer), ignored);
          if (!was_repeated) {
            was_repeated = true;
            timer.expires_after(copy_delay);
            timer.async_wait([answer, &socket](boost::system::error_code) {
              boost::system::error_code closed;
              boost::asio::write(socket, boost::asio::buffer(answer), closed);
            });
          }
          if (reads_next_request) Read(socket);
        });
  }

  boost::asio::io_context loop;
  tcp::acceptor acceptor{
      loop,
      tcp::endpoint(boost::asio::ip::address_v4(kServer.ip), kServer.port)};
  boost::asio::steady_timer timer{loop};
  std::chrono::milliseconds copy_delay;
  std::vector<std::unique_ptr<tcp::socket>> sockets;
  bool was_repeated = false;
  bool reads_next_request = true;
};

/// A server that sends one response in parts of ten bytes, 60 ms apart.
struct SlowServer {
  using tcp = boost::asio::ip::tcp;

  explicit SlowServer(int parts_to_send) : parts_left(parts_to_send) {
    acceptor.async_accept(socket, [this](boost::system::error_code error) {
      if (!error) SendPart("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
    });
  }

  void SendPart(const std::string& part) {
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(part), ignored);
    if (parts_left-- == 0) return;
    timer.expires_after(std::chrono::milliseconds(60));
    timer.async_wait([this](boost::system::error_code error) {
      if (!error) SendPart("0123456789");
    });
  }

  boost::asio::io_context loop;
  tcp::acceptor acceptor{
      loop,
      tcp::endpoint(boost::asio::ip::address_v4(kServer.ip), kServer.port)};
  tcp::socket socket{loop};
  boost::asio::steady_timer timer{loop};
  int parts_left;
};

/// A server whose first connection goes silent after one response.
struct ForgetfulServer : RepeatingServer {
  ForgetfulServer() : RepeatingServer(std::chrono::milliseconds(0)) {
    was_repeated = true;
    reads_next_request = false;
  }
};

struct AsyncHttpClientOfForgetfulServer {
  void Get(const std::string& target) {
    client.Send(HttpRequest{"GET", target, "", {}}, kTimeout, kTimeout,
                [this](const Result<HttpResponse>& result) {
                  bodies.push_back(IsOk(result) ? ValueOf(result).body
                                                : ErrorOf(result).message);
                });
  }

  void Run(int duration_ms) {
    server.loop.restart();
    server.loop.run_for(std::chrono::milliseconds(duration_ms));
  }

  ForgetfulServer server;
  AsyncHttpClient client{server.loop, kServer};
  std::vector<std::string> bodies;
};

BOOST_FIXTURE_TEST_SUITE(AsyncHttpClientOfForgetful,
                         AsyncHttpClientOfForgetfulServer)

// Guards against a request that waits for its whole timeout on a connection
// that went silent while it was idle.
BOOST_AUTO_TEST_CASE(ConnectionSilentWhileIdle_NextRequest_IsAnsweredAtOnce) {
  Get("/first");
  Run(2'300);
  Get("/second");
  Run(300);
  const std::vector<std::string> expected = {"/first", "/second"};
  BOOST_TEST(bodies == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

struct AsyncHttpClientOfSlowServer {
  // Sends a request with a timeout of 100 ms.
  std::string Get(int parts_to_send) {
    SlowServer server(parts_to_send);
    AsyncHttpClient client{server.loop, kServer};
    std::string body = "no result";
    client.Send(HttpRequest{"GET", "/", "", {}}, kTimeout, Millis{100},
                [&](const Result<HttpResponse>& result) {
                  body = IsOk(result) ? ValueOf(result).body : "failed";
                });
    server.loop.run_for(std::chrono::milliseconds(1'800));
    return body;
  }
};

BOOST_FIXTURE_TEST_SUITE(AsyncHttpClientOfSlow, AsyncHttpClientOfSlowServer)

// Guards against a large response that is never read over a slow link, because
// it is given up at the request's timeout while its parts still arrive.
BOOST_AUTO_TEST_CASE(PartsArrive_AfterTimeout_ResponseIsComplete) {
  BOOST_TEST(Get(5) == "01234567890123456789012345678901234567890123456789");
}

// Guards against a request that waits forever on a connection that went silent.
BOOST_AUTO_TEST_CASE(PartsStop_WithinResponse_RequestFails) {
  BOOST_TEST(Get(2) == "failed");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AsyncHttpClientOfRepeatingServer)

// Guards against a late second copy of an answer that is read as the answer to
// the next request on the connection.
BOOST_AUTO_TEST_CASE(SecondCopyOfAnswer_NextRequest_GetsItsOwnAnswer) {
  for (const int copy_delay_ms : {0, 50}) {
    RepeatingServer server{std::chrono::milliseconds(copy_delay_ms)};
    AsyncHttpClient client{server.loop, kServer};
    std::vector<std::string> bodies;
    for (const char* target : {"/first", "/second", "/third"}) {
      client.Send(HttpRequest{"GET", target, "", {}}, kTimeout, kTimeout,
                  [&](const Result<HttpResponse>& result) {
                    bodies.push_back(IsOk(result) ? ValueOf(result).body
                                                  : ErrorOf(result).message);
                  });
      server.loop.restart();
      server.loop.run_for(std::chrono::milliseconds(150));
    }
    const std::vector<std::string> expected = {"/first", "/second", "/third"};
    BOOST_TEST(bodies == expected, boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
