#include "medlarwinch/node/store_watch.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "store_fixture.h"

namespace medlarwinch {
namespace {

struct StoreWatchFixture {
  StoreWatchFixture() {
    store.objects["main"] = StoredObject{"main", {1, 1}, "1"};
    StoreObserver observer;
    observer.on_listing = [this](const ObjectListing& listing) {
      ++listing_count;
      listed_count = listing.objects.size();
    };
    observer.on_change = [this](const ObjectChange& change) {
      changed_contents.push_back(change.object.content);
    };
    observer.on_connection_change = [this](bool is_connected,
                                           const std::string&) {
      connection_states.push_back(is_connected);
    };
    observer.coalescing_delay = [this] { return coalescing_delay; };
    StartWatch(std::move(observer), false);
  }

  void StartWatch(StoreObserver observer, bool allow_stale) {
    watch = std::make_unique<StoreWatch>(
        loop, std::make_unique<FakeStoreConnection>(loop, store),
        WatchOptions{"config", Millis{1'000}, allow_stale}, 1,
        std::move(observer));
    watch->Start();
  }

  // Runs the event loop for `duration_ms`.
  void Run(int duration_ms = 5) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(duration_ms));
  }

  boost::asio::io_context loop;
  FakeStore store;
  Millis coalescing_delay{0};
  int listing_count = 0;
  size_t listed_count = 0;
  std::vector<std::string> changed_contents;
  std::vector<bool> connection_states;
  std::unique_ptr<StoreWatch> watch;
};

BOOST_FIXTURE_TEST_SUITE(StoreWatchTest, StoreWatchFixture)

BOOST_AUTO_TEST_CASE(Change_AfterListing_IsReportedOnce) {
  Run();
  BOOST_TEST(listed_count == 1U);
  store.Put("main", "2");
  Run();
  BOOST_TEST(changed_contents == std::vector<std::string>{"2"},
             boost::test_tools::per_element());
  BOOST_TEST(store.calls.back() == "watch 2");
}

// Guards against changes that are missed because the store has compacted the
// history that the watch would continue from.
BOOST_AUTO_TEST_CASE(HistoryCompacted_NextCall_ListsAgain) {
  Run();
  store.CompleteWatches(Error{ErrorCode::kLimitExceeded, "gone"});
  Run();
  BOOST_TEST(listing_count == 2);
}

// Guards against an object that stays in use although it has changed: the
// change can't be decoded, and a watch does not report it again.
BOOST_AUTO_TEST_CASE(ChangeLeftOut_NextCall_ListsAgain) {
  Run();
  store.objects.clear();
  store.CompleteWatches(ObjectChanges{{}, store.revision, {1, "main"}});
  Run();
  BOOST_TEST(listing_count == 2);
  BOOST_TEST(listed_count == 0U);
}

// Guards against a watch that stops after its first refused call.
BOOST_AUTO_TEST_CASE(StoreUnavailable_CallsRefused_AreRetriedAndReported) {
  Run();
  store.pending_errors.assign(3, Error{ErrorCode::kUnavailable, "429"});
  store.CompleteWatches(Error{ErrorCode::kUnavailable, "429"});
  Run(1'500);
  BOOST_TEST(store.pending_errors.empty());
  store.Put("main", "3");
  BOOST_TEST(watch->is_connected());
  BOOST_TEST(connection_states == (std::vector<bool>{true, false, true}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ChangesInSuccession_WithDelay_CostOneCall) {
  Run();
  coalescing_delay = Millis{50};
  store.Put("main", "2");
  store.Put("main", "3");
  Run(10);
  const size_t calls = store.calls.size();
  Run(200);
  BOOST_TEST(store.calls.size() == calls + 1);
}

// Guards against calls that are never spaced out: agents report every few
// milliseconds that a balancer is behind which the store turns away.
BOOST_AUTO_TEST_CASE(StoreRefuses_ReconnectRequested_KeepsBackoff) {
  Run();
  store.pending_errors.assign(50, Error{ErrorCode::kUnavailable, "429"});
  store.CompleteWatches(Error{ErrorCode::kUnavailable, "429"});
  const size_t calls = store.calls.size();
  for (int report = 0; report < 40; ++report) {
    Run(10);
    watch->Reconnect(std::make_unique<FakeStoreConnection>(loop, store));
  }
  BOOST_TEST(store.calls.size() <= calls + 6);
}

// Guards against a configuration that is never read: agents report every 500 ms
// that a balancer is behind, and a large listing takes longer on a slow link.
BOOST_AUTO_TEST_CASE(ReconnectRequested_ListingInProgress_IsNotAborted) {
  Run();
  store.listing_delay = std::chrono::milliseconds(60);
  store.objects["main"].content = "2";
  for (int report = 0; report < 6; ++report) {
    watch->Reconnect(std::make_unique<FakeStoreConnection>(loop, store));
    Run(20);
  }
  BOOST_TEST(listing_count >= 2);
}

// Guards against changes that are requested again although a part of the
// response has arrived.
BOOST_AUTO_TEST_CASE(ReconnectRequested_ResponseArriving_KeepsConnection) {
  Run();
  store.is_response_arriving = true;
  const size_t calls = store.calls.size();
  watch->Reconnect(std::make_unique<FakeStoreConnection>(loop, store));
  Run();
  BOOST_TEST(store.calls.size() == calls);
  store.is_response_arriving = false;
  watch->Reconnect(std::make_unique<FakeStoreConnection>(loop, store));
  Run();
  BOOST_TEST(listing_count == 2);
}

// Guards against changes that a watch never reports: a restored store gives
// them numbers that the watch has already passed.
BOOST_AUTO_TEST_CASE(RestoredStore_WatchInProgress_ListsAgain) {
  Run();
  store.Put("main", "2");
  Run();
  store.Restore({{"main", StoredObject{"main", {1, 1}, "1"}}}, 1);
  store.Put("main", "3");
  Run();
  BOOST_TEST(listing_count == 2);
  BOOST_CHECK((watch->position() == StoreRevision{2, 2}));
  store.Put("main", "4");
  BOOST_TEST(changed_contents == (std::vector<std::string>{"2", "4"}),
             boost::test_tools::per_element());
}

// Guards against a watch that waits at a revision of the era before for a whole
// long poll after the store has returned.
BOOST_AUTO_TEST_CASE(RestoredStore_ConnectionLost_ListsAtFirstResponse) {
  Run();
  store.CompleteWatches(Error{ErrorCode::kTimeout, "reset"});
  store.Restore({}, 1);
  Run(100);
  BOOST_TEST(listing_count == 2);
  BOOST_TEST(listed_count == 0U);
}

// Guards against a listing that takes back what a later era has shown.
BOOST_AUTO_TEST_CASE(ListingOfEarlierEra_Received_IsNotReported) {
  Run();
  store.revision.era = 2;
  store.Put("main", "2");
  Run();
  BOOST_TEST(listing_count == 2);
  store.revision.era = 1;
  watch->Reconnect(std::make_unique<FakeStoreConnection>(loop, store));
  Run(20);
  BOOST_TEST(listing_count == 2);
  BOOST_TEST(!watch->is_connected());
  store.revision.era = 3;
  Run(300);
  BOOST_TEST(listing_count == 3);
}

// Guards against a loop of listings that are each older than the history that
// the store still has.
BOOST_AUTO_TEST_CASE(StaleAllowed_HistoryCompacted_SecondListingIsCurrent) {
  StoreObserver observer;
  observer.on_listing = [](const ObjectListing&) {};
  observer.on_change = [](const ObjectChange&) {};
  observer.on_connection_change = [](bool, const std::string&) {};
  Run();
  store.pending_watches.clear();
  store.calls.clear();
  StartWatch(std::move(observer), true);
  Run();
  store.CompleteWatches(Error{ErrorCode::kLimitExceeded, "gone"});
  Run();
  const std::vector<std::string> expected = {"list stale", "watch 1", "list",
                                             "watch 1"};
  BOOST_TEST(store.calls == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
