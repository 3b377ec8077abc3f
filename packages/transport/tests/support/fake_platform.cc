#include "fake_platform.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>

#include "test_address.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr uint16_t kFirstPort = 18'000;
const std::string kObjects = "/v1/objects/";

Json ToJson(const PlatformObject& object) {
  return {{"key", object.key},
          {"version", object.version},
          {"value", object.value},
          {"operation", object.operation}};
}

HttpResponse JsonResponse(int status, const Json& json) {
  return HttpResponse{status, "application/json", json.dump()};
}

void SleepMillis(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.value));
}

}  // namespace

Endpoint TestAddress(uint16_t index) {
  return Endpoint{ProcessLoopbackIp(),
                  static_cast<uint16_t>(kFirstPort + index)};
}

FakePlatform::FakePlatform() { SetDown(false); }

FakePlatform::~FakePlatform() = default;

PlatformClientOptions FakePlatform::Options() const {
  PlatformClientOptions options;
  options.server = TestAddress(0);
  options.timeout = Millis{100};
  options.retry_for = Millis{1'500};
  options.calls_per_second = 1'000;
  options.burst = 1'000;
  return options;
}

void FakePlatform::Inject(Fault fault, int count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fault_ = fault;
  fault_count_ = count;
}

void FakePlatform::RunAfterNextWrite(std::function<void()> action) {
  const std::lock_guard<std::mutex> lock(mutex_);
  after_write_action_ = std::move(action);
}

void FakePlatform::SetDown(bool is_down) {
  server_.reset();
  if (is_down) return;
  Result<std::unique_ptr<HttpServer>> server = HttpServer::Listen(
      TestAddress(0),
      [this](const HttpRequest& request) { return Handle(request); });
  if (!IsOk(server)) throw std::runtime_error(ErrorOf(server).message);
  server_ = TakeValue(std::move(server));
}

void FakePlatform::Set(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  PlatformObject& object = objects_[key];
  object = PlatformObject{key, object.version + 1, value, "test"};
  changed_revision_[key] = ++revision_;
}

PlatformObject FakePlatform::Find(const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_.find(key);
  return found == objects_.end() ? PlatformObject{} : found->second;
}

std::map<std::string, PlatformObject> FakePlatform::objects() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return objects_;
}

int FakePlatform::write_calls() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return write_calls_;
}

FakePlatform::Fault FakePlatform::TakeFault() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (fault_count_ == 0) return Fault::kNone;
  --fault_count_;
  return fault_;
}

HttpResponse FakePlatform::Handle(const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request.target);
  const Fault fault = TakeFault();
  const bool is_write = request.method == "PUT";
  if (is_write) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++write_calls_;
  }
  if (fault == Fault::kTooManyRequests) return HttpResponse{429, "", ""};
  if (fault == Fault::kUnavailable) return HttpResponse{503, "", ""};
  if (fault == Fault::kAppliedLate) SleepMillis(kDelay);
  if (is_write) {
    const HttpResponse response =
        Write(target.path.substr(kObjects.size()), request.body);
    if (fault == Fault::kResponseLost) SleepMillis(kDelay);
    if (fault == Fault::kServerError) return HttpResponse{500, "", "broken"};
    return response;
  }
  if (target.path == "/v1/objects") {
    return Query(target.query.at("prefix"), 0);
  }
  if (target.path == "/v1/watch") {
    return Query(target.query.at("prefix"),
                 std::stoull(target.query.at("after")));
  }
  const PlatformObject object = Find(target.path.substr(kObjects.size()));
  if (object.version == 0) return HttpResponse{404, "", ""};
  return JsonResponse(200, ToJson(object));
}

HttpResponse FakePlatform::Write(const std::string& key,
                                 const std::string& body) {
  const Json json = Json::parse(body);
  std::function<void()> after_write_action;
  uint64_t version = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = objects_.find(key);
    const uint64_t current =
        found == objects_.end() ? 0 : found->second.version;
    if (current != json["if_version"].get<uint64_t>()) {
      return JsonResponse(409, {{"version", current}});
    }
    version = current + 1;
    objects_[key] =
        PlatformObject{key, version, json["value"].get<std::string>(),
                       json["operation"].get<std::string>()};
    changed_revision_[key] = ++revision_;
    std::swap(after_write_action, after_write_action_);
  }
  if (after_write_action) after_write_action();
  return JsonResponse(200, {{"version", version}});
}

HttpResponse FakePlatform::Query(const std::string& prefix,
                                 uint64_t after) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json list = Json::array();
  for (const auto& [key, object] : objects_) {
    if (key.rfind(prefix, 0) != 0 || changed_revision_.at(key) <= after)
      continue;
    list.push_back(ToJson(object));
  }
  return JsonResponse(200, {{"revision", revision_}, {"objects", list}});
}

}  // namespace medlarwinch
