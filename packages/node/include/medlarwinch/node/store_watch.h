#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "medlarwinch/coordination/shared/random.h"
#include "medlarwinch/node/store_connection.h"

namespace medlarwinch {

/// The kind of objects to watch, and how to watch them.
struct WatchOptions {
  std::string kind;
  /// Long-poll time of a watch call, unless StoreObserver::wait is set.
  Millis wait{3'000};
  /// Allows the first listing to be seconds old and changes to be reported
  /// seconds late, which makes calls cheaper. Later listings are never stale:
  /// they replace a history that the store no longer has.
  bool allow_stale = false;
};

/// Callbacks of a StoreWatch.
struct StoreObserver {
  /// Reports all objects; objects missing from the listing have been removed.
  std::function<void(const ObjectListing&)> on_listing;
  std::function<void(const ObjectChange&)> on_change;
  /// Returns the long-poll time of the next watch call. Optional.
  std::function<Millis()> wait;
  /// Returns the delay between changes and the next watch call, so that changes
  /// in quick succession are read by one call. Optional; the default is no
  /// delay.
  std::function<Millis()> coalescing_delay;
  /// Reports that the store stopped responding, with the reason, or responds
  /// again.
  std::function<void(bool is_connected, const std::string& reason)>
      on_connection_change;
};

/// Lists the objects of one kind and then watches them until it is destroyed.
/// Failed calls are retried with backoff and jitter; when the history has been
/// compacted or the store was restored, the objects are listed again.
class StoreWatch {
 public:
  StoreWatch(boost::asio::io_context& loop,
             std::unique_ptr<StoreConnection> store, WatchOptions options,
             uint64_t seed, StoreObserver observer);
  ~StoreWatch();
  StoreWatch(const StoreWatch&) = delete;
  StoreWatch& operator=(const StoreWatch&) = delete;

  void Start();

  /// Switches to a new connection and lists the objects immediately. Needed
  /// because a watch on a dead connection reports nothing. Does nothing while
  /// failed calls are being retried, so that a store that turns this process
  /// away gets no more calls than the backoff allows, and while a listing is in
  /// progress or a response is arriving: requested again and again, a read that
  /// takes longer than the requests are apart would never complete.
  void Reconnect(std::unique_ptr<StoreConnection> store);

  /// The revision up to which changes were reported; its number is 0 before the
  /// first listing.
  const StoreRevision& position() const { return position_; }

  /// True if the last call succeeded.
  bool is_connected() const { return is_connected_; }

 private:
  void List();
  void Watch();
  void Retry(const std::string& reason, bool needs_relist);
  void Schedule(Millis delay, void (StoreWatch::*next_call)());
  void SetConnected(bool is_connected, const std::string& reason);

  std::unique_ptr<StoreConnection> store_;
  boost::asio::steady_timer timer_;
  WatchOptions options_;
  Random random_;
  StoreObserver observer_;
  StoreRevision position_;
  uint32_t failures_ = 0;
  bool is_first_listing_ = true;
  bool is_listing_ = false;
  bool is_connected_ = false;
};

}  // namespace medlarwinch
