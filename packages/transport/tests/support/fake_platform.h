#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "medlarwinch/transport/http_server.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// In-process fake of the platform's object API with fault injection. Listens
/// on a loopback address derived from the process ID, so that test programs can
/// run concurrently.
class FakePlatform {
 public:
  /// Fault that is applied to subsequent calls.
  enum class Fault {
    kNone,
    kResponseLost,     ///< Applied, but the response is delayed by `kDelay`.
    kAppliedLate,      ///< Applied only after `kDelay`, then responded to.
    kTooManyRequests,  ///< 429, not applied.
    kUnavailable,      ///< 503, not applied.
    kServerError,      ///< 500 with a body that is not JSON, but applied.
  };
  /// Longer than the client timeout in Options().
  static constexpr Millis kDelay{250};

  /// Starts to listen. Throws std::runtime_error on failure.
  FakePlatform();
  ~FakePlatform();
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  /// Client options with short timeouts.
  PlatformClientOptions Options() const;

  /// Applies `fault` to the next `count` calls. Reads are affected only by the
  /// status faults.
  void Inject(Fault fault, int count);
  /// Runs `action` during the next write, after it has been applied.
  void RunAfterNextWrite(std::function<void()> action);
  /// Closes or reopens the listening socket.
  void SetDown(bool is_down);

  /// Writes an object directly, without a call.
  void Set(const std::string& key, const std::string& value);
  /// Returns the object, or one with version 0 if it does not exist.
  PlatformObject Find(const std::string& key) const;
  std::map<std::string, PlatformObject> objects() const;
  /// Number of PUT calls received, including rejected ones.
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

/// A loopback address of this test process. `index` selects one of several.
Endpoint TestAddress(uint16_t index);

}  // namespace medlarwinch
