#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/transport/async_http_server.h"

namespace medlarwinch {

/// Fault that the metadata store simulates for the calls of one daemon.
enum class StoreFault {
  kNone,
  /// Responds with 503 without executing the call.
  kUnavailable,
  /// Never responds and does not execute the call.
  kNoResponse,
  /// Closes the connection without executing the call.
  kConnectionReset,
  /// Executes writes but closes the connection instead of responding.
  kLostResponse,
};

/// Simulates the platform's metadata store: objects by kind and name,
/// conditional writes, lists, watches, and restoration from an older copy.
class MetadataService {
 public:
  /// Handles one call. `respond` may be called later if the call is a watch,
  /// and is never called with kNoResponse.
  void Handle(const HttpRequest& request, StoreFault fault, TimePoint now,
              AsyncHttpServer::Responder respond);

  /// Creates or replaces an object, as an operator does.
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& content);

  /// Creates or replaces an object with content that is served as it is, even
  /// if it is not valid JSON.
  void PutText(const std::string& kind, const std::string& name,
               const std::string& content);

  /// Removes the object if it exists, as an operator does.
  void Remove(const std::string& kind, const std::string& name);

  /// Discards the event history, so that watches from an earlier revision get
  /// 410.
  void Compact();

  /// Returns to the latest copy that is at least `age` old, or to the oldest
  /// one: later writes are lost, their revisions are given out again, and the
  /// era rises by one. Cuts the watches in progress.
  void Restore(Millis age, TimePoint now);

  /// Responds without events to the watches whose wait time has elapsed, and
  /// copies the objects if they have changed.
  void Tick(TimePoint now);

  uint64_t calls() const { return calls_; }

 private:
  struct Object {
    /// JSON text, except for content of PutText().
    std::string content;
    uint64_t revision = 0;
    uint64_t create_revision = 0;
  };
  struct Event {
    std::string kind;
    uint64_t revision = 0;
    std::string object;
    bool is_deleted = false;
  };
  using ObjectsByKind = std::map<std::string, std::map<std::string, Object>>;
  struct Copy {
    TimePoint taken_at;
    uint64_t revision = 0;
    ObjectsByKind objects_by_kind;
  };
  struct PendingWatch {
    std::string kind;
    uint64_t since = 0;
    TimePoint deadline;
    AsyncHttpServer::Responder respond;
  };

  void HandleReachable(const HttpRequest& request, StoreFault fault,
                       TimePoint now, AsyncHttpServer::Responder respond);
  HttpResponse Write(const HttpRequest& request, const std::string& kind,
                     const std::string& name, uint64_t expected_revision);
  void RecordChange(const std::string& kind, const std::string& name,
                    bool is_deleted, const std::string& content);
  std::string ToObjectText(const std::string& name, const Object& object) const;
  std::vector<std::string> EventsSince(const std::string& kind,
                                       uint64_t since) const;
  HttpResponse ListAll(const std::string& kind) const;
  HttpResponse ListEvents(const std::vector<std::string>& events) const;

  ObjectsByKind objects_by_kind_;
  /// In the order of their times.
  std::deque<Copy> copies_;
  std::deque<Event> events_;
  std::list<PendingWatch> pending_watches_;
  uint64_t revision_ = 1;
  uint64_t oldest_event_revision_ = 1;
  uint64_t era_ = 1;
  uint64_t calls_ = 0;
};

}  // namespace medlarwinch
