#include "medlarwinch/node/store_watch.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "store_fixture.h"

namespace medlarwinch {
namespace {

struct WatchedStore {
  WatchedStore() {
    store.objects["main"] = StoredObject{"main", 1, "1"};
    StoreObserver observer;
    observer.on_listing = [this](const ObjectListing& listing) {
      ++listings;
      listed = listing.objects.size();
    };
    observer.on_change = [this](const ObjectChange& change) {
      seen.push_back(change.object.content);
    };
    observer.on_contact = [this](bool is_current, const std::string&) {
      contacts.push_back(is_current);
    };
    observer.pause_after_changes = [this] { return pause; };
    watch = std::make_unique<StoreWatch>(
        loop, std::make_unique<FakeConnection>(loop, store),
        WatchedKind{"config", Millis{1'000}, false}, 1, std::move(observer));
    watch->Start();
  }

  // Runs the loop until nothing is due within `span`.
  void Run(int span_ms = 5) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(span_ms));
  }

  boost::asio::io_context loop;
  FakeStore store;
  Millis pause{0};
  int listings = 0;
  size_t listed = 0;
  std::vector<std::string> seen;
  std::vector<bool> contacts;
  std::unique_ptr<StoreWatch> watch;
};

BOOST_FIXTURE_TEST_SUITE(StoreWatchOfOneKind, WatchedStore)

BOOST_AUTO_TEST_CASE(Change_AfterListing_IsSeenOnce) {
  Run();
  BOOST_TEST(listed == 1U);
  store.Put("main", "2");
  Run();
  BOOST_TEST(seen == std::vector<std::string>{"2"},
             boost::test_tools::per_element());
  BOOST_TEST(store.calls.back() == "watch 2");
}

// Guards against changes that are missed when the store forgets its history.
BOOST_AUTO_TEST_CASE(HistoryGone_NextCall_ListsAgain) {
  Run();
  store.Answer(Error{ErrorCode::kLimitExceeded, "gone"});
  Run();
  BOOST_TEST(listings == 2);
}

// Guards against a watch that ends with its first refused call.
BOOST_AUTO_TEST_CASE(StoreAway_CallsRefused_AreRepeatedAndContactReported) {
  Run();
  store.errors.assign(3, Error{ErrorCode::kUnavailable, "429"});
  store.Answer(Error{ErrorCode::kUnavailable, "429"});
  Run(1'500);
  BOOST_TEST(store.errors.empty());
  store.Put("main", "3");
  BOOST_TEST(watch->is_current());
  BOOST_TEST(contacts == (std::vector<bool>{true, false, true}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ChangesInSuccession_WithPause_CostOneCall) {
  Run();
  pause = Millis{50};
  store.Put("main", "2");
  store.Put("main", "3");
  Run(10);
  const size_t calls = store.calls.size();
  Run(200);
  BOOST_TEST(store.calls.size() == calls + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
