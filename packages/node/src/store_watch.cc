#include "medlarwinch/node/store_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "medlarwinch/coordination/platform_calls.h"

namespace medlarwinch {
namespace {

// The first repeat comes soon, since a refused call costs little; the longest
// is well under the bound within which a configuration must be in force.
constexpr BackoffPolicy kStoreBackoff{Millis{60}, Millis{700}};

}  // namespace

StoreWatch::StoreWatch(boost::asio::io_context& loop,
                       std::unique_ptr<StoreConnection> store,
                       WatchedKind watched, uint64_t seed,
                       StoreObserver observer)
    : store_(std::move(store)),
      timer_(loop),
      watched_(std::move(watched)),
      random_(seed),
      observer_(std::move(observer)) {}

StoreWatch::~StoreWatch() = default;

void StoreWatch::Start() { List(); }

void StoreWatch::Refresh(std::unique_ptr<StoreConnection> store) {
  timer_.cancel();
  store_ = std::move(store);
  failures_ = 0;
  List();
}

void StoreWatch::List() {
  store_->List(watched_.kind, [this](Result<ObjectListing> result) {
    if (!IsOk(result)) {
      Retry(ErrorOf(result).message, true);
      return;
    }
    const ObjectListing listing = TakeValue(std::move(result));
    revision_ = listing.revision;
    SetCurrent(true, "listed");
    observer_.on_listing(listing);
    Watch();
  });
}

void StoreWatch::Watch() {
  store_->Watch(watched_.kind, revision_, watched_.wait, watched_.may_be_stale,
                [this](Result<ObjectChanges> result) {
                  if (!IsOk(result)) {
                    const bool history_is_gone =
                        ErrorOf(result).code == ErrorCode::kLimitExceeded;
                    if (history_is_gone) {
                      List();
                      return;
                    }
                    Retry(ErrorOf(result).message, false);
                    return;
                  }
                  const ObjectChanges changes = TakeValue(std::move(result));
                  revision_ = std::max(revision_, changes.revision);
                  SetCurrent(true, "watched");
                  for (const ObjectChange& change : changes.changes) {
                    observer_.on_change(change);
                  }
                  const bool may_pause =
                      !changes.changes.empty() &&
                      observer_.pause_after_changes != nullptr;
                  const Millis pause =
                      may_pause ? observer_.pause_after_changes() : Millis{0};
                  if (pause > Millis{0}) {
                    After(pause, &StoreWatch::Watch);
                  } else {
                    Watch();
                  }
                });
}

void StoreWatch::Retry(const std::string& reason, bool needs_listing) {
  SetCurrent(false, reason);
  const Millis delay = BackoffDelay(kStoreBackoff, failures_, random_());
  ++failures_;
  After(delay, needs_listing ? &StoreWatch::List : &StoreWatch::Watch);
}

void StoreWatch::After(Millis delay, void (StoreWatch::*step)()) {
  timer_.expires_after(std::chrono::milliseconds(delay.value));
  timer_.async_wait([this, step](boost::system::error_code error) {
    if (!error) (this->*step)();
  });
}

void StoreWatch::SetCurrent(bool is_current, const std::string& reason) {
  if (is_current) failures_ = 0;
  if (is_current == is_current_) return;
  is_current_ = is_current;
  observer_.on_contact(is_current, reason);
}

}  // namespace medlarwinch
