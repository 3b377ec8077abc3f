#include "medlarwinch/transport/platform_client.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "medlarwinch/transport/http_client.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr BackoffPolicy kBackoff;

std::string ObjectTarget(const std::string& key) {
  return "/v1/objects/" + PercentEncode(key);
}

Error InvalidResponse(const std::string& target, const std::string& what) {
  return Error{ErrorCode::kInvalidInput,
               target + ": invalid response from the platform: " + what};
}

Error UnexpectedStatus(const std::string& target,
                       const HttpResponse& response) {
  return Error{ErrorCode::kInvalidInput,
               target + ": the platform responded with status " +
                   std::to_string(response.status) + " " + response.body};
}

Result<PlatformObject> ParseObject(const Json& json) {
  const bool is_object = json.is_object() && json.contains("key") &&
                         json["key"].is_string() && json.contains("version") &&
                         json["version"].is_number_unsigned() &&
                         json.contains("value") && json["value"].is_string();
  if (!is_object) {
    return Error{ErrorCode::kInvalidInput,
                 "expected an object with key, version and value"};
  }
  PlatformObject object;
  object.key = json["key"].get<std::string>();
  object.version = json["version"].get<uint64_t>();
  object.value = json["value"].get<std::string>();
  const auto operation = json.find("operation");
  if (operation != json.end() && operation->is_string()) {
    object.operation = operation->get<std::string>();
  }
  return object;
}

Result<std::vector<PlatformObject>> ParseObjects(const Json& json) {
  if (!json.is_object() || !json.contains("objects") ||
      !json["objects"].is_array()) {
    return Error{ErrorCode::kInvalidInput, "expected a list of objects"};
  }
  std::vector<PlatformObject> objects;
  for (const Json& element : json["objects"]) {
    Result<PlatformObject> object = ParseObject(element);
    if (!IsOk(object)) return ErrorOf(object);
    objects.push_back(TakeValue(std::move(object)));
  }
  std::sort(objects.begin(), objects.end(),
            [](const PlatformObject& a, const PlatformObject& b) {
              return a.key < b.key;
            });
  return objects;
}

// Returns the unsigned integer field `name` of a JSON object.
Result<uint64_t> ParseNumberField(const std::string& body,
                                  const std::string& name) {
  const Json json = Json::parse(body, nullptr, false);
  const bool has_number = json.is_object() && json.contains(name) &&
                          json[name].is_number_unsigned();
  if (has_number) return json[name].get<uint64_t>();
  return Error{ErrorCode::kInvalidInput,
               "expected an unsigned integer '" + name + "'"};
}

Error ConflictError(const std::string& key, uint64_t expected,
                    uint64_t current) {
  return Error{ErrorCode::kConflict,
               key + ": version conflict: the write expected version " +
                   std::to_string(expected) + ", the platform has version " +
                   std::to_string(current)};
}

// Fails with kInvalidInput if the value is not UTF-8.
Result<HttpRequest> MakeWriteRequest(const std::string& key,
                                     const std::string& value,
                                     const LostWrite& write) {
  const Json body = {{"value", value},
                     {"if_version", write.if_version},
                     {"operation", write.operation}};
  try {
    return HttpRequest{"PUT",
                       ObjectTarget(key),
                       body.dump(),
                       {{"content-type", "application/json"}}};
  } catch (const Json::type_error& error) {
    return Error{ErrorCode::kInvalidInput,
                 key + ": the value is not UTF-8 text: " + error.what()};
  }
}

// Parses the response to a write. A conflict is returned as an error.
Result<uint64_t> ParseWriteResponse(const std::string& key, uint64_t if_version,
                                    const HttpResponse& response) {
  if (response.status != kStatusOk && response.status != kStatusConflict) {
    return UnexpectedStatus(key, response);
  }
  const Result<uint64_t> version = ParseNumberField(response.body, "version");
  if (!IsOk(version)) return InvalidResponse(key, ErrorOf(version).message);
  if (response.status == kStatusOk) return version;
  return ConflictError(key, if_version, ValueOf(version));
}

