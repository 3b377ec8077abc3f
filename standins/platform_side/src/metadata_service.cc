#include "medlarwinch/platform_side/metadata_service.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

// Longer than the age of any copy that a test or a soak run restores.
constexpr Millis kMaxCopyAge{30'000};

HttpResponse JsonResponse(int status, const Json& body) {
  return HttpResponse{status, "application/json", body.dump()};
}

HttpResponse TextResponse(int status, std::string body) {
  return HttpResponse{status, "application/json", std::move(body)};
}

std::string JoinArray(const std::vector<std::string>& elements) {
  std::string text = "[";
  for (const std::string& element : elements) {
    if (text.size() > 1) text += ',';
    text += element;
  }
  return text + "]";
}

uint64_t NumberParameter(const HttpTarget& target, const std::string& key) {
  const auto found = target.query.find(key);
  return found == target.query.end() ? 0 : std::stoull(found->second);
}

uint64_t ExpectedRevision(const HttpTarget& target, const Json& body) {
  const Json meta = body.value("meta", Json::object());
  const uint64_t in_body = meta.value("revision", uint64_t{0});
  return in_body != 0 ? in_body : NumberParameter(target, "revision");
}

}  // namespace

// Inserts the content as text, since a test's content need not be valid JSON.
std::string MetadataService::ToObjectText(const std::string& name,
                                          const Object& object) const {
  const Json meta = {{"name", name},
                     {"revision", object.revision},
                     {"create_revision", object.create_revision},
                     {"finalizers", Json::array()},
                     {"deleting", false}};
  return R"({"meta":)" + meta.dump() + R"(,"spec":)" + object.content +
         R"(,"status":null})";
}

std::vector<std::string> MetadataService::EventsSince(const std::string& kind,
                                                      uint64_t since) const {
  std::vector<std::string> events;
  for (const Event& event : events_) {
    if (event.kind != kind || event.revision <= since) continue;
    events.push_back(std::string(R"({"deleted":)") +
                     (event.is_deleted ? "true" : "false") + R"(,"object":)" +
                     event.object + "}");
  }
  return events;
}

HttpResponse MetadataService::ListAll(const std::string& kind) const {
  std::vector<std::string> items;
  const auto objects = objects_by_kind_.find(kind);
  if (objects != objects_by_kind_.end()) {
    for (const auto& [name, object] : objects->second) {
      items.push_back(ToObjectText(name, object));
    }
  }
  return TextResponse(200, R"({"items":)" + JoinArray(items) +
                               R"(,"has_more":false,"as_of":)" +
                               std::to_string(revision_) + "}");
}

HttpResponse MetadataService::ListEvents(
    const std::vector<std::string>& events) const {
  return TextResponse(200, R"({"events":)" + JoinArray(events) +
                               R"(,"as_of":)" + std::to_string(revision_) +
                               "}");
}

void MetadataService::RecordChange(const std::string& kind,
                                   const std::string& name, bool is_deleted,
                                   const std::string& content) {
  ++revision_;
  Object& object = objects_by_kind_[kind][name];
  if (object.create_revision == 0) object.create_revision = revision_;
  object.revision = revision_;
  if (!is_deleted) object.content = content;
  events_.push_back(
      Event{kind, revision_, ToObjectText(name, object), is_deleted});
  if (is_deleted) objects_by_kind_[kind].erase(name);
  for (auto watch = pending_watches_.begin();
       watch != pending_watches_.end();) {
    if (watch->kind != kind) {
      ++watch;
      continue;
    }
    watch->respond(ListEvents(EventsSince(kind, watch->since)));
    watch = pending_watches_.erase(watch);
  }
}

void MetadataService::Put(const std::string& kind, const std::string& name,
                          const Json& content) {
  PutText(kind, name, content.dump());
}

void MetadataService::PutText(const std::string& kind, const std::string& name,
                              const std::string& content) {
  RecordChange(kind, name, false, content);
}

void MetadataService::Remove(const std::string& kind, const std::string& name) {
  const auto objects = objects_by_kind_.find(kind);
  if (objects == objects_by_kind_.end()) return;
  const auto object = objects->second.find(name);
  if (object == objects->second.end()) return;
  const std::string content = object->second.content;
  RecordChange(kind, name, true, content);
}

void MetadataService::Compact() {
  events_.clear();
  oldest_event_revision_ = revision_ + 1;
}

