#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "medlarwinch/coordination/random.h"
#include "medlarwinch/node/store_connection.h"

namespace medlarwinch {

/// Which objects are watched, and how.
struct WatchedKind {
  std::string kind;
  /// Waiting time of one call.
  Millis wait{3'000};
  /// Changes may be seen seconds late, at a lower price.
  bool allow_stale = false;
};

/// What follows the objects of a kind.
struct StoreObserver {
  /// All objects; those not in it are gone.
  std::function<void(const ObjectListing&)> on_listing;
  std::function<void(const ObjectChange&)> on_change;
  /// How long to wait after changes before the next watch, so that changes in
  /// quick succession cost one call. Optional; no wait without it.
  std::function<Millis()> coalescing_delay;
  /// The store was lost, with the reason, or answers again.
  std::function<void(bool is_connected, const std::string& reason)>
      on_connection_change;
};

/// Lists the objects of one kind, then watches them, for as long as it lives.
/// Failed calls are repeated with backoff and jitter; when the history is gone
/// the objects are listed again.
class StoreWatch {
 public:
  StoreWatch(boost::asio::io_context& loop,
             std::unique_ptr<StoreConnection> store, WatchedKind watched_kind,
             uint64_t seed, StoreObserver observer);
  ~StoreWatch();
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();

  /// Lists the objects again at once, on a new connection: a watch on a
  /// connection that has gone silent reports nothing.
  void Reconnect(std::unique_ptr<StoreConnection> store);

  /// True while the last call was answered.
  bool is_connected() const { return is_connected_; }

 private:
  void List();
  void Watch();
  void Retry(const std::string& reason, bool needs_relist);
  void Schedule(Millis delay, void (StoreWatch::*next_call)());
  void SetConnected(bool is_connected, const std::string& reason);

  std::unique_ptr<StoreConnection> store_;
  boost::asio::steady_timer timer_;
  WatchedKind watched_kind_;
  Random random_;
  StoreObserver observer_;
  uint64_t revision_ = 0;
  uint32_t failures_ = 0;
  bool is_connected_ = false;
};

}  // namespace medlarwinch
