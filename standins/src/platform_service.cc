#include "medlarwinch/standins/platform_service.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxValueBytes = 1'024 * 1'024;
// Longer than the timeout of any client, so that the response is lost to it.
constexpr Millis kDroppedResponseHold{15'000};
constexpr int64_t kMaxWatchMillis = 60'000;

HttpResponse JsonResponse(int status, const Json& json) {
  return HttpResponse{status, "application/json", json.dump()};
}

HttpResponse ErrorResponse(int status, const std::string& message) {
  return JsonResponse(status, Json{{"error", message}});
}

Json ToJson(const PlatformObject& object) {
  return Json{{"key", object.key},
              {"version", object.version},
              {"value", object.value},
              {"operation", object.operation}};
}

Json ToJson(const std::vector<PlatformObject>& objects) {
  Json list = Json::array();
  for (const PlatformObject& object : objects) list.push_back(ToJson(object));
  return list;
}

std::string QueryValue(const HttpTarget& target, const std::string& name) {
  const auto found = target.query.find(name);
  return found == target.query.end() ? std::string() : found->second;
}

uint64_t QueryNumber(const HttpTarget& target, const std::string& name) {
  return std::strtoull(QueryValue(target, name).c_str(), nullptr, 10);
}

// Keys are percent-encoded in the path.
std::string UnescapePath(const std::string& text) {
  const HttpTarget target = ParseTarget("?key=" + text);
  return QueryValue(target, "key");
}

}  // namespace

Result<std::unique_ptr<PlatformService>> PlatformService::Start(
    const PlatformSettings& settings) {
  std::unique_ptr<PlatformService> service(new PlatformService(settings));
  const Result<Ok> opened = service->OpenApi();
  if (!IsOk(opened)) return ErrorOf(opened);
  PlatformService* self = service.get();
  Result<std::unique_ptr<HttpServer>> control =
      HttpServer::Listen(settings.control, [self](const HttpRequest& request) {
        return self->HandleControl(request);
      });
  if (!IsOk(control)) return ErrorOf(control);
  service->control_server_ = TakeValue(std::move(control));
  return service;
}

PlatformService::PlatformService(const PlatformSettings& settings)
    : settings_(settings),
      write_limiter_(settings.writes_per_second),
      read_limiter_(settings.reads_per_second) {}

PlatformService::~PlatformService() {
  control_server_.reset();
  SetDown(true);
}

Result<Ok> PlatformService::OpenApi() {
  const std::lock_guard<std::mutex> lock(api_mutex_);
  if (api_server_ != nullptr) return Ok{};
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
      settings_.api,
      [this](const HttpRequest& request) { return HandleApi(request); });
  if (!IsOk(server)) return ErrorOf(server);
  api_server_ = TakeValue(std::move(server));
  return Ok{};
}

HttpResponse PlatformService::HandleControl(const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request.target);
  if (target.path == "/control/stats") return Stats();
  if (request.method == "POST") return ConfigureFault(target);
  return ErrorResponse(404, "unknown path " + target.path);
}

HttpResponse PlatformService::ConfigureFault(const HttpTarget& target) {
  const bool is_on = QueryValue(target, "on") != "0";
  if (target.path == "/control/down") return SetDown(is_on);
  if (target.path == "/control/slow") {
    slow_ms_ = is_on ? static_cast<int64_t>(QueryNumber(target, "ms")) : 0;
    return JsonResponse(200, Json::object());
  }
  if (target.path == "/control/drop-answers") {
    drops_responses_ = is_on;
    return JsonResponse(200, Json::object());
  }
  return ErrorResponse(404, "unknown path " + target.path);
}

HttpResponse PlatformService::SetDown(bool is_down) {
  if (!is_down) {
    const Result<Ok> opened = OpenApi();
    if (!IsOk(opened)) return ErrorResponse(500, ErrorOf(opened).message);
    return JsonResponse(200, Json::object());
  }
  std::unique_ptr<HttpServer> closing;
  {
    const std::lock_guard<std::mutex> lock(api_mutex_);
    closing = std::move(api_server_);
  }
  store_.InterruptWatches();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++release_count_;
    released_.notify_all();
  }
  closing.reset();
  return JsonResponse(200, Json::object());
}