void MetadataService::Restore(Millis age, TimePoint now) {
  if (copies_.empty()) return;
  while (copies_.size() > 1 && now - copies_.back().taken_at < age) {
    copies_.pop_back();
  }
  objects_by_kind_ = copies_.back().objects_by_kind;
  revision_ = copies_.back().revision;
  std::erase_if(events_, [this](const Event& event) {
    return event.revision > revision_;
  });
  oldest_event_revision_ = std::min(oldest_event_revision_, revision_ + 1);
  ++era_;
  for (const PendingWatch& watch : pending_watches_) {
    watch.respond(std::nullopt);
  }
  pending_watches_.clear();
}

void MetadataService::Tick(TimePoint now) {
  if (copies_.empty() || copies_.back().revision != revision_) {
    copies_.push_back(Copy{now, revision_, objects_by_kind_});
  }
  if (now - copies_.front().taken_at > kMaxCopyAge && copies_.size() > 1) {
    copies_.pop_front();
  }
  for (auto watch = pending_watches_.begin();
       watch != pending_watches_.end();) {
    if (now < watch->deadline) {
      ++watch;
      continue;
    }
    watch->respond(ListEvents({}));
    watch = pending_watches_.erase(watch);
  }
}

HttpResponse MetadataService::Write(const HttpRequest& request,
                                    const std::string& kind,
                                    const std::string& name,
                                    uint64_t expected_revision) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string content =
      (body.is_object() ? body.value("spec", Json()) : Json()).dump();
  std::map<std::string, Object>& objects = objects_by_kind_[kind];
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (request.method == "POST" && exists) {
    return TextResponse(409, ToObjectText(name, found->second));
  }
  if (request.method != "POST") {
    if (!exists) return JsonResponse(404, Json::object());
    if (expected_revision != 0 && expected_revision != found->second.revision) {
      return TextResponse(409, ToObjectText(name, found->second));
    }
  }
  const bool is_deleted = request.method == "DELETE";
  const bool is_same =
      exists && !is_deleted && found->second.content == content;
  if (!is_same) RecordChange(kind, name, is_deleted, content);
  if (is_deleted) return JsonResponse(200, Json::object());
  return TextResponse(200, ToObjectText(name, objects.at(name)));
}

void MetadataService::Handle(const HttpRequest& request, StoreFault fault,
                             TimePoint now,
                             AsyncHttpServer::Responder respond) {
  ++calls_;
  if (fault == StoreFault::kUnavailable)
    return respond(JsonResponse(503, Json::object()));
  if (fault == StoreFault::kConnectionReset) return respond(std::nullopt);
  if (fault == StoreFault::kNoResponse) return;
  HandleReachable(
      request, fault, now,
      [this, respond = std::move(respond)](std::optional<HttpResponse> result) {
        if (result.has_value()) {
          result->headers["store-era"] = std::to_string(era_);
        }
        respond(std::move(result));
      });
}

void MetadataService::HandleReachable(const HttpRequest& request,
                                      StoreFault fault, TimePoint now,
                                      AsyncHttpServer::Responder respond) {
  const HttpTarget target = ParseTarget(request.target);
  const std::string prefix = "/objects/";
  if (target.path.rfind(prefix, 0) != 0) {
    return respond(JsonResponse(404, Json::object()));
  }
  std::string kind = target.path.substr(prefix.size());
  std::string name;
  const size_t slash = kind.find('/');
  if (slash != std::string::npos) {
    name = kind.substr(slash + 1);
    kind.resize(slash);
  }
  if (request.method != "GET") {
    const Json body = Json::parse(request.body, nullptr, false);
    if (name.empty() && body.is_object()) {
      name = body.value("meta", Json::object()).value("name", "");
    }
    const uint64_t expected_revision =
        ExpectedRevision(target, body.is_object() ? body : Json::object());
    HttpResponse response = Write(request, kind, name, expected_revision);
    if (fault == StoreFault::kLostResponse) return respond(std::nullopt);
    return respond(std::move(response));
  }
  if (!name.empty()) {
    const auto found = objects_by_kind_[kind].find(name);
    if (found == objects_by_kind_[kind].end()) {
      return respond(JsonResponse(404, Json::object()));
    }
    return respond(TextResponse(200, ToObjectText(name, found->second)));
  }
  if (target.query.count("watch") == 0) return respond(ListAll(kind));
  const uint64_t since = NumberParameter(target, "watch");
  if (since + 1 < oldest_event_revision_ || since > revision_)
    return respond(JsonResponse(410, Json::object()));
  const std::vector<std::string> events = EventsSince(kind, since);
  if (!events.empty()) return respond(ListEvents(events));
  const Millis wait{static_cast<int64_t>(NumberParameter(target, "wait_ms"))};
  pending_watches_.push_back(
      PendingWatch{kind, since, now + wait, std::move(respond)});
}

}  // namespace medlarwinch
