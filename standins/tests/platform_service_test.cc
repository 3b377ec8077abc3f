#include "medlarwinch/standins/platform_service.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "medlarwinch/transport/http_client.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

const Endpoint kApi = TestEndpoint(17'401);
const Endpoint kControl = TestEndpoint(17'402);
constexpr Millis kRequestTimeout{1'000};

struct RunningPlatform {
  explicit RunningPlatform(double writes_per_second = 300) {
    PlatformSettings settings;
    settings.api = kApi;
    settings.control = kControl;
    settings.writes_per_second = writes_per_second;
    Result<std::unique_ptr<PlatformService>> started =
        PlatformService::Start(settings);
    BOOST_REQUIRE(IsOk(started));
    service = TakeValue(std::move(started));
  }

  static Result<HttpResponse> Put(const std::string& key, uint64_t if_version,
                                  const std::string& value = "v") {
    const Json json{
        {"value", value}, {"if_version", if_version}, {"operation", "op-1"}};
    return SendHttpRequest(
        kApi, HttpRequest{"PUT", "/v1/objects/" + key, json.dump(), {}},
        kRequestTimeout);
  }

  static Json Get(const std::string& target) {
    const Result<HttpResponse> response = SendHttpRequest(
        kApi, HttpRequest{"GET", target, "", {}}, kRequestTimeout);
    BOOST_REQUIRE(IsOk(response));
    return Json::parse(ValueOf(response).body);
  }

  static void Control(const std::string& target) {
    const Result<HttpResponse> response = SendHttpRequest(
        kControl, HttpRequest{"POST", target, "", {}}, kRequestTimeout);
    BOOST_REQUIRE(IsOk(response));
    BOOST_REQUIRE(ValueOf(response).status == 200);
  }

  std::unique_ptr<PlatformService> service;
};

BOOST_AUTO_TEST_SUITE(StandinPlatform)

// Guards against two writers whose conditional writes both succeed.
BOOST_AUTO_TEST_CASE(ConditionalPut_VersionIsOld_IsConflict) {
  const RunningPlatform platform;
  const Result<HttpResponse> first = RunningPlatform::Put("config/a", 0);
  BOOST_REQUIRE(IsOk(first));
  BOOST_TEST(ValueOf(first).status == 200);
  const uint64_t version =
      Json::parse(ValueOf(first).body)["version"].get<uint64_t>();
  const Result<HttpResponse> second = RunningPlatform::Put("config/a", 0);
  BOOST_REQUIRE(IsOk(second));
  BOOST_TEST(ValueOf(second).status == 409);
  BOOST_TEST(Json::parse(ValueOf(second).body)["version"] == version);
  const Json object = RunningPlatform::Get("/v1/objects/config/a");
  BOOST_TEST(object["value"] == "v");
  BOOST_TEST(object["operation"] == "op-1");
}

BOOST_AUTO_TEST_CASE(ListByPrefix_OtherKeysPresent_AreExcluded) {
  const RunningPlatform platform;
  RunningPlatform::Put("config/a", 0);
  RunningPlatform::Put("config/b", 0);
  RunningPlatform::Put("keys/ring", 0);
  const Json list = RunningPlatform::Get("/v1/objects?prefix=config/");
  BOOST_TEST(list["objects"].size() == 2U);
}

// Guards against watchers that miss a change between two polls.
BOOST_AUTO_TEST_CASE(PendingWatch_ObjectWritten_ReturnsIt) {
  const RunningPlatform platform;
  RunningPlatform::Put("config/a", 0);
  Json seen;
  std::thread watcher([&seen] {
    seen =
        RunningPlatform::Get("/v1/watch?prefix=config/&after=1&timeout_ms=900");
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  RunningPlatform::Put("config/b", 0);
  watcher.join();
  BOOST_REQUIRE(seen["objects"].size() == 1U);
  BOOST_TEST(seen["objects"][0]["key"] == "config/b");
  BOOST_TEST(seen["revision"] == 2);
}

BOOST_AUTO_TEST_CASE(WatchWithoutChange_TimesOut_KeepsRevision) {
  const RunningPlatform platform;
  const Json seen =
      RunningPlatform::Get("/v1/watch?prefix=config/&after=7&timeout_ms=50");
  BOOST_TEST(seen["objects"].empty());
  BOOST_TEST(seen["revision"] == 7);
}

BOOST_AUTO_TEST_CASE(WritesAboveLimit_Put_AreRateLimited) {
  const RunningPlatform platform(3);
  int rejected = 0;
  for (int index = 0; index < 6; ++index) {
    const Result<HttpResponse> response =
        RunningPlatform::Put("k/" + std::to_string(index), 0);
    BOOST_REQUIRE(IsOk(response));
    rejected += ValueOf(response).status == 429 ? 1 : 0;
  }
  BOOST_TEST(rejected >= 2);
}

BOOST_AUTO_TEST_CASE(ValueAboveOneMebibyte_Put_IsRejected) {
  const RunningPlatform platform;
  const Result<HttpResponse> response =
      RunningPlatform::Put("big", 0, std::string(1'024 * 1'024 + 1, 'x'));
  BOOST_REQUIRE(IsOk(response));
  BOOST_TEST(ValueOf(response).status == 413);
}

BOOST_AUTO_TEST_CASE(DownThenUp_Called_FailsThenReturnsItsObjects) {
  const RunningPlatform platform;
  RunningPlatform::Put("config/a", 0);
  RunningPlatform::Control("/control/down?on=1");
  const Result<HttpResponse> refused = RunningPlatform::Put("config/b", 0);
  BOOST_REQUIRE(!IsOk(refused));
  BOOST_CHECK(ErrorOf(refused).code == ErrorCode::kUnavailable);
  RunningPlatform::Control("/control/down?on=0");
  BOOST_TEST(RunningPlatform::Get("/v1/objects/config/a")["value"] == "v");
}

// Guards against a fault injection that loses the write as well as its
// response.
BOOST_AUTO_TEST_CASE(DropResponses_Put_TakesEffectWithoutResponse) {
  const RunningPlatform platform;
  RunningPlatform::Control("/control/drop-answers?on=1");
  const Result<HttpResponse> lost = RunningPlatform::Put("config/a", 0);
  BOOST_REQUIRE(!IsOk(lost));
  BOOST_CHECK(ErrorOf(lost).code == ErrorCode::kTimeout);
  BOOST_TEST(RunningPlatform::Get("/v1/objects/config/a")["operation"] ==
             "op-1");
  const Result<HttpResponse> stats = SendHttpRequest(
      kControl, HttpRequest{"GET", "/control/stats", "", {}}, kRequestTimeout);
  BOOST_REQUIRE(IsOk(stats));
  const Json counts = Json::parse(ValueOf(stats).body);
  BOOST_TEST(counts["put"] == 1);
  BOOST_TEST(counts["dropped_answers"] == 1);
  BOOST_TEST(counts["get"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