Error UnknownOutcome(const std::string& key, const std::string& why) {
  return Error{ErrorCode::kTimeout,
               key + ": unknown whether the write took effect: " + why};
}

}  // namespace

PlatformClient::PlatformClient(const PlatformClientOptions& options)
    : options_(options),
      budget_{options.calls_per_second, std::max(options.burst, 1.0),
              std::max(options.burst, 1.0), MonotonicNow()},
      random_(options.seed) {}

PlatformClient::Deadline PlatformClient::NewDeadline() const {
  return Deadline{MonotonicNow() + options_.retry_for, 0};
}

Result<HttpResponse> PlatformClient::SendOnce(const HttpRequest& request,
                                              Millis timeout,
                                              const Deadline& deadline) {
  while (true) {
    const TimePoint now = MonotonicNow();
    const CallAdmission admission = AdmitCall(budget_, now);
    budget_ = admission.budget;
    if (admission.wait == Millis{0}) break;
    if (now + admission.wait > deadline.end) {
      return Error{
          ErrorCode::kUnavailable,
          "the rate limit of this process for platform calls is exhausted"};
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(admission.wait.value));
  }
  Result<HttpResponse> response =
      SendHttpRequest(options_.server, request, timeout);
  if (!IsOk(response)) return response;
  const std::string status_text = "the platform responded with status " +
                                  std::to_string(ValueOf(response).status);
  switch (ClassifyStatus(ValueOf(response).status)) {
    case CallOutcome::kAnswered:
      return response;
    case CallOutcome::kRefused:
      return Error{ErrorCode::kUnavailable, status_text};
    case CallOutcome::kUnknown:
      return Error{ErrorCode::kTimeout, status_text};
  }
  return response;
}

bool PlatformClient::WaitForRetry(Deadline& deadline) {
  const Millis delay = BackoffDelay(kBackoff, deadline.attempt, random_());
  if (MonotonicNow() + delay > deadline.end) return false;
  ++deadline.attempt;
  std::this_thread::sleep_for(std::chrono::milliseconds(delay.value));
  return true;
}

Result<HttpResponse> PlatformClient::GetWithRetries(const std::string& target,
                                                    Millis timeout,
                                                    Deadline& deadline) {
  const HttpRequest request{"GET", target, "", {}};
  while (true) {
    Result<HttpResponse> response = SendOnce(request, timeout, deadline);
    if (IsOk(response)) return response;
    if (WaitForRetry(deadline)) continue;
    const Error& error = ErrorOf(response);
    return Error{error.code, target + ": no response from the platform at " +
                                 ToString(options_.server) + " after " +
                                 std::to_string(deadline.attempt + 1) +
                                 " attempts: " + error.message};
  }
}

Result<PlatformObject> PlatformClient::GetWithDeadline(const std::string& key,
                                                       Deadline& deadline) {
  const std::string target = ObjectTarget(key);
  const Result<HttpResponse> result =
      GetWithRetries(target, options_.timeout, deadline);
  if (!IsOk(result)) return ErrorOf(result);
  const HttpResponse& response = ValueOf(result);
  if (response.status == kStatusNotFound) {
    return Error{ErrorCode::kNotFound, key + ": there is no such object"};
  }
  if (response.status != kStatusOk) return UnexpectedStatus(target, response);
  Result<PlatformObject> object =
      ParseObject(Json::parse(response.body, nullptr, false));
  if (!IsOk(object)) return InvalidResponse(target, ErrorOf(object).message);
  return object;
}

Result<PlatformObject> PlatformClient::Get(const std::string& key) {
  Deadline deadline = NewDeadline();
  return GetWithDeadline(key, deadline);
}