HttpResponse PlatformService::Stats() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json json = Json::object();
  for (const auto& [kind, count] : counters_) json[kind] = count;
  return JsonResponse(200, json);
}

HttpResponse PlatformService::HandleApi(const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request.target);
  if (target.path.rfind("/control/", 0) == 0) {
    // Closing the API from one of its own threads would deadlock.
    if (target.path == "/control/down") {
      return ErrorResponse(
          409, "the API can only be closed through the control address");
    }
    return HandleControl(request);
  }
  if (slow_ms_ > 0) WaitForRelease(Millis{slow_ms_});
  const std::string prefix = "/v1/objects/";
  if (request.method == "PUT" && target.path.rfind(prefix, 0) == 0) {
    IncrementCounter("put");
    if (!write_limiter_.TryAcquire()) {
      IncrementCounter("rejected_writes");
      return ErrorResponse(429, "write rate limit exceeded");
    }
    const HttpResponse response = HandlePut(
        UnescapePath(target.path.substr(prefix.size())), request.body);
    if (drops_responses_) {
      IncrementCounter("dropped_answers");
      WaitForRelease(kDroppedResponseHold);
      return ErrorResponse(504, "response dropped by fault injection");
    }
    return response;
  }
  if (request.method == "GET") return HandleRead(target);
  return ErrorResponse(405, "unsupported method");
}

HttpResponse PlatformService::HandleRead(const HttpTarget& target) {
  const std::string prefix = "/v1/objects/";
  const bool is_watch = target.path == "/v1/watch";
  const bool is_list = target.path == "/v1/objects";
  IncrementCounter(is_watch ? "watch" : is_list ? "list" : "get");
  if (!read_limiter_.TryAcquire()) {
    IncrementCounter("rejected_reads");
    return ErrorResponse(429, "read rate limit exceeded");
  }
  if (is_watch) return HandleWatch(target);
  if (is_list) {
    const uint64_t revision = store_.revision();
    return JsonResponse(
        200,
        Json{{"revision", revision},
             {"objects", ToJson(store_.List(QueryValue(target, "prefix")))}});
  }
  if (target.path.rfind(prefix, 0) != 0) {
    return ErrorResponse(404, "unknown path " + target.path);
  }
  const Result<PlatformObject> object =
      store_.Get(UnescapePath(target.path.substr(prefix.size())));
  if (!IsOk(object)) return ErrorResponse(404, ErrorOf(object).message);
  return JsonResponse(200, ToJson(ValueOf(object)));
}

HttpResponse PlatformService::HandlePut(const std::string& key,
                                        const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  const bool is_valid =
      json.is_object() && json.contains("value") && json["value"].is_string() &&
      json.contains("if_version") && json["if_version"].is_number_unsigned() &&
      json.contains("operation") && json["operation"].is_string();
  if (!is_valid) {
    return ErrorResponse(400, "expected value, if_version and operation");
  }
  const std::string value = json["value"].get<std::string>();
  if (value.size() > kMaxValueBytes) {
    return ErrorResponse(413, "value exceeds 1 MiB");
  }
  const PutResult outcome =
      store_.Put(key, value, json["if_version"].get<uint64_t>(),
                 json["operation"].get<std::string>());
  if (!outcome.is_written) IncrementCounter("conflicts");
  return JsonResponse(outcome.is_written ? 200 : 409,
                      Json{{"version", outcome.version}});
}

HttpResponse PlatformService::HandleWatch(const HttpTarget& target) {
  const int64_t wait = std::min(
      static_cast<int64_t>(QueryNumber(target, "timeout_ms")), kMaxWatchMillis);
  const WatchResult result = store_.Watch(
      QueryValue(target, "prefix"), QueryNumber(target, "after"), Millis{wait});
  return JsonResponse(200, Json{{"revision", result.revision},
                                {"objects", ToJson(result.objects)}});
}

void PlatformService::IncrementCounter(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counters_[kind];
}

void PlatformService::WaitForRelease(Millis wait) {
  std::unique_lock<std::mutex> lock(mutex_);
  const uint64_t release_count = release_count_;
  released_.wait_for(lock, std::chrono::milliseconds(wait.value),
                     [&] { return release_count != release_count_; });
}

}  // namespace medlarwinch
