#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "medlarwinch/standins/event_log.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Simulates the operators of a run: writes documents and the key ring to the
/// platform with conditional writes and operation identifiers, and logs
/// config_applied for each accepted write. Thread-safe; each call blocks until
/// its write has succeeded or failed.
class OperatorSimulator {
 public:
  /// `log` must outlive the simulator. `seed` makes operation identifiers
  /// unique.
  OperatorSimulator(const Endpoint& platform, EventLog& log, uint64_t seed);

  /// Sets the base text of a service's document without writing it.
  void SetDocument(const std::string& service, const std::string& text);

  /// Writes the document with its current drain list.
  Result<uint64_t> Apply(const std::string& service);

  /// Adds an upstream's listener to the drain list or removes it.
  void SetDraining(const std::string& service, const Endpoint& upstream,
                   bool is_draining);

  /// Simulates `writers` operators that change the document concurrently; each
  /// repeats read, change and conditional write until its own write is
  /// accepted.
  void ApplyConcurrently(const std::string& service, int writers);

  /// Writes the key ring with one more epoch.
  Result<uint64_t> RotateKeys();

  /// Makes pending writes fail soon.
  void Stop() { stopping_ = true; }

 private:
  Result<uint64_t> Write(const std::string& key, const std::string& value);
  std::string RenderDocument(const std::string& service);

  Endpoint platform_;
  EventLog& log_;
  uint64_t seed_;
  std::atomic<uint64_t> next_operation_{1};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::map<std::string, std::string> documents_;
  std::map<std::string, std::set<Endpoint>> draining_;
};

}  // namespace medlarwinch