Result<std::vector<PlatformObject>> PlatformClient::List(
    const std::string& prefix) {
  const std::string target = "/v1/objects?prefix=" + PercentEncode(prefix);
  Deadline deadline = NewDeadline();
  const Result<HttpResponse> result =
      GetWithRetries(target, options_.timeout, deadline);
  if (!IsOk(result)) return ErrorOf(result);
  const HttpResponse& response = ValueOf(result);
  if (response.status != kStatusOk) return UnexpectedStatus(target, response);
  Result<std::vector<PlatformObject>> objects =
      ParseObjects(Json::parse(response.body, nullptr, false));
  if (!IsOk(objects)) return InvalidResponse(target, ErrorOf(objects).message);
  return objects;
}

Result<uint64_t> PlatformClient::ResolveLostWriteByReading(
    const std::string& key, const LostWrite& write, Deadline& deadline) {
  const Result<PlatformObject> object = GetWithDeadline(key, deadline);
  ObservedVersion observed;
  if (IsOk(object)) {
    observed = {ValueOf(object).version, ValueOf(object).operation};
  } else if (ErrorOf(object).code != ErrorCode::kNotFound) {
    return UnknownOutcome(key, ErrorOf(object).message);
  }
  switch (ResolveLostWrite(write, observed)) {
    case LostWriteResult::kApplied:
      return observed.version;
    case LostWriteResult::kUnchanged:
      return uint64_t{0};
    case LostWriteResult::kUnknown:
      break;
  }
  return UnknownOutcome(
      key, "it expected version " + std::to_string(write.if_version) +
               " and its response was lost; another write has "
               "created version " +
               std::to_string(observed.version));
}

Result<uint64_t> PlatformClient::Put(const std::string& key,
                                     const std::string& value,
                                     uint64_t if_version,
                                     const std::string& operation) {
  const LostWrite write{operation, if_version};
  const Result<HttpRequest> request = MakeWriteRequest(key, value, write);
  if (!IsOk(request)) return ErrorOf(request);
  Deadline deadline = NewDeadline();
  bool may_have_applied = false;
  while (true) {
    const Result<HttpResponse> response =
        SendOnce(ValueOf(request), options_.timeout, deadline);
    std::string failure = "the platform reported a conflict";
    if (!IsOk(response)) {
      failure = ErrorOf(response).message;
      may_have_applied |= ErrorOf(response).code == ErrorCode::kTimeout;
    } else if (ValueOf(response).status != kStatusConflict ||
               !may_have_applied) {
      return ParseWriteResponse(key, if_version, ValueOf(response));
    }
    // After a lost response, a conflict may be caused by this write itself.
    // Both cases are resolved by reading the object back.
    const bool may_retry = WaitForRetry(deadline);
    if (may_have_applied) {
      // The object is read once even after the deadline. Otherwise the outcome
      // of the write would remain unknown.
      const Result<uint64_t> version =
          ResolveLostWriteByReading(key, write, deadline);
      if (!IsOk(version) || ValueOf(version) > 0) return version;
    }
    if (may_retry) continue;
    if (may_have_applied) return UnknownOutcome(key, failure);
    return Error{ErrorCode::kUnavailable, key + ": not written: " + failure};
  }
}

Result<WatchResult> PlatformClient::Watch(const std::string& prefix,
                                          uint64_t revision, Millis wait) {
  const std::string target = "/v1/watch?prefix=" + PercentEncode(prefix) +
                             "&after=" + std::to_string(revision) +
                             "&timeout_ms=" + std::to_string(wait.value);
  Deadline deadline = NewDeadline();
  const Result<HttpResponse> result =
      GetWithRetries(target, options_.timeout + wait, deadline);
  if (!IsOk(result)) return ErrorOf(result);
  const HttpResponse& response = ValueOf(result);
  if (response.status != kStatusOk) return UnexpectedStatus(target, response);
  const Result<uint64_t> latest = ParseNumberField(response.body, "revision");
  if (!IsOk(latest)) return InvalidResponse(target, ErrorOf(latest).message);
  Result<std::vector<PlatformObject>> objects =
      ParseObjects(Json::parse(response.body, nullptr, false));
  if (!IsOk(objects)) return InvalidResponse(target, ErrorOf(objects).message);
  return WatchResult{ValueOf(latest), TakeValue(std::move(objects))};
}

}  // namespace medlarwinch
