// What a balancer reads from the platform's store.
#include <utility>

#include "medlarwinch/node/agent_entry.h"
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Waiting time of a watch. A connection that has gone silent is noticed after
// it. For the configuration that has to be less than the 4 s after which the
// platform counts the VM as undisturbed again.
constexpr Millis kConfigurationWatchWait{3'000};
constexpr Millis kAgentWatchWait{5'000};
// Least time between two confirmations of the list: a loss of many upstreams
// makes many searches end within the same time.
constexpr Millis kConfirmInterval{150};
// Agents that start together with this balancer are taken in together; once it
// has traffic, new agents are wanted without a pause.
constexpr Millis kFirstChangesPause{200};

}  // namespace

void BalancerNode::FollowConfiguration() {
  StoreObserver observer;
  observer.on_listing = [this](const ObjectListing& listing) {
    for (const StoredObject& object : listing.objects) {
      HandleConfiguration(object);
    }
  };
  observer.on_change = [this](const ObjectChange& change) {
    if (!change.is_removed) HandleConfiguration(change.object);
  };
  observer.on_contact = [](bool is_current, const std::string& reason) {
    Log(is_current ? LogLevel::kInfo : LogLevel::kWarning,
        is_current ? "store_regained" : "store_lost",
        {{"watch", "configuration"}, {"reason", reason}});
  };
  configuration_watch_ = std::make_unique<StoreWatch>(
      loop_, ports_.open_store(),
      WatchedKind{ports_.configuration_kind, kConfigurationWatchWait, false},
      relay_.random(), std::move(observer));
  configuration_watch_->Start();
}

void BalancerNode::FollowAgents() {
  StoreObserver observer;
  observer.on_listing = [this](const ObjectListing& listing) {
    HandleAgents(listing);
  };
  observer.on_change = [this](const ObjectChange& change) {
    HandleAgentChange(change);
  };
  observer.on_contact = [](bool is_current, const std::string& reason) {
    Log(is_current ? LogLevel::kInfo : LogLevel::kWarning,
        is_current ? "store_regained" : "store_lost",
        {{"watch", "agents"}, {"reason", reason}});
  };
  observer.pause_after_changes = [this] {
    return last_packet_ == TimePoint{} ? kFirstChangesPause : Millis{0};
  };
  agent_watch_ = std::make_unique<StoreWatch>(
      loop_, ports_.open_store(),
      WatchedKind{kAgentKind, kAgentWatchWait, true}, relay_.random(),
      std::move(observer));
  agent_watch_->Start();
}

void BalancerNode::HandleConfiguration(const StoredObject& object) {
  if (object.name != ports_.configuration_name) return;
  Result<RelayConfiguration> decoded =
      ports_.decode_configuration(object.content);
  if (!IsOk(decoded)) {
    Log(LogLevel::kError, "configuration_refused",
        {{"revision", static_cast<int64_t>(object.revision)},
         {"message", ErrorOf(decoded).message}});
    return;
  }
  RelayConfiguration configuration = TakeValue(std::move(decoded));
  const uint64_t version = configuration.version;
  const size_t routes = configuration.routes.size();
  if (!ApplyConfiguration(relay_.routes, std::move(configuration),
                          object.revision, MonotonicNow())) {
    return;
  }
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", static_cast<int64_t>(version)},
       {"revision", static_cast<int64_t>(object.revision)},
       {"routes", static_cast<int64_t>(routes)}});
}

void BalancerNode::HandleAgents(const ObjectListing& listing) {
  std::vector<DirectoryEntry> entries;
  for (const StoredObject& object : listing.objects) {
    Result<DirectoryEntry> entry = DecodeAgentEntry(object);
    if (!IsOk(entry)) {
      Log(LogLevel::kWarning, "agent_entry_refused",
          {{"message", ErrorOf(entry).message}});
      continue;
    }
    entries.push_back(TakeValue(std::move(entry)));
  }
  const bool is_first = !relay_.directory.is_complete;
  const size_t known = relay_.directory.upstreams.size();
  ApplyListing(relay_.directory, entries, MonotonicNow());
  if (is_first) listed_ = MonotonicNow();
  Log(LogLevel::kInfo, "agents_listed",
      {{"agents", static_cast<int64_t>(entries.size())},
       {"revision", static_cast<int64_t>(listing.revision)}});
  if (is_first || relay_.directory.upstreams.size() > known) PollAgents();
}

// A proof that nobody holds a flow needs a list that is not stale.
void BalancerNode::ConfirmAgents() {
  const TimePoint asked = MonotonicNow();
  if (is_confirming_ || asked - last_confirmation_ < kConfirmInterval) return;
  is_confirming_ = true;
  last_confirmation_ = asked;
  if (confirmation_ == nullptr) confirmation_ = ports_.open_store();
  confirmation_->List(
      kAgentKind, [this, asked](const Result<ObjectListing>& result) {
        is_confirming_ = false;
        if (!IsOk(result)) {
          Log(LogLevel::kWarning, "agents_not_confirmed",
              {{"message", ErrorOf(result).message}});
          return;
        }
        HandleAgents(ValueOf(result));
        RelayActions actions;
        HandleDirectoryRefreshed(relay_, asked, MonotonicNow(), actions);
        Carry(actions, {});
      });
}

void BalancerNode::HandleAgentChange(const ObjectChange& change) {
  if (change.is_removed) {
    const Result<Endpoint> agent = AgentOfEntryName(change.object.name);
    if (!IsOk(agent)) return;
    ApplyRemoval(relay_.directory, ValueOf(agent));
    Log(LogLevel::kInfo, "agent_unlisted",
        {{"agent", change.object.name},
         {"revision", static_cast<int64_t>(change.object.revision)}});
    return;
  }
  const Result<DirectoryEntry> entry = DecodeAgentEntry(change.object);
  if (!IsOk(entry)) {
    Log(LogLevel::kWarning, "agent_entry_refused",
        {{"message", ErrorOf(entry).message}});
    return;
  }
  ApplyEntry(relay_.directory, ValueOf(entry), MonotonicNow());
  Log(LogLevel::kInfo, "agent_listed",
      {{"agent", change.object.name},
       {"failure_domain", ValueOf(entry).failure_domain},
       {"revision", static_cast<int64_t>(change.object.revision)}});
  PollAgent(ValueOf(entry).agent, true);
}

// Only an agent removes its own entry, so that of a lost VM would stay for
// ever. Of several balancers that try, one succeeds; the others find it
// removed.
void BalancerNode::RemoveLostEntry() {
  const TimePoint now = MonotonicNow();
  const std::vector<DirectoryEntry> lost =
      FindLostAgents(relay_.directory, now);
  if (lost.empty()) return;
  const DirectoryEntry& entry = lost[relay_.random() % lost.size()];
  const std::string name = AgentEntryName(entry.agent);
  Log(LogLevel::kWarning, "agent_lost",
      {{"agent", ToString(entry.agent)},
       {"silent_for_ms",
        (now - relay_.directory.upstreams.at(entry.agent).last_contact).value},
       {"revision", static_cast<int64_t>(entry.revision)}});
  if (removal_ == nullptr) removal_ = ports_.open_store();
  removal_->Remove(kAgentKind, name, entry.revision,
                   [name](const Result<Ok>& result) {
                     if (IsOk(result)) return;
                     Log(LogLevel::kWarning, "agent_entry_not_removed",
                         {{"agent", name},
                          {"error", ErrorCodeName(ErrorOf(result).code)},
                          {"message", ErrorOf(result).message}});
                   });
}

}  // namespace medlarwinch
