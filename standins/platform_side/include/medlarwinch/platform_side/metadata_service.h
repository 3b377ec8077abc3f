#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/transport/loop_http_server.h"

namespace medlarwinch {

/// How the store treats the calls of one daemon.
enum class StoreFault {
  kNone,
  /// Answers 503; nothing is done.
  kUnavailable,
  /// Never answers; nothing is done.
  kNoResponse,
  /// Closes the connection; nothing is done.
  kConnectionReset,
  /// Writes are done and not answered.
  kLostResponse,
};

/// A stand-in for the platform's metadata store: objects by kind and name,
/// conditional changes, lists and watches.
class MetadataService {
 public:
  /// Answers one call.
  void Handle(const HttpRequest& request, StoreFault fault, TimePoint now,
              LoopHttpServer::Responder respond);

  /// Creates or replaces an object as the operator does.
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& content);

  /// Forgets the history, so that watches from before it answer 410.
  void Compact();

  /// Answers the watches whose waiting time has passed.
  void Tick(TimePoint now);

  uint64_t calls() const { return calls_; }

 private:
  struct Object {
    nlohmann::json content;
    uint64_t revision = 0;
    uint64_t create_revision = 0;
  };
  struct Event {
    std::string kind;
    uint64_t revision = 0;
    nlohmann::json object;
    bool is_deleted = false;
  };
  struct PendingWatch {
    std::string kind;
    uint64_t since = 0;
    TimePoint deadline;
    LoopHttpServer::Responder respond;
  };

  HttpResponse Write(const HttpRequest& request, const std::string& kind,
                     const std::string& name, uint64_t expected_revision);
  void RecordChange(const std::string& kind, const std::string& name,
                    bool is_deleted, const nlohmann::json& content);
  nlohmann::json ToObjectJson(const std::string& name,
                              const Object& object) const;
  nlohmann::json EventsSince(const std::string& kind, uint64_t since) const;
  HttpResponse ListAll(const std::string& kind) const;

  std::map<std::string, std::map<std::string, Object>> objects_by_kind_;
  std::deque<Event> events_;
  std::list<PendingWatch> pending_watches_;
  uint64_t revision_ = 1;
  uint64_t oldest_event_revision_ = 1;
  uint64_t calls_ = 0;
};

}  // namespace medlarwinch
