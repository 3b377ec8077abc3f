#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/shared/store_revision.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// An object in the platform's metadata store.
struct StoredObject {
  std::string name;
  /// Revision of its last change, in the era in which it was read.
  StoreRevision revision;
  /// The content as the store holds it: a JSON text, unless another writer left
  /// one that is not valid or has many levels. Parse it by ParseBoundedJson().
  std::string content;

  friend bool operator==(const StoredObject&, const StoredObject&) = default;
};

/// Elements of a response that are not reported as objects, since their name,
/// revision or kind of change can't be decoded.
struct LeftOutElements {
  size_t count = 0;
  /// Name of the first one; empty if it can't be decoded.
  std::string first_name;
};

/// All objects of a kind as of one revision.
struct ObjectListing {
  std::vector<StoredObject> objects;
  StoreRevision revision;
  LeftOutElements left_out = {};
};

/// A change of one object; `object.content` is empty when it was removed.
struct ObjectChange {
  StoredObject object;
  bool is_removed = false;
};

/// Result of a watch call; without changes when the call reached its wait time.
struct ObjectChanges {
  std::vector<ObjectChange> changes;
  /// Revision from which the next watch continues. In a later era than the
  /// watched one if the store was restored meanwhile; `changes` may then lack
  /// some.
  StoreRevision revision;
  LeftOutElements left_out = {};
};

/// A connection to the platform's metadata store. It carries one call at a
/// time; each callback is called once, from the event loop. Errors:
/// kUnavailable when the call had no effect, kTimeout when it may have taken
/// effect, kConflict when the object has another revision or already exists,
/// kNotFound, kLimitExceeded when the store does not have the history that a
/// watch needs, or when a response is too large to be read. Conditions compare
/// revision numbers only, so a caller must not use a revision of an earlier
/// era.
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
  virtual void Watch(const std::string& kind, const StoreRevision& revision,
                     Millis wait, bool allow_stale,
                     Callback<ObjectChanges> callback) = 0;

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
                      const StoreRevision& revision, Callback<Ok> callback) = 0;
};

}  // namespace medlarwinch
