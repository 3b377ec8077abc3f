#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "medlarwinch/transport/http_server.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// A small object API for the tests of one process, with the faults that they
/// need. It listens on a loopback address derived from the process identifier,
/// so that test programs may run at the same time.
class FakePlatform {
 public:
  /// What happens to the next writes.
  enum class Fault {
    kNone,
    kResponseLost,     ///< Applied, but answered after `kDelay`.
    kAppliedLate,      ///< Applied and answered after `kDelay`.
    kTooManyRequests,  ///< 429, not applied.
    kUnavailable,      ///< 503, not applied.
    kServerError,      ///< 500 with a body that is no JSON, but applied.
  };
  /// Longer than the timeout of Options().
  static constexpr Millis kDelay{250};

  /// Listens; throws std::runtime_error when that fails.
  FakePlatform();
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  /// Client options with short timeouts.
  PlatformClientOptions Options() const;

  /// Applies `fault` to the next `count` calls; reads see only the statuses.
  void Inject(Fault fault, int count);
  /// Runs `action` inside the next write, after it was applied.
  void RunAfterNextWrite(std::function<void()> action);
  /// Closes the listening socket, or opens it again.
  void SetDown(bool is_down);

  /// Writes an object without a call.
  void Set(const std::string& key, const std::string& value);
  /// Returns the object; version 0 when there is none.
  PlatformObject Find(const std::string& key) const;
  std::map<std::string, PlatformObject> objects() const;
  /// PUT calls that were received, refused ones included.
  int write_calls() const;

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Write(const std::string& key, const std::string& body);
  HttpResponse Query(const std::string& prefix, uint64_t after) const;
  Fault TakeFault();

  mutable std::mutex mutex_;
  std::map<std::string, PlatformObject> objects_;
  std::map<std::string, uint64_t> changed_revision_;
  uint64_t revision_ = 0;
  int write_calls_ = 0;
  Fault fault_ = Fault::kNone;
  int fault_count_ = 0;
  std::function<void()> after_write_action_;
  std::unique_ptr<HttpServer> server_;
};

/// A loopback address of this test process; `index` tells several apart.
Endpoint TestAddress(uint16_t index);

}  // namespace medlarwinch
