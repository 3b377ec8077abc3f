#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "medlarwinch/standins/object_store.h"
#include "medlarwinch/standins/rate_limiter.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// Settings of the simulated platform.
struct PlatformSettings {
  /// Address of the object API; closed while the platform is down.
  Endpoint api;
  /// Address of the control server, which stays open during an outage.
  Endpoint control;
  double writes_per_second = 300;
  double reads_per_second = 2'000;
};

/// HTTP object API of the platform with fault injection: POST /control/down,
/// /control/slow?ms=N, /control/drop-answers, each with on=1 or on=0; GET
/// /control/stats returns the number of calls by kind.
class PlatformService {
 public:
  /// Listens on both addresses; fails with kUnavailable.
  static Result<std::unique_ptr<PlatformService>> Start(
      const PlatformSettings& settings);

  ~PlatformService();
  PlatformService(const PlatformService&) = delete;
  PlatformService& operator=(const PlatformService&) = delete;

 private:
  explicit PlatformService(const PlatformSettings& settings);

  Result<Ok> OpenApi();
  HttpResponse HandleControl(const HttpRequest& request);
  HttpResponse ConfigureFault(const HttpTarget& target);
  HttpResponse SetDown(bool is_down);
  HttpResponse Stats();
  HttpResponse HandleApi(const HttpRequest& request);
  HttpResponse HandleRead(const HttpTarget& target);
  HttpResponse HandlePut(const std::string& key, const std::string& body);
  HttpResponse HandleWatch(const HttpTarget& target);
  void IncrementCounter(const std::string& kind);
  // Blocks a request handler until the next outage begins, at most `wait`.
  void WaitForRelease(Millis wait);

  PlatformSettings settings_;
  ObjectStore store_;
  RateLimiter write_limiter_;
  RateLimiter read_limiter_;
  std::mutex mutex_;
  std::condition_variable released_;
  std::map<std::string, uint64_t> counters_;
  uint64_t release_count_ = 0;
  std::atomic<int64_t> slow_ms_{0};
  std::atomic<bool> drops_responses_{false};
  std::mutex api_mutex_;
  std::unique_ptr<HttpServer> api_server_;
  std::unique_ptr<HttpServer> control_server_;
};

}  // namespace medlarwinch
