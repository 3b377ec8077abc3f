#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// Result of a conditional write.
struct PutResult {
  bool is_written = false;
  /// The new version if the write succeeded, otherwise the current version; 0
  /// if the object does not exist.
  uint64_t version = 0;
};

/// In-memory object store of the simulated platform. A single counter numbers
/// all writes; an object's version is the number of its last write.
/// Thread-safe.
class ObjectStore {
 public:
  /// Fails with kNotFound.
  Result<PlatformObject> Get(const std::string& key) const;

  /// Writes if the object's current version is `if_version` (0: the object does
  /// not exist).
  PutResult Put(const std::string& key, const std::string& value,
                uint64_t if_version, const std::string& operation);

  /// Returns the objects whose key starts with `prefix`, sorted by key.
  std::vector<PlatformObject> List(const std::string& prefix) const;

  /// Number of the last write.
  uint64_t revision() const;

  /// Waits up to `wait` for objects under `prefix` with a version above
  /// `after`. Returns `after` and no objects on timeout.
  WatchResult Watch(const std::string& prefix, uint64_t after, Millis wait);

  /// Completes all pending watches without objects, as an outage does.
  void InterruptWatches();

 private:
  std::vector<PlatformObject> ChangedAfter(const std::string& prefix,
                                           uint64_t after) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, PlatformObject> objects_;
  uint64_t revision_ = 0;
  uint64_t interruption_count_ = 0;
};

}  // namespace medlarwinch
