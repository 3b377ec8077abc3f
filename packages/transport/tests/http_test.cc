#include <boost/test/unit_test.hpp>
#include <thread>

#include "medlarwinch/transport/http_client.h"
#include "medlarwinch/transport/http_server.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

const Endpoint kServer{ProcessLoopbackIp(), 17'381};

BOOST_AUTO_TEST_SUITE(HttpClientAndServer)

// Guards against request bodies or targets that are altered in transit.
BOOST_AUTO_TEST_CASE(EchoHandler_RequestSent_ResponseIsComplete) {
  const Result<std::unique_ptr<HttpServer>> server =
      HttpServer::Listen(kServer, [](const HttpRequest& request) {
        return HttpResponse{201, "text/plain", request.target + request.body};
      });
  BOOST_REQUIRE(IsOk(server));
  const std::string body(100'000, 'x');
  const Result<HttpResponse> response = SendHttpRequest(
      kServer, HttpRequest{"PUT", "/a?b=c", body, {}}, Millis{2'000});
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(ValueOf(response).status == 201);
  BOOST_TEST(ValueOf(response).body == "/a?b=c" + body);
}

// Guards against reporting a lost response as a request that was never
// received.
BOOST_AUTO_TEST_CASE(SlowHandler_RequestTimesOut_IsTimeout) {
  const Result<std::unique_ptr<HttpServer>> server =
      HttpServer::Listen(kServer, [](const HttpRequest&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
        return HttpResponse{};
      });
  BOOST_REQUIRE(IsOk(server));
  const Result<HttpResponse> response =
      SendHttpRequest(kServer, HttpRequest{"GET", "/", "", {}}, Millis{100});
  BOOST_REQUIRE(!IsOk(response));
  BOOST_CHECK(ErrorOf(response).code == ErrorCode::kTimeout);
}

BOOST_AUTO_TEST_CASE(NoServer_RequestSent_IsUnavailable) {
  const Result<HttpResponse> response =
      SendHttpRequest(kServer, HttpRequest{"GET", "/", "", {}}, Millis{500});
  BOOST_REQUIRE(!IsOk(response));
  BOOST_CHECK(ErrorOf(response).code == ErrorCode::kUnavailable);
}

BOOST_AUTO_TEST_CASE(EscapedQuery_Parsed_IsUnchanged) {
  const std::string value = "a b&c=d%/é";
  const HttpTarget target =
      ParseTarget("/p?x=" + PercentEncode(value) + "&y=2");
  BOOST_TEST(target.path == "/p");
  BOOST_TEST(target.query.at("x") == value);
  BOOST_TEST(target.query.at("y") == "2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
