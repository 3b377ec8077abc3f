#include "medlarwinch/node/agent_registration.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/coordination/platform_calls.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr BackoffPolicy kEntryBackoff{Millis{80}, Millis{1'000}};
// Minimum time between two rewrites of an entry that balancers report missing.
constexpr Millis kMinRepublishInterval{2'000};

Error InvalidEntry(const StoredObject& object, const std::string& reason) {
  return Error{ErrorCode::kInvalidInput,
               "agent entry '" + object.name + "': " + reason};
}

}  // namespace

std::string AgentEntryName(const Endpoint& agent) {
  std::string name = ToString(agent);
  std::replace(name.begin(), name.end(), ':', '-');
  return name;
}

Result<Endpoint> ParseAgentEntryName(std::string name) {
  std::replace(name.begin(), name.end(), '-', ':');
  return ParseEndpoint(name);
}

std::string EncodeAgentEntry(const DirectoryEntry& entry,
                             const std::string& service) {
  const nlohmann::json content = {{"relay", ToString(entry.agent)},
                                  {"upstream_service", service},
                                  {"failure_domain", entry.failure_domain}};
  return content.dump();
}

Result<DirectoryEntry> DecodeAgentEntry(const StoredObject& object) {
  const nlohmann::json content =
      nlohmann::json::parse(object.content, nullptr, false);
  if (!content.is_object()) return InvalidEntry(object, "not a JSON object");
  const auto text = [&](const char* key) -> std::string {
    const auto found = content.find(key);
    if (found == content.end() || !found->is_string()) return "";
    return found->get<std::string>();
  };
  const Result<Endpoint> agent = ParseEndpoint(text("relay"));
  if (!IsOk(agent)) return InvalidEntry(object, ErrorOf(agent).message);
  if (AgentEntryName(ValueOf(agent)) != object.name) {
    return InvalidEntry(object, "relay address does not match the object name");
  }
  const std::string service = text("upstream_service");
  if (service.empty())
    return InvalidEntry(object, "upstream service is missing");
  return DirectoryEntry{ValueOf(agent), MakeServiceId(service),
                        text("failure_domain"), object.revision};
}

AgentRegistration::AgentRegistration(boost::asio::io_context& loop,
                                     std::unique_ptr<StoreConnection> store,
                                     std::string name, std::string content,
                                     uint64_t seed)
    : store_(std::move(store)),
      timer_(loop),
      name_(std::move(name)),
      content_(std::move(content)),
      random_(seed) {}

void AgentRegistration::Publish() {
  should_publish_ = true;
  if (is_write_in_progress_) return;
  StartWrite();
}

void AgentRegistration::Withdraw() {
  should_publish_ = false;
  if (is_write_in_progress_) return;
  StartWrite();
}

void AgentRegistration::RecordPoll(const Endpoint& balancer, bool is_listed,
                                   TimePoint now) {
  last_poll_at_ = now;
  if (is_listed || !is_published()) return;
  if (now - last_check_at_ < kMinRepublishInterval) return;
  last_check_at_ = now;
  Log(LogLevel::kWarning, "entry_missed", {{"balancer", ToString(balancer)}});
  Publish();
}

void AgentRegistration::RepublishIfUnpolled(TimePoint now) {
  if (last_poll_at_ == TimePoint{}) last_poll_at_ = now;
  if (!is_published() ||
      now - std::max(last_poll_at_, last_check_at_) < kUnpolledCheckDelay) {
    return;
  }
  last_check_at_ = now;
  Log(LogLevel::kWarning, "entry_checked",
      {{"entry", name_}, {"unpolled_ms", (now - last_poll_at_).value}});
  Publish();
}

void AgentRegistration::StartWrite() {
  is_write_in_progress_ = true;
  is_in_sync_ = false;
  write_publishes_ = should_publish_;
  if (should_publish_) {
    Create();
  } else {
    Remove();
  }
}

void AgentRegistration::Create() {
  store_->Create(kAgentEntryKind, StoredObject{name_, 0, content_},
                 [this](const Result<StoredObject>& result) {
                   if (IsOk(result)) {
                     CompleteWrite(ValueOf(result).revision);
                   } else if (ErrorOf(result).code == ErrorCode::kConflict) {
                     ReplaceIfDifferent();
                   } else {
                     Retry(ErrorOf(result));
                   }
                 });
}

// Reads the existing entry and replaces it unless its content is equal.
void AgentRegistration::ReplaceIfDifferent() {
  store_->Get(
      kAgentEntryKind, name_, [this](const Result<StoredObject>& result) {
        if (!IsOk(result)) {
          Retry(ErrorOf(result));
          return;
        }
        const uint64_t revision = ValueOf(result).revision;
        const nlohmann::json found =
            nlohmann::json::parse(ValueOf(result).content, nullptr, false);
        if (found == nlohmann::json::parse(content_, nullptr, false)) {
          CompleteWrite(revision);
          return;
        }
        store_->Replace(kAgentEntryKind,
                        StoredObject{name_, revision, content_},
                        [this](const Result<StoredObject>& replaced) {
                          if (IsOk(replaced)) {
                            CompleteWrite(ValueOf(replaced).revision);
                          } else {
                            Retry(ErrorOf(replaced));
                          }
                        });
      });
}

void AgentRegistration::Remove() {
  if (revision_ == 0) {
    CompleteWrite(0);
    return;
  }
  store_->Remove(
      kAgentEntryKind, name_, revision_, [this](const Result<Ok>& result) {
        // A conflict means that another agent at this address has replaced the
        // entry.
        const bool is_entry_removed =
            IsOk(result) || ErrorOf(result).code == ErrorCode::kNotFound ||
            ErrorOf(result).code == ErrorCode::kConflict;
        if (is_entry_removed) {
          CompleteWrite(0);
        } else {
          Retry(ErrorOf(result));
        }
      });
}

void AgentRegistration::CompleteWrite(uint64_t revision) {
  failures_ = 0;
  revision_ = revision;
  is_write_in_progress_ = false;
  // Publish() or Withdraw() may have been called during the write.
  if (should_publish_ != write_publishes_) {
    StartWrite();
    return;
  }
  is_in_sync_ = true;
  Log(LogLevel::kInfo, should_publish_ ? "entry_published" : "entry_withdrawn",
      {{"entry", name_}, {"revision", static_cast<int64_t>(revision)}});
}

void AgentRegistration::Retry(const Error& error) {
  if (failures_ == 0) {
    Log(LogLevel::kWarning, "entry_write_failed",
        {{"entry", name_},
         {"error", ErrorCodeName(error.code)},
         {"message", error.message}});
  }
  const Millis delay = BackoffDelay(kEntryBackoff, failures_, random_());
  ++failures_;
  timer_.expires_after(std::chrono::milliseconds(delay.value));
  timer_.async_wait([this](boost::system::error_code code) {
    if (code) return;
    StartWrite();
  });
}

}  // namespace medlarwinch
