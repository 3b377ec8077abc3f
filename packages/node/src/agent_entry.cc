#include "medlarwinch/node/agent_entry.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/coordination/platform_calls.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

constexpr BackoffPolicy kEntryBackoff{Millis{80}, Millis{1'000}};
// Least time between two repairs of an entry that balancers miss.
constexpr Millis kRepublishInterval{2'000};

Error BadEntry(const StoredObject& object, const std::string& reason) {
  return Error{ErrorCode::kInvalidInput,
               "agent entry '" + object.name + "': " + reason};
}

}  // namespace

std::string AgentEntryName(const Endpoint& agent) {
  std::string name = ToString(agent);
  std::replace(name.begin(), name.end(), ':', '-');
  return name;
}

Result<Endpoint> AgentOfEntryName(std::string name) {
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
  if (!content.is_object()) return BadEntry(object, "not a JSON object");
  const auto text = [&](const char* key) -> std::string {
    const auto found = content.find(key);
    if (found == content.end() || !found->is_string()) return "";
    return found->get<std::string>();
  };
  const Result<Endpoint> agent = ParseEndpoint(text("relay"));
  if (!IsOk(agent)) return BadEntry(object, ErrorOf(agent).message);
  if (AgentEntryName(ValueOf(agent)) != object.name) {
    return BadEntry(object, "names another address");
  }
  const std::string service = text("upstream_service");
  if (service.empty()) return BadEntry(object, "names no service");
  return DirectoryEntry{ValueOf(agent), MakeServiceId(service),
                        text("failure_domain"), object.revision};
}

AgentEntry::AgentEntry(boost::asio::io_context& loop,
                       std::unique_ptr<StoreConnection> store, std::string name,
                       std::string content, uint64_t seed)
    : store_(std::move(store)),
      timer_(loop),
      name_(std::move(name)),
      content_(std::move(content)),
      random_(seed) {}

void AgentEntry::Publish() {
  is_wanted_ = true;
  if (is_busy_) return;
  Step();
}

void AgentEntry::Withdraw() {
  is_wanted_ = false;
  if (is_busy_) return;
  Step();
}

void AgentEntry::NotePoll(const Endpoint& balancer, bool is_listed,
                          TimePoint now) {
  polled_ = now;
  if (is_listed || !is_published()) return;
  if (now - checked_ < kRepublishInterval) return;
  checked_ = now;
  Log(LogLevel::kWarning, "entry_missed", {{"balancer", ToString(balancer)}});
  Publish();
}

void AgentEntry::Review(TimePoint now) {
  if (polled_ == TimePoint{}) polled_ = now;
  if (!is_published() || now - std::max(polled_, checked_) < kUnpolledCheck) {
    return;
  }
  checked_ = now;
  Log(LogLevel::kWarning, "entry_checked",
      {{"entry", name_}, {"unpolled_ms", (now - polled_).value}});
  Publish();
}

void AgentEntry::Step() {
  is_busy_ = true;
  is_settled_ = false;
  pending_wish_ = is_wanted_;
  if (is_wanted_) {
    Create();
  } else {
    Remove();
  }
}

void AgentEntry::Create() {
  store_->Create(kAgentKind, StoredObject{name_, 0, content_},
                 [this](const Result<StoredObject>& result) {
                   if (IsOk(result)) {
                     Settle(ValueOf(result).revision);
                   } else if (ErrorOf(result).code == ErrorCode::kConflict) {
                     Correct();
                   } else {
                     Retry(ErrorOf(result));
                   }
                 });
}

// Compares the entry that exists with the wanted one.
void AgentEntry::Correct() {
  store_->Get(kAgentKind, name_, [this](const Result<StoredObject>& result) {
    if (!IsOk(result)) {
      Retry(ErrorOf(result));
      return;
    }
    const uint64_t revision = ValueOf(result).revision;
    const nlohmann::json found =
        nlohmann::json::parse(ValueOf(result).content, nullptr, false);
    if (found == nlohmann::json::parse(content_, nullptr, false)) {
      Settle(revision);
      return;
    }
    store_->Replace(kAgentKind, StoredObject{name_, revision, content_},
                    [this](const Result<StoredObject>& replaced) {
                      if (IsOk(replaced)) {
                        Settle(ValueOf(replaced).revision);
                      } else {
                        Retry(ErrorOf(replaced));
                      }
                    });
  });
}

void AgentEntry::Remove() {
  if (revision_ == 0) {
    Settle(0);
    return;
  }
  store_->Remove(
      kAgentKind, name_, revision_, [this](const Result<Ok>& result) {
        // With a conflict another agent at this address has taken the entry
        // over.
        const bool is_gone = IsOk(result) ||
                             ErrorOf(result).code == ErrorCode::kNotFound ||
                             ErrorOf(result).code == ErrorCode::kConflict;
        if (is_gone) {
          Settle(0);
        } else {
          Retry(ErrorOf(result));
        }
      });
}

void AgentEntry::Settle(uint64_t revision) {
  failures_ = 0;
  revision_ = revision;
  is_busy_ = false;
  // The wish may have changed while the call was in progress.
  if (is_wanted_ != pending_wish_) {
    Step();
    return;
  }
  is_settled_ = true;
  Log(LogLevel::kInfo, is_wanted_ ? "entry_published" : "entry_withdrawn",
      {{"entry", name_}, {"revision", static_cast<int64_t>(revision)}});
}

void AgentEntry::Retry(const Error& error) {
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
    Step();
  });
}

}  // namespace medlarwinch
