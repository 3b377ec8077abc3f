#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

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

}  // namespace
}  // namespace medlarwinch
