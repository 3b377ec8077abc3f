#include "medlarwinch/node/store_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "medlarwinch/coordination/shared/platform_calls.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// The first retry is fast because a refused call is cheap. The maximum is well
// below the time within which a configuration must be in force.
constexpr BackoffPolicy kStoreBackoff{Millis{60}, Millis{1'200}};
// Long-poll time of the first watch call after a failed one. The store may have
// been restored meanwhile, and a response shows its era.
constexpr Millis kProbeWait{1};

void LogLeftOut(const std::string& kind, const LeftOutElements& left_out,
                const StoreRevision& revision) {
  if (left_out.count == 0) return;
  Log(LogLevel::kWarning, "store_objects_left_out",
      {{"kind", kind},
       {"objects", static_cast<int64_t>(left_out.count)},
       {"first", left_out.first_name},
       {"revision", static_cast<int64_t>(revision.number)}});
}

}  // namespace

StoreWatch::StoreWatch(boost::asio::io_context& loop,
                       std::unique_ptr<StoreConnection> store,
                       WatchOptions options, uint64_t seed,
                       StoreObserver observer)
    : store_(std::move(store)),
      timer_(loop),
      options_(std::move(options)),
      random_(seed),
      observer_(std::move(observer)) {}

StoreWatch::~StoreWatch() = default;

void StoreWatch::Start() { List(); }

void StoreWatch::Reconnect(std::unique_ptr<StoreConnection> store) {
  if (failures_ > 0 || is_listing_ || store_->is_receiving()) return;
  timer_.cancel();
  store_ = std::move(store);
  List();
}

void StoreWatch::List() {
  const bool allow_stale = options_.allow_stale && is_first_listing_;
  is_first_listing_ = false;
  is_listing_ = true;
  store_->List(options_.kind, allow_stale,
               [this](Result<ObjectListing> result) {
                 is_listing_ = false;
                 if (!IsOk(result)) {
                   Retry(ErrorOf(result).message, true);
                   return;
                 }
                 const ObjectListing listing = TakeValue(std::move(result));
                 if (listing.revision.era < position_.era) {
                   Retry("listing of an earlier era", true);
                   return;
                 }
                 position_ = listing.revision;
                 SetConnected(true, "listed");
                 LogLeftOut(options_.kind, listing.left_out, position_);
                 observer_.on_listing(listing);
                 Watch();
               });
}

void StoreWatch::Watch() {
  const Millis usual_wait =
      observer_.wait != nullptr ? observer_.wait() : options_.wait;
  const Millis wait = failures_ > 0 ? kProbeWait : usual_wait;
  store_->Watch(options_.kind, position_, wait, options_.allow_stale,
                [this](Result<ObjectChanges> result) {
                  if (!IsOk(result)) {
                    const bool is_history_missing =
                        ErrorOf(result).code == ErrorCode::kLimitExceeded;
                    if (is_history_missing) {
                      List();
                      return;
                    }
                    Retry(ErrorOf(result).message, false);
                    return;
                  }
                  const ObjectChanges changes = TakeValue(std::move(result));
                  // The position is not part of the history of another era, so
                  // the changes after it may be incomplete.
                  if (changes.revision.era != position_.era) {
                    List();
                    return;
                  }
                  position_ = std::max(position_, changes.revision);
                  SetConnected(true, "watched");
                  LogLeftOut(options_.kind, changes.left_out, position_);
                  for (const ObjectChange& change : changes.changes) {
                    observer_.on_change(change);
                  }
                  // A change that can't be decoded is not reported again.
                  if (changes.left_out.count > 0) {
                    List();
                    return;
                  }
                  const bool has_delay = !changes.changes.empty() &&
                                         observer_.coalescing_delay != nullptr;
                  const Millis delay =
                      has_delay ? observer_.coalescing_delay() : Millis{0};
                  if (delay > Millis{0}) {
                    Schedule(delay, &StoreWatch::Watch);
                  } else {
                    Watch();
                  }
                });
}

void StoreWatch::Retry(const std::string& reason, bool needs_relist) {
  SetConnected(false, reason);
  const Millis delay = BackoffDelay(kStoreBackoff, failures_, random_());
  ++failures_;
  Schedule(delay, needs_relist ? &StoreWatch::List : &StoreWatch::Watch);
}

void StoreWatch::Schedule(Millis delay, void (StoreWatch::*next_call)()) {
  timer_.expires_after(std::chrono::milliseconds(delay.value));
  timer_.async_wait([this, next_call](boost::system::error_code error) {
    if (!error) (this->*next_call)();
  });
}

void StoreWatch::SetConnected(bool is_connected, const std::string& reason) {
  if (is_connected) failures_ = 0;
  if (is_connected == is_connected_) return;
  is_connected_ = is_connected;
  observer_.on_connection_change(is_connected, reason);
}

}  // namespace medlarwinch
