#include "medlarwinch/platform/metadata_store.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "medlarwinch/platform_side/metadata_service.h"
#include "test_address.h"

namespace medlarwinch {
namespace {

const Endpoint kStore{ProcessLoopbackIp(), 17'391};

struct MetadataStoreOfService {
  MetadataStoreOfService() {
    Result<std::unique_ptr<AsyncHttpServer>> listening =
        AsyncHttpServer::ListenDeferred(
            loop, kStore,
            [this](const HttpRequest& request,
                   AsyncHttpServer::Responder respond) {
              service.Handle(request, StoreFault::kNone, now,
                             std::move(respond));
            });
    BOOST_REQUIRE(IsOk(listening));
    server = TakeValue(std::move(listening));
    service.Put("k", "a", 1);
    service.Tick(now);
  }

  void Run() {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(50));
  }

  TimePoint now{1'000};
  boost::asio::io_context loop;
  MetadataService service;
  std::unique_ptr<AsyncHttpServer> server;
  platform::MetadataStore store{loop, kStore};
};

BOOST_FIXTURE_TEST_SUITE(MetadataStoreTest, MetadataStoreOfService)

// Guards against revisions of two eras that are taken for the same one.
BOOST_AUTO_TEST_CASE(RestoredStore_ListedAndRead_RevisionsHaveNextEra) {
  std::vector<StoreRevision> revisions;
  for (int era = 1; era <= 2; ++era) {
    store.List("k", false, [&](const Result<ObjectListing>& listing) {
      revisions.push_back(ValueOf(listing).revision);
      revisions.push_back(ValueOf(listing).objects.at(0).revision);
    });
    Run();
    store.Get("k", "a", [&](const Result<StoredObject>& object) {
      revisions.push_back(ValueOf(object).revision);
    });
    Run();
    service.Restore(Millis{0}, now);
  }
  const std::vector<StoreRevision> expected = {{1, 2}, {1, 2}, {1, 2},
                                               {2, 2}, {2, 2}, {2, 2}};
  BOOST_CHECK(revisions == expected);
}

// Guards against a watch that waits for changes which the restored store has
// under numbers before its position.
BOOST_AUTO_TEST_CASE(RestoredStore_WatchFromLostRevision_HistoryIsMissing) {
  service.Put("k", "b", 1);
  now = now + Millis{2'000};
  service.Restore(Millis{1'000}, now);
  ErrorCode code = ErrorCode::kTimeout;
  store.Watch("k", StoreRevision{1, 3}, Millis{1'000}, false,
              [&code](const Result<ObjectChanges>& changes) {
                if (!IsOk(changes)) code = ErrorOf(changes).code;
              });
  Run();
  BOOST_CHECK(code == ErrorCode::kLimitExceeded);
}

// Guards against a watch that repeats a call whose response is too large, and
// reports no change until the store has discarded this history.
BOOST_AUTO_TEST_CASE(ChangesOfManyLargeObjects_Watched_HistoryIsMissing) {
  constexpr size_t kObjectBytes = 1'048'000;
  for (const char* name : {"b", "c", "d", "e", "f"}) {
    service.Put("k", name, std::string(kObjectBytes, 'x'));
  }
  ErrorCode code = ErrorCode::kTimeout;
  store.Watch("k", StoreRevision{1, 2}, Millis{1'000}, false,
              [&code](const Result<ObjectChanges>& changes) {
                if (!IsOk(changes)) code = ErrorOf(changes).code;
              });
  for (int wait = 0; wait < 20; ++wait) Run();
  BOOST_CHECK(code == ErrorCode::kLimitExceeded);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
