#include "medlarwinch/platform_side/metadata_service.h"

#include <utility>

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

HttpResponse Answer(int status, const Json& body) {
  return HttpResponse{status, "application/json", body.dump()};
}

uint64_t NumberOf(const HttpTarget& target, const std::string& key) {
  const auto found = target.query.find(key);
  return found == target.query.end() ? 0 : std::stoull(found->second);
}

uint64_t ConditionOf(const HttpTarget& target, const Json& body) {
  const Json meta = body.value("meta", Json::object());
  const uint64_t in_body = meta.value("revision", uint64_t{0});
  return in_body != 0 ? in_body : NumberOf(target, "revision");
}

}  // namespace

Json MetadataService::Render(const std::string& name,
                             const Object& object) const {
  return {{"meta",
           {{"name", name},
            {"revision", object.revision},
            {"create_revision", object.created},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.content},
          {"status", nullptr}};
}

Json MetadataService::EventsSince(const std::string& kind,
                                  uint64_t since) const {
  Json events = Json::array();
  for (const Event& event : events_) {
    if (event.kind != kind || event.revision <= since) continue;
    events.push_back({{"deleted", event.is_removed}, {"object", event.object}});
  }
  return events;
}

HttpResponse MetadataService::ListAll(const std::string& kind) const {
  Json items = Json::array();
  const auto objects = kinds_.find(kind);
  if (objects != kinds_.end()) {
    for (const auto& [name, object] : objects->second) {
      items.push_back(Render(name, object));
    }
  }
  return Answer(200,
                {{"items", items}, {"has_more", false}, {"as_of", revision_}});
}

void MetadataService::Change(const std::string& kind, const std::string& name,
                             bool is_removed, const Json& content) {
  ++revision_;
  Object& object = kinds_[kind][name];
  if (object.created == 0) object.created = revision_;
  object.revision = revision_;
  if (!is_removed) object.content = content;
  events_.push_back(Event{kind, revision_, Render(name, object), is_removed});
  if (is_removed) kinds_[kind].erase(name);
  for (auto watch = waiting_.begin(); watch != waiting_.end();) {
    if (watch->kind != kind) {
      ++watch;
      continue;
    }
    watch->respond(Answer(200, {{"events", EventsSince(kind, watch->since)},
                                {"as_of", revision_}}));
    watch = waiting_.erase(watch);
  }
}

void MetadataService::Put(const std::string& kind, const std::string& name,
                          const Json& content) {
  Change(kind, name, false, content);
}

void MetadataService::Compact() {
  events_.clear();
  oldest_ = revision_ + 1;
}

void MetadataService::Tick(TimePoint now) {
  for (auto watch = waiting_.begin(); watch != waiting_.end();) {
    if (now < watch->until) {
      ++watch;
      continue;
    }
    watch->respond(
        Answer(200, {{"events", Json::array()}, {"as_of", revision_}}));
    watch = waiting_.erase(watch);
  }
}

HttpResponse MetadataService::Write(const HttpRequest& request,
                                    const std::string& kind,
                                    const std::string& name,
                                    uint64_t condition) {
  const Json body = Json::parse(request.body, nullptr, false);
  const Json content = body.is_object() ? body.value("spec", Json()) : Json();
  std::map<std::string, Object>& objects = kinds_[kind];
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (request.method == "POST" && exists) {
    return Answer(409, Render(name, found->second));
  }
  if (request.method != "POST") {
    if (!exists) return Answer(404, Json::object());
    if (condition != 0 && condition != found->second.revision) {
      return Answer(409, Render(name, found->second));
    }
  }
  const bool is_removed = request.method == "DELETE";
  const bool is_same =
      exists && !is_removed && found->second.content == content;
  if (!is_same) Change(kind, name, is_removed, content);
  if (is_removed) return Answer(200, Json::object());
  return Answer(200, Render(name, objects.at(name)));
}

void MetadataService::Handle(const HttpRequest& request, StoreFault fault,
                             TimePoint now,
                             AsyncHttpServer::Responder respond) {
  ++calls_;
  if (fault == StoreFault::kBusy) return respond(Answer(503, Json::object()));
  if (fault == StoreFault::kReset) return respond(std::nullopt);
  if (fault == StoreFault::kSilent) return;
  const HttpTarget target = ParseTarget(request.target);
  const std::string prefix = "/objects/";
  if (target.path.rfind(prefix, 0) != 0) {
    return respond(Answer(404, Json::object()));
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
    const uint64_t condition =
        ConditionOf(target, body.is_object() ? body : Json::object());
    HttpResponse answer = Write(request, kind, name, condition);
    if (fault == StoreFault::kLostAnswers) return respond(std::nullopt);
    return respond(std::move(answer));
  }
  if (!name.empty()) {
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end()) {
      return respond(Answer(404, Json::object()));
    }
    return respond(Answer(200, Render(name, found->second)));
  }
  if (target.query.count("watch") == 0) return respond(ListAll(kind));
  const uint64_t since = NumberOf(target, "watch");
  if (since + 1 < oldest_) return respond(Answer(410, Json::object()));
  const Json events = EventsSince(kind, since);
  if (!events.empty()) {
    return respond(Answer(200, {{"events", events}, {"as_of", revision_}}));
  }
  const Millis wait{static_cast<int64_t>(NumberOf(target, "wait_ms"))};
  waiting_.push_back(Waiting{kind, since, now + wait, std::move(respond)});
}

}  // namespace medlarwinch
