#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/node/store_connection.h"

namespace medlarwinch {

/// In-memory store that the connections of a test share, with errors to return
/// instead of results.
struct FakeStore {
  std::map<std::string, StoredObject> objects;
  StoreRevision revision{1, 1};
  /// Each of the next calls fails with one of these errors.
  std::deque<Error> pending_errors;
  std::vector<std::string> calls;
  /// Callbacks of the watches in progress.
  std::vector<std::function<void(Result<ObjectChanges>)>> pending_watches;
  /// Time from a listing call to its response.
  std::chrono::milliseconds listing_delay{0};
  /// What the connections report while a watch is in progress.
  bool is_response_arriving = false;

  /// Writes an object and completes the watches with the change.
  void Put(const std::string& name, const std::string& content) {
    ++revision.number;
    objects[name] = StoredObject{name, revision, content};
    CompleteWatches(
        ObjectChanges{{ObjectChange{objects[name], false}}, revision});
  }

  /// Replaces the content by a copy with its last revision number, in the next
  /// era. Watches in progress keep waiting.
  void Restore(std::map<std::string, StoredObject> copy, uint64_t number) {
    revision = StoreRevision{revision.era + 1, number};
    objects = std::move(copy);
    for (auto& [name, object] : objects) object.revision.era = revision.era;
  }

  void CompleteWatches(const Result<ObjectChanges>& result) {
    std::vector<std::function<void(Result<ObjectChanges>)>> completed;
    completed.swap(pending_watches);
    for (const auto& callback : completed) callback(result);
  }
};

/// A connection to a FakeStore. Callbacks run on the event loop, except those
/// of watches that FakeStore::CompleteWatches() completes.
class FakeStoreConnection final : public StoreConnection {
 public:
  FakeStoreConnection(boost::asio::io_context& loop, FakeStore& store)
      : loop_(loop), store_(store), listing_timer_(loop) {}

  void List(const std::string& /*kind*/, bool allow_stale,
            Callback<ObjectListing> callback) override {
    const char* call = allow_stale ? "list stale" : "list";
    const Callback<ObjectListing> delayed =
        [this, callback](const Result<ObjectListing>& result) {
          listing_timer_.expires_after(store_.listing_delay);
          listing_timer_.async_wait([callback, result](auto error) {
            if (!error) callback(result);
          });
        };
    Call<ObjectListing>(call, delayed, [this]() -> Result<ObjectListing> {
      ObjectListing listing;
      listing.revision = store_.revision;
      for (const auto& [name, object] : store_.objects) {
        listing.objects.push_back(object);
      }
      return listing;
    });
  }

  bool is_receiving() const override {
    return !store_.pending_watches.empty() && store_.is_response_arriving;
  }

  void Watch(const std::string& /*kind*/, const StoreRevision& revision,
             Millis wait, bool /*allow_stale*/,
             Callback<ObjectChanges> callback) override {
    store_.calls.push_back("watch " + std::to_string(revision.number));
    if (!store_.pending_errors.empty()) {
      const Error error = TakeError();
      boost::asio::post(loop_, [callback, error] { callback(error); });
      return;
    }
    if (wait <= kImmediateWait) {
      const ObjectChanges unchanged{{}, store_.revision};
      boost::asio::post(loop_, [callback, unchanged] { callback(unchanged); });
      return;
    }
    store_.pending_watches.push_back(callback);
  }

  void Get(const std::string& /*kind*/, const std::string& name,
           Callback<StoredObject> callback) override {
    Call<StoredObject>("get", callback, [this, name]() -> Result<StoredObject> {
      const auto found = store_.objects.find(name);
      if (found != store_.objects.end()) return found->second;
      return Error{ErrorCode::kNotFound, "missing"};
    });
  }

  void Create(const std::string& /*kind*/, const StoredObject& object,
              Callback<StoredObject> callback) override {
    Call<StoredObject>("create", callback,
                       [this, object]() -> Result<StoredObject> {
                         if (store_.objects.count(object.name) != 0) {
                           return Error{ErrorCode::kConflict, "exists"};
                         }
                         return Write(object);
                       });
  }

  void Replace(const std::string& /*kind*/, const StoredObject& object,
               Callback<StoredObject> callback) override {
    Call<StoredObject>(
        "replace", callback, [this, object]() -> Result<StoredObject> {
          const auto found = store_.objects.find(object.name);
          if (found == store_.objects.end()) {
            return Error{ErrorCode::kNotFound, "missing"};
          }
          if (found->second.revision.number != object.revision.number) {
            return Error{ErrorCode::kConflict, "revision mismatch"};
          }
          return Write(object);
        });
  }

  void Remove(const std::string& /*kind*/, const std::string& name,
              const StoreRevision& revision, Callback<Ok> callback) override {
    Call<Ok>("remove", callback, [this, name, revision]() -> Result<Ok> {
      const auto found = store_.objects.find(name);
      if (found == store_.objects.end()) {
        return Error{ErrorCode::kNotFound, "missing"};
      }
      if (found->second.revision.number != revision.number) {
        return Error{ErrorCode::kConflict, "revision mismatch"};
      }
      store_.objects.erase(found);
      return Ok{};
    });
  }

 private:
  // Watches with a shorter wait are completed at once.
  static constexpr Millis kImmediateWait{10};

  Error TakeError() {
    const Error error = store_.pending_errors.front();
    store_.pending_errors.pop_front();
    return error;
  }

  Result<StoredObject> Write(StoredObject object) {
    ++store_.revision.number;
    object.revision = store_.revision;
    store_.objects[object.name] = object;
    return object;
  }

  // With the error kTimeout the operation is performed, but its result is lost.
  template <typename T>
  void Call(const char* name, Callback<T> callback,
            const std::function<Result<T>()>& operation) {
    store_.calls.push_back(name);
    std::optional<Error> error;
    if (!store_.pending_errors.empty()) error = TakeError();
    if (!error.has_value() || error->code == ErrorCode::kTimeout) {
      const Result<T> result = operation();
      if (!error.has_value()) {
        boost::asio::post(loop_, [callback, result] { callback(result); });
        return;
      }
    }
    const Error error_to_return = *error;
    boost::asio::post(
        loop_, [callback, error_to_return] { callback(error_to_return); });
  }

  boost::asio::io_context& loop_;
  FakeStore& store_;
  boost::asio::steady_timer listing_timer_;
};

}  // namespace medlarwinch
