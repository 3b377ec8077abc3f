#include "medlarwinch/standins/object_store.h"

#include <algorithm>
#include <chrono>

namespace medlarwinch {

Result<PlatformObject> ObjectStore::Get(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return Error{ErrorCode::kNotFound, "no object '" + key + "'"};
  }
  return found->second;
}

PutResult ObjectStore::Put(const std::string& key, const std::string& value,
                           uint64_t if_version, const std::string& operation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_.find(key);
  const uint64_t current = found == objects_.end() ? 0 : found->second.version;
  if (current != if_version) return PutResult{false, current};
  ++revision_;
  objects_[key] = PlatformObject{key, revision_, value, operation};
  changed_.notify_all();
  return PutResult{true, revision_};
}

std::vector<PlatformObject> ObjectStore::List(const std::string& prefix) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ChangedAfter(prefix, 0);
}

uint64_t ObjectStore::revision() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return revision_;
}

WatchResult ObjectStore::Watch(const std::string& prefix, uint64_t after,
                               Millis wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  const uint64_t interruption_count = interruption_count_;
  std::vector<PlatformObject> objects;
  changed_.wait_for(lock, std::chrono::milliseconds(wait.value), [&] {
    objects = ChangedAfter(prefix, after);
    return !objects.empty() || interruption_count != interruption_count_;
  });
  if (objects.empty()) return WatchResult{after, {}};
  return WatchResult{revision_, std::move(objects)};
}

void ObjectStore::InterruptWatches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++interruption_count_;
  changed_.notify_all();
}

std::vector<PlatformObject> ObjectStore::ChangedAfter(const std::string& prefix,
                                                      uint64_t after) const {
  std::vector<PlatformObject> objects;
  for (auto it = objects_.lower_bound(prefix); it != objects_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (it->second.version > after) objects.push_back(it->second);
  }
  return objects;
}

}  // namespace medlarwinch
