#include "medlarwinch/platform_side/metadata_service.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace medlarwinch {
namespace {

struct EmptyMetadataService {
  // Returns the response, or nullopt if there is none yet.
  std::optional<HttpResponse> Call(const std::string& method,
                                   const std::string& target,
                                   const std::string& body = "",
                                   StoreFault fault = StoreFault::kNone) {
    std::optional<HttpResponse> answer;
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    service.Handle(request, fault, now,
                   [&answer](std::optional<HttpResponse> response) {
                     answer = std::move(response);
                   });
    return answer;
  }

  TimePoint now{0};
  MetadataService service;
};

const std::string kCreateA = R"({"meta":{"name":"a"},"spec":{"x":1}})";

BOOST_FIXTURE_TEST_SUITE(MetadataServiceWhenEmpty, EmptyMetadataService)

BOOST_AUTO_TEST_CASE(Create_Twice_ReturnsConflict) {
  BOOST_TEST(Call("POST", "/objects/k", kCreateA)->status == 200);
  BOOST_TEST(Call("POST", "/objects/k", kCreateA)->status == 409);
  BOOST_TEST(Call("GET", "/objects/k/a")->status == 200);
  BOOST_TEST(Call("GET", "/objects/k/b")->status == 404);
}

BOOST_AUTO_TEST_CASE(Replace_WithOldRevision_ReturnsConflict) {
  Call("POST", "/objects/k", kCreateA);
  BOOST_TEST(Call("PUT", "/objects/k/a",
                  R"({"meta":{"name":"a","revision":1},"spec":{"x":2}})")
                 ->status == 409);
  BOOST_TEST(Call("DELETE", "/objects/k/a?revision=2")->status == 200);
}

BOOST_AUTO_TEST_CASE(Watch_FromRevisionBeforeCompaction_ReturnsGone) {
  Call("POST", "/objects/k", kCreateA);
  service.Compact();
  BOOST_TEST(Call("GET", "/objects/k?watch=1&wait_ms=10")->status == 410);
}

BOOST_AUTO_TEST_CASE(Restore_OlderCopy_LosesLaterWritesAndReusesRevisions) {
  Call("POST", "/objects/k", kCreateA);
  service.Tick(now);
  Call("DELETE", "/objects/k/a?revision=2");
  service.Put("config", "main", 1);
  now = now + Millis{5'000};
  service.Tick(now);
  BOOST_TEST(Call("GET", "/objects/k/a")->headers.at("store-era") == "1");
  service.Restore(Millis{4'000}, now);
  BOOST_TEST(Call("GET", "/objects/k/a")->headers.at("store-era") == "2");
  BOOST_TEST(Call("GET", "/objects/k/a")->status == 200);
  BOOST_TEST(Call("GET", "/objects/config/main")->status == 404);
  BOOST_TEST(Call("GET", "/objects/k?watch=4&wait_ms=10")->status == 410);
  service.Put("config", "main", 1);
  const std::optional<HttpResponse> main = Call("GET", "/objects/config/main");
  BOOST_TEST(main->body.find("\"revision\":3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(LostResponse_Write_IsExecutedWithoutResponse) {
  BOOST_TEST(!Call("POST", "/objects/k", kCreateA, StoreFault::kLostResponse)
                  .has_value());
  BOOST_TEST(Call("GET", "/objects/k/a")->status == 200);
  BOOST_TEST(!Call("POST", "/objects/k", kCreateA, StoreFault::kNoResponse)
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
