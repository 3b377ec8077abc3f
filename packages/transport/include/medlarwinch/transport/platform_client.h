#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "medlarwinch/coordination/platform_calls.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// An object of the platform's object API.
struct PlatformObject {
  std::string key;
  /// Set by the platform; grows with every write of the object.
  uint64_t version = 0;
  std::string value;
  /// Identifier of the write that made this version.
  std::string operation;

  friend bool operator==(const PlatformObject&,
                         const PlatformObject&) = default;
};

/// Answer of a watch.
struct WatchResult {
  /// Pass it to the next watch.
  uint64_t revision = 0;
  /// The objects that changed since the revision asked for.
  std::vector<PlatformObject> objects;
};

struct PlatformClientOptions {
  Endpoint server;
  /// Time to wait for one answer.
  Millis timeout{2'000};
  /// Time in which failed calls are tried again before an error is returned.
  Millis retry_for{5'000};
  /// This daemon's share of the platform's limits.
  double calls_per_second = 2;
  double burst = 20;
  /// Seed of the jitter.
  uint64_t seed = 1;
};

/// Calls the platform's object API and waits for the answers. One client is
/// used by one thread at a time. Failures: kUnavailable and kTimeout when the
/// platform did not answer within `retry_for`, kInvalidInput when its answer
/// can't be understood.
class PlatformClient {
 public:
  explicit PlatformClient(const PlatformClientOptions& options);

  /// Fails with kNotFound when there is no such object.
  Result<PlatformObject> Get(const std::string& key);

  /// Returns the objects whose key starts with `prefix`, ordered by key.
  Result<std::vector<PlatformObject>> List(const std::string& prefix);

  /// Writes the object if its version is still `if_version` (0: if it does not
  /// exist) and returns the new version. `operation` is unique to this write.
  /// A lost answer is resolved by reading the object back. Fails with kConflict
  /// when another writer was first; the message names both versions. Fails with
  /// kTimeout when it stays unknown whether the write took effect.
  Result<uint64_t> Put(const std::string& key, const std::string& value,
                       uint64_t if_version, const std::string& operation);

  /// Waits up to `wait` for changes after `revision` of objects whose key
  /// starts with `prefix`; without any it returns the same revision.
  Result<WatchResult> Watch(const std::string& prefix, uint64_t revision,
                            Millis wait);

 private:
  // What is left of the time for one call with all its attempts.
  struct Deadline {
    TimePoint end;
    uint32_t attempt = 0;
  };

  Deadline NewDeadline() const;
  // Makes one call within this client's share. Fails with kUnavailable when the
  // platform did not receive or refused it, kTimeout when it may have.
  Result<HttpResponse> SendOnce(const HttpRequest& request, Millis timeout,
                                const Deadline& deadline);
  // Waits before the next attempt; false when the time is over.
  bool WaitForRetry(Deadline& deadline);
  // Repeats a read until it is answered or the time is over.
  Result<HttpResponse> GetWithRetries(const std::string& target, Millis timeout,
                                      Deadline& deadline);
  Result<PlatformObject> GetWithDeadline(const std::string& key,
                                         Deadline& deadline);
  // Reads the object back after an answer was lost. Returns 0 when the write
  // has to be sent again, otherwise as Put().
  Result<uint64_t> ResolveLostWriteByReading(const std::string& key,
                                             const LostWrite& write,
                                             Deadline& deadline);

  PlatformClientOptions options_;
  CallBudget budget_;
  std::mt19937_64 random_;
};

}  // namespace medlarwinch
