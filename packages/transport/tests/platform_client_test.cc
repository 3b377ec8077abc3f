#include "medlarwinch/transport/platform_client.h"

#include <boost/test/unit_test.hpp>

#include "fake_platform.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using Fault = FakePlatform::Fault;

struct PlatformClientFixture {
  FakePlatform platform;
  PlatformClient client{platform.Options()};

  // Returns the new version, or 0 and stores the error in `error`.
  uint64_t Put(uint64_t if_version, const std::string& operation) {
    const Result<uint64_t> result =
        client.Put("config/a", "v-" + operation, if_version, operation);
    if (IsOk(result)) return ValueOf(result);
    error = ErrorOf(result);
    return 0;
  }

  Error error;
};

BOOST_FIXTURE_TEST_SUITE(PlatformClientWithFakePlatform, PlatformClientFixture)

BOOST_AUTO_TEST_CASE(ObjectsWritten_ReadListedAndWatched_AreUnchanged) {
  BOOST_TEST(Put(0, "op-1") == 1U);
  BOOST_TEST(Put(1, "op-2") == 2U);
  platform.Set("keys/ring", "\"x\" \n\xc3\xa0");
  const Result<PlatformObject> object = client.Get("config/a");
  BOOST_REQUIRE(IsOk(object));
  BOOST_CHECK(
      (ValueOf(object) == PlatformObject{"config/a", 2, "v-op-2", "op-2"}));
  const Result<std::vector<PlatformObject>> all = client.List("");
  BOOST_REQUIRE(IsOk(all));
  BOOST_REQUIRE(ValueOf(all).size() == 2U);
  BOOST_TEST(ValueOf(all)[1].value == "\"x\" \n\xc3\xa0");
  const Result<WatchResult> watch = client.Watch("", 2, Millis{0});
  BOOST_REQUIRE(IsOk(watch));
  BOOST_TEST(ValueOf(watch).revision == 3U);
  BOOST_REQUIRE(ValueOf(watch).objects.size() == 1U);
  BOOST_TEST(ValueOf(watch).objects[0].key == "keys/ring");
}

BOOST_AUTO_TEST_CASE(MissingObject_Read_IsNotFound) {
  const Result<PlatformObject> object = client.Get("config/none");
  BOOST_REQUIRE(!IsOk(object));
  BOOST_CHECK(ErrorOf(object).code == ErrorCode::kNotFound);
}

// Guards against a conflict message without the versions that an operator
// needs.
BOOST_AUTO_TEST_CASE(OlderVersion_Written_ConflictNamesBothVersions) {
  platform.Set("config/a", "x");
  platform.Set("config/a", "y");
  BOOST_TEST(Put(1, "op-1") == 0U);
  BOOST_CHECK(error.code == ErrorCode::kConflict);
  BOOST_TEST(error.message ==
             "config/a: version conflict: the write expected version 1, "
             "the platform has version 2");
  BOOST_TEST(platform.write_calls() == 1);
}

// Guards against resending a write whose response was lost but which was
// applied.
BOOST_AUTO_TEST_CASE(ResponseLost_WriteResolved_IsNotResent) {
  platform.Inject(Fault::kResponseLost, 1);
  BOOST_TEST(Put(0, "op-1") == 1U);
  BOOST_TEST(platform.write_calls() == 1);
  platform.Inject(Fault::kServerError, 1);
  BOOST_TEST(Put(1, "op-2") == 2U);
  BOOST_TEST(platform.write_calls() == 2);
}

// Guards against reporting a false conflict: the first attempt is applied only
// after the object was read back as absent, so the resent write conflicts with
// it.
BOOST_AUTO_TEST_CASE(WriteAppliedLate_Resent_TakesEffectOnce) {
  platform.Inject(Fault::kAppliedLate, 1);
  BOOST_TEST(Put(0, "op-1") == 1U);
  BOOST_CHECK((platform.Find("config/a") ==
               PlatformObject{"config/a", 1, "v-op-1", "op-1"}));
}

// Guards against reporting success or a conflict when the outcome is unknown.
BOOST_AUTO_TEST_CASE(ResponseLostAndOverwritten_WriteResolved_IsUnknown) {
  platform.RunAfterNextWrite([this] { platform.Set("config/a", "other"); });
  platform.Inject(Fault::kResponseLost, 1);
  BOOST_TEST(Put(0, "op-1") == 0U);
  BOOST_CHECK(error.code == ErrorCode::kTimeout);
  BOOST_TEST(error.message.find("version 0") != std::string::npos);
  BOOST_TEST(error.message.find("version 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(PlatformTemporarilyRefuses_CallsMade_AreRetried) {
  platform.Inject(Fault::kTooManyRequests, 3);
  BOOST_TEST(Put(0, "op-1") == 1U);
  platform.Inject(Fault::kUnavailable, 3);
  BOOST_CHECK(IsOk(client.Get("config/a")));
}

// Guards against an outage that blocks the caller, and against reporting the
// outcome of a write as unknown although the platform can't have received it.
BOOST_AUTO_TEST_CASE(PlatformDown_CallsMade_AreUnavailableWithinDeadline) {
  platform.SetDown(true);
  const TimePoint start = MonotonicNow();
  BOOST_TEST(Put(0, "op-1") == 0U);
  BOOST_CHECK(error.code == ErrorCode::kUnavailable);
  BOOST_TEST((MonotonicNow() - start).value < 3'000);
  platform.SetDown(false);
  BOOST_TEST(Put(0, "op-1") == 1U);
}

// Guards against exceeding the rate limit of this process.
BOOST_AUTO_TEST_CASE(RateLimitExhausted_CallsMade_AreDelayed) {
  PlatformClientOptions options = platform.Options();
  options.calls_per_second = 20;
  options.burst = 2;
  PlatformClient limited(options);
  const TimePoint start = MonotonicNow();
  for (int call = 0; call < 8; ++call) BOOST_CHECK(IsOk(limited.List("")));
  BOOST_TEST((MonotonicNow() - start).value >= 280);
}

BOOST_AUTO_TEST_CASE(InvalidUtf8Value_Written_IsRejected) {
  const Result<uint64_t> result = client.Put("config/a", "\xff", 0, "op");
  BOOST_REQUIRE(!IsOk(result));
  BOOST_CHECK(ErrorOf(result).code == ErrorCode::kInvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
