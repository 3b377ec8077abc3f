#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// An object in the platform's metadata store.
struct StoredObject {
  std::string name;
  /// Revision of its last change.
  uint64_t revision = 0;
  /// The content as JSON text.
  std::string content;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// All objects of a kind as of one revision.
struct ObjectListing {
  std::vector<StoredObject> objects;
  uint64_t revision = 0;
};

/// A change of one object; `object.content` is empty when it was removed.
struct ObjectChange {
  StoredObject object;
  bool is_removed = false;
};

/// Result of a watch call; without changes when the call reached its wait time.
struct ObjectChanges {
  std::vector<ObjectChange> changes;
  /// Revision from which the next watch continues.
  uint64_t revision = 0;
};

/// A connection to the platform's metadata store. It carries one call at a
/// time; each callback is called once, from the event loop. Errors:
/// kUnavailable when the call had no effect, kTimeout when it may have taken
/// effect, kConflict when the object has another revision or already exists,
/// kNotFound, kLimitExceeded when the history that a watch needs has been
/// compacted.
class StoreConnection {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~StoreConnection() = default;

  /// True while a part of the response to the call in progress has arrived.
  virtual bool is_receiving() const = 0;

  /// Reads all objects of `kind`. With `allow_stale` the call costs less, but
  /// the listing may be seconds old.
  virtual void List(const std::string& kind, bool allow_stale,
                    Callback<ObjectListing> callback) = 0;

  /// Waits up to `wait` for changes after `revision`. With `allow_stale` the
  /// call costs less, but changes may be reported seconds late.
  virtual void Watch(const std::string& kind, uint64_t revision, Millis wait,
                     bool allow_stale, Callback<ObjectChanges> callback) = 0;

  virtual void Get(const std::string& kind, const std::string& name,
                   Callback<StoredObject> callback) = 0;

  /// Creates the object; kConflict when an object of that name exists.
  virtual void Create(const std::string& kind, const StoredObject& object,
                      Callback<StoredObject> callback) = 0;

  /// Replaces the content if the object still has `object.revision`.
  virtual void Replace(const std::string& kind, const StoredObject& object,
                       Callback<StoredObject> callback) = 0;

  /// Removes the object if it still has `revision`.
  virtual void Remove(const std::string& kind, const std::string& name,
                      uint64_t revision, Callback<Ok> callback) = 0;
};

}  // namespace medlarwinch
