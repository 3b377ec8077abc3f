#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "medlarwinch/coordination/shared/platform_calls.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// An object in the platform's object API.
struct PlatformObject {
  std::string key;
  /// Assigned by the platform. Increases with every write of the object.
  uint64_t version = 0;
  std::string value;
  /// Identifier of the write that created this version.
  std::string operation;

  friend bool operator==(const PlatformObject&,
                         const PlatformObject&) = default;
};

/// Response to a watch call.
struct WatchResult {
  /// Revision to pass to the next watch call.
  uint64_t revision = 0;
  /// Objects that changed after the requested revision.
  std::vector<PlatformObject> objects;
};

struct PlatformClientOptions {
  Endpoint server;
  /// Timeout of one call.
  Millis timeout{2'000};
  /// Time during which failed calls are retried before an error is returned.
  Millis retry_for{5'000};
  /// This process's share of the platform's rate limit.
  double calls_per_second = 2;
  double burst = 20;
  /// Seed of the backoff jitter.
  uint64_t seed = 1;
};

/// Blocking client of the platform's object API. Not thread-safe. Calls fail
/// with kUnavailable or kTimeout if the platform does not respond within
/// `retry_for`, and with kInvalidInput if its response is invalid.
class PlatformClient {
 public:
  explicit PlatformClient(const PlatformClientOptions& options);

  /// Fails with kNotFound if the object does not exist.
  Result<PlatformObject> Get(const std::string& key);

  /// Returns all objects whose key starts with `prefix`, sorted by key.
  Result<std::vector<PlatformObject>> List(const std::string& prefix);

  /// Writes the object if its version equals `if_version` (0: if it does not
  /// exist) and returns the new version. `operation` must be unique to this
  /// write. If the response is lost, the outcome is determined by reading the
  /// object back. Fails with kConflict, naming both versions, if another write
  /// was applied first, and with kTimeout if the outcome remains unknown.
  Result<uint64_t> Put(const std::string& key, const std::string& value,
                       uint64_t if_version, const std::string& operation);

  /// Waits up to `wait` for changes after `revision` to objects whose key
  /// starts with `prefix`. Returns the same revision if there are none.
  Result<WatchResult> Watch(const std::string& prefix, uint64_t revision,
                            Millis wait);

 private:
  // End time of a call with all its retries, and the number of retries so far.
  struct Deadline {
    TimePoint end;
    uint32_t attempt = 0;
  };

  Deadline NewDeadline() const;
  // Sends one request within the rate limit. Fails with kUnavailable if the
  // platform did not receive it or refused it, and with kTimeout if it may have
  // been applied.
  Result<HttpResponse> SendOnce(const HttpRequest& request, Millis timeout,
                                const Deadline& deadline);
  // Sleeps for the backoff before the next attempt. Returns false, without
  // sleeping, if that would exceed the deadline.
  bool WaitForRetry(Deadline& deadline);
  // Retries a GET request until it succeeds or the deadline passes.
  Result<HttpResponse> GetWithRetries(const std::string& target, Millis timeout,
                                      Deadline& deadline);
  Result<PlatformObject> GetWithDeadline(const std::string& key,
                                         Deadline& deadline);
  // Reads the object back after a response was lost. Returns 0 if the write
  // must be sent again, otherwise the same as Put().
  Result<uint64_t> ResolveLostWriteByReading(const std::string& key,
                                             const LostWrite& write,
                                             Deadline& deadline);

  PlatformClientOptions options_;
  CallBudget budget_;
  std::mt19937_64 random_;
};

}  // namespace medlarwinch
