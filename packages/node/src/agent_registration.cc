#include "medlarwinch/node/agent_registration.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/coordination/shared/platform_calls.h"
#include "medlarwinch/transport/bounded_json.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr BackoffPolicy kEntryBackoff{Millis{80}, Millis{1'000}};
// Minimum time between two rewrites of an entry that balancers report missing.
constexpr Millis kMinRepublishInterval{2'000};
// Balancers learn of a removal within this time unless the store has lost it.
constexpr Millis kRemovalPropagationTime{2'000};

Error InvalidEntry(const StoredObject& object, const std::string& reason) {
  return Error{ErrorCode::kInvalidInput,
               "agent entry '" + object.name + "': " + reason};
}

// Compares decoded contents, since the store may format them differently.
// Content that can't be decoded is equal to none.
bool IsSameEntry(const std::string& a, const std::string& b) {
  const nlohmann::json decoded = ParseBoundedJson(a);
  return !decoded.is_discarded() && decoded == ParseBoundedJson(b);
}

}  // namespace

std::string AgentEntryName(const Endpoint& agent) {
  std::string name = ToString(agent);
  std::replace(name.begin(), name.end(), ':', '-');
  return name;
}

Result<Endpoint> ParseAgentEntryName(const std::string& name) {
  std::string address = name;
  std::replace(address.begin(), address.end(), '-', ':');
  Result<Endpoint> agent = ParseEndpoint(address);
  if (IsOk(agent) && AgentEntryName(ValueOf(agent)) != name) {
    return Error{ErrorCode::kInvalidInput,
                 "'" + name + "' is not the name of an agent entry"};
  }
  return agent;
}

std::string EncodeAgentEntry(const DirectoryEntry& entry,
                             const std::string& service) {
  const nlohmann::json content = {{"relay", ToString(entry.agent)},
                                  {"upstream_service", service},
                                  {"failure_domain", entry.failure_domain}};
  return content.dump();
}

Result<DirectoryEntry> DecodeAgentEntry(const StoredObject& object) {
  const nlohmann::json content = ParseBoundedJson(object.content);
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

void AgentRegistration::WithdrawEarlierEntry() {
  has_reappeared_ = true;
  Withdraw();
}

void AgentRegistration::RecordPoll(const Endpoint& balancer, bool is_listed,
                                   TimePoint now) {
  last_poll_at_ = now;
  if (!is_in_sync_ || is_listed == should_publish_) return;
  if (should_publish_) {
    RepublishMissingEntry(balancer, now);
  } else {
    RemoveReappearedEntry(balancer, now);
  }
}

void AgentRegistration::RepublishMissingEntry(const Endpoint& balancer,
                                              TimePoint now) {
  if (now - last_check_at_ < kMinRepublishInterval) return;
  last_check_at_ = now;
  Log(LogLevel::kWarning, "entry_missed", {{"balancer", ToString(balancer)}});
  Publish();
}

void AgentRegistration::RemoveReappearedEntry(const Endpoint& balancer,
                                              TimePoint now) {
  if (!is_removed_) return;
  if (reappeared_at_ == TimePoint{}) reappeared_at_ = now;
  if (now - reappeared_at_ < kRemovalPropagationTime) return;
  Log(LogLevel::kWarning, "entry_reappeared",
      {{"balancer", ToString(balancer)}});
  has_reappeared_ = true;
  Withdraw();
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
  reappeared_at_ = TimePoint{};
  write_publishes_ = should_publish_;
  if (should_publish_) {
    Create();
  } else {
    Remove();
  }
}

void AgentRegistration::Create() {
  store_->Create(kAgentEntryKind, StoredObject{name_, {}, content_},
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
  store_->Get(kAgentEntryKind, name_,
              [this](const Result<StoredObject>& result) {
                if (!IsOk(result)) {
                  Retry(ErrorOf(result));
                  return;
                }
                const StoreRevision revision = ValueOf(result).revision;
                if (IsSameEntry(ValueOf(result).content, content_)) {
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

// Reads the entry first: the store may have been restored since the last write,
// and its number may now belong to the entry of another agent.
void AgentRegistration::Remove() {
  if (revision_.number == 0 && !has_reappeared_) {
    CompleteWrite({});
    return;
  }
  is_removed_ = true;
  store_->Get(
      kAgentEntryKind, name_, [this](const Result<StoredObject>& result) {
        if (!IsOk(result) && ErrorOf(result).code != ErrorCode::kNotFound) {
          Retry(ErrorOf(result));
          return;
        }
        if (!IsOk(result) || !IsOwnEntry(ValueOf(result))) {
          CompleteWrite({});
          return;
        }
        store_->Remove(kAgentEntryKind, name_, ValueOf(result).revision,
                       [this](const Result<Ok>& removed) {
                         if (IsOk(removed) ||
                             ErrorOf(removed).code == ErrorCode::kNotFound) {
                           CompleteWrite({});
                         } else {
                           Retry(ErrorOf(removed));
                         }
                       });
      });
}

// Within an era of the store, an entry with another revision was written by
// another agent at this address.
bool AgentRegistration::IsOwnEntry(const StoredObject& found) const {
  const bool is_replaced = revision_.number != 0 &&
                           found.revision.era == revision_.era &&
                           found.revision.number != revision_.number;
  return !is_replaced && IsSameEntry(found.content, content_);
}

void AgentRegistration::CompleteWrite(const StoreRevision& revision) {
  failures_ = 0;
  revision_ = revision;
  is_write_in_progress_ = false;
  has_reappeared_ = false;
  if (write_publishes_) is_removed_ = false;
  // Publish() or Withdraw() may have been called during the write.
  if (should_publish_ != write_publishes_) {
    StartWrite();
    return;
  }
  is_in_sync_ = true;
  Log(LogLevel::kInfo, should_publish_ ? "entry_published" : "entry_withdrawn",
      {{"entry", name_}, {"revision", static_cast<int64_t>(revision.number)}});
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
