// The calls of a balancer to the platform's metadata store.
#include <utility>

#include "medlarwinch/coordination/packet_path/balancer_search.h"
#include "medlarwinch/coordination/packet_path/placement_limits.h"
#include "medlarwinch/coordination/shared/store_watch_policy.h"
#include "medlarwinch/node/agent_registration.h"
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Long-poll time of the watch of the agents. A silent connection is detected
// only after it.
constexpr Millis kAgentWatchWait{5'000};
// Minimum time between two confirmations of the agent list. When many upstreams
// are lost, many owner searches end at the same time.
constexpr Millis kMinConfirmInterval{150};

}  // namespace

void BalancerNode::WatchConfiguration() {
  StoreObserver observer;
  observer.on_listing = [this](const ObjectListing& listing) {
    ObserveStoreEra(listing.revision.era);
    for (const StoredObject& object : listing.objects) {
      HandleConfiguration(object);
    }
  };
  observer.on_change = [this](const ObjectChange& change) {
    if (!change.is_removed) HandleConfiguration(change.object);
  };
  observer.on_connection_change = [](bool is_connected,
                                     const std::string& reason) {
    Log(is_connected ? LogLevel::kInfo : LogLevel::kWarning,
        is_connected ? "store_regained" : "store_lost",
        {{"watch", "configuration"}, {"reason", reason}});
  };
  observer.wait = [this] { return NextSharedWatchWait(); };
  observer.coalescing_delay = [] { return kConfigurationCoalescingDelay; };
  configuration_watch_ = std::make_unique<StoreWatch>(
      loop_, platform_.open_store(),
      WatchOptions{platform_.configuration_kind, kMinSharedWatchWait, false},
      relay_.random(), std::move(observer));
  configuration_watch_->Start();
}

Millis BalancerNode::NextSharedWatchWait() {
  return SharedWatchWait(relay_.directory.reported_balancers, relay_.random());
}

void BalancerNode::WatchAgents() {
  StoreObserver observer;
  observer.on_listing = [this](const ObjectListing& listing) {
    ObserveStoreEra(listing.revision.era);
    HandleAgentListing(listing);
  };
  observer.on_change = [this](const ObjectChange& change) {
    HandleAgentChange(change);
  };
  observer.on_connection_change = [](bool is_connected,
                                     const std::string& reason) {
    Log(is_connected ? LogLevel::kInfo : LogLevel::kWarning,
        is_connected ? "store_regained" : "store_lost",
        {{"watch", "agents"}, {"reason", reason}});
  };
  observer.coalescing_delay = [this] {
    return AgentListCoalescingDelay(relay_.directory.upstreams.size(),
                                    last_packet_at_ != TimePoint{});
  };
  agent_watch_ = std::make_unique<StoreWatch>(
      loop_, platform_.open_store(),
      WatchOptions{kAgentEntryKind, kAgentWatchWait, true}, relay_.random(),
      std::move(observer));
  agent_watch_->Start();
}

// The first call that reaches a restored store lets every watch continue in the
// new era: a watch that still waits at a revision of the old one misses changes
// that get lower numbers.
void BalancerNode::ObserveStoreEra(uint64_t era) {
  if (era <= store_era_) return;
  if (store_era_ != 0) {
    Log(LogLevel::kWarning, "store_restored",
        {{"era", static_cast<int64_t>(era)},
         {"before", static_cast<int64_t>(store_era_)}});
  }
  store_era_ = era;
  ReconnectOutdatedWatch(configuration_watch_.get());
  ReconnectOutdatedWatch(agent_watch_.get());
  ReconnectOutdatedWatch(evacuation_watch_.get());
}

void BalancerNode::ReconnectOutdatedWatch(StoreWatch* watch) {
  if (watch == nullptr || watch->position().number == 0) return;
  if (watch->position().era >= store_era_) return;
  watch->Reconnect(platform_.open_store());
}

void BalancerNode::HandleConfiguration(const StoredObject& object) {
  if (object.name != platform_.configuration_name) return;
  Result<RelayConfiguration> decoded =
      platform_.decode_configuration(object.content);
  if (!IsOk(decoded)) {
    Log(LogLevel::kError, "configuration_refused",
        {{"revision", static_cast<int64_t>(object.revision.number)},
         {"message", ErrorOf(decoded).message}});
    return;
  }
  RelayConfiguration configuration = TakeValue(std::move(decoded));
  const uint64_t version = configuration.version;
  const size_t routes = configuration.routes.size();
  if (!ApplyConfiguration(relay_.routes, std::move(configuration),
                          object.revision, MonotonicNow())) {
    const uint64_t active_version = relay_.routes.configuration.version;
    if (version == active_version) return;
    Log(LogLevel::kWarning, "configuration_outdated",
        {{"version", static_cast<int64_t>(version)},
         {"revision", static_cast<int64_t>(object.revision.number)},
         {"era", static_cast<int64_t>(object.revision.era)},
         {"in_force", static_cast<int64_t>(active_version)}});
    return;
  }
  relay_.directory.services_with_cold_limit =
      ServicesWithColdLimit(relay_.routes.configuration);
  has_upload_route_ = HasUploadRoute(relay_.routes.configuration);
  Log(LogLevel::kInfo, "configuration_in_force",
      {{"version", static_cast<int64_t>(version)},
       {"revision", static_cast<int64_t>(object.revision.number)},
       {"era", static_cast<int64_t>(object.revision.era)},
       {"routes", static_cast<int64_t>(routes)},
       {"paces_uploads", PacesUploads() ? "true" : "false"}});
}

void BalancerNode::HandleAgentListing(const ObjectListing& listing) {
  std::vector<DirectoryEntry> entries;
  std::vector<std::pair<const StoredObject*, Error>> refused;
  std::set<std::string> refused_names;
  for (const StoredObject& object : listing.objects) {
    Result<DirectoryEntry> entry = DecodeAgentEntry(object);
    if (!IsOk(entry)) {
      refused.emplace_back(&object, ErrorOf(entry));
      refused_names.insert(object.name);
      continue;
    }
    entries.push_back(TakeValue(std::move(entry)));
  }
  const bool is_first = !relay_.directory.is_complete;
  const size_t known_count = relay_.directory.upstreams.size();
  ApplyListing(relay_.directory, entries, listing.revision, MonotonicNow());
  std::erase_if(refused_entries_, [&](const auto& known) {
    return refused_names.count(known.first) == 0;
  });
  for (const auto& [object, error] : refused)
    HandleRefusedEntry(*object, error);
  if (is_first) first_listing_at_ = MonotonicNow();
  Log(LogLevel::kInfo, "agents_listed",
      {{"agents", static_cast<int64_t>(entries.size())},
       {"revision", static_cast<int64_t>(listing.revision.number)},
       {"era", static_cast<int64_t>(listing.revision.era)}});
  if (is_first || relay_.directory.upstreams.size() > known_count) PollAgents();
}

// To prove that no agent holds a flow, the agent list must not be stale.
void BalancerNode::ConfirmAgents() {
  const TimePoint requested_at = MonotonicNow();
  if (is_confirming_ ||
      requested_at - last_confirmation_at_ < kMinConfirmInterval)
    return;
  is_confirming_ = true;
  last_confirmation_at_ = requested_at;
  if (confirmation_store_ == nullptr)
    confirmation_store_ = platform_.open_store();
  confirmation_store_->List(
      kAgentEntryKind, false,
      [this, requested_at](const Result<ObjectListing>& result) {
        is_confirming_ = false;
        if (!IsOk(result)) {
          Log(LogLevel::kWarning, "agents_not_confirmed",
              {{"message", ErrorOf(result).message}});
          return;
        }
        const StoreRevision& listed_at = ValueOf(result).revision;
        ObserveStoreEra(listed_at.era);
        if (listed_at.era < store_era_) return;
        HandleAgentListing(ValueOf(result));
        RelayActions actions;
        HandleDirectoryRefreshed(relay_, requested_at, MonotonicNow(), actions);
        ExecuteActions(actions, {});
      });
}

// Handles each revision once, since the list is read again for many searches.
void BalancerNode::HandleRefusedEntry(const StoredObject& object,
                                      const Error& error) {
  const auto [handled, is_new] =
      refused_entries_.try_emplace(object.name, object.revision);
  if (!is_new && handled->second == object.revision) return;
  handled->second = object.revision;
  Log(LogLevel::kWarning, "agent_entry_refused",
      {{"message", error.message},
       {"revision", static_cast<int64_t>(object.revision.number)}});
  const Result<Endpoint> agent = ParseAgentEntryName(object.name);
  if (!IsOk(agent)) return;
  ApplyUndecodableEntry(relay_.directory, ValueOf(agent), object.revision,
                        MonotonicNow());
}

void BalancerNode::HandleAgentChange(const ObjectChange& change) {
  if (change.is_removed) {
    refused_entries_.erase(change.object.name);
    const Result<Endpoint> agent = ParseAgentEntryName(change.object.name);
    if (!IsOk(agent)) return;
    ApplyRemoval(relay_.directory, ValueOf(agent), change.object.revision);
    Log(LogLevel::kInfo, "agent_unlisted",
        {{"agent", change.object.name},
         {"revision", static_cast<int64_t>(change.object.revision.number)}});
    return;
  }
  const Result<DirectoryEntry> entry = DecodeAgentEntry(change.object);
  if (!IsOk(entry)) {
    HandleRefusedEntry(change.object, ErrorOf(entry));
    return;
  }
  refused_entries_.erase(change.object.name);
  ApplyEntry(relay_.directory, ValueOf(entry), MonotonicNow());
  Log(LogLevel::kInfo, "agent_listed",
      {{"agent", change.object.name},
       {"failure_domain", ValueOf(entry).failure_domain},
       {"revision", static_cast<int64_t>(change.object.revision.number)}});
  PollAgent(ValueOf(entry).agent, true);
}

// An agent removes its own entry, so the entry of a lost VM would never be
// deleted. If several balancers try, one succeeds and the others find the entry
// already removed.
void BalancerNode::RemoveLostAgentEntry() {
  const TimePoint now = MonotonicNow();
  const std::vector<DirectoryEntry> lost_agents =
      FindLostAgents(relay_.directory, now);
  if (lost_agents.empty()) return;
  const DirectoryEntry& entry =
      lost_agents[relay_.random() % lost_agents.size()];
  const std::string name = AgentEntryName(entry.agent);
  Log(LogLevel::kWarning, "agent_lost",
      {{"agent", ToString(entry.agent)},
       {"silent_for_ms",
        (now - relay_.directory.upstreams.at(entry.agent).last_contact).value},
       {"revision", static_cast<int64_t>(entry.revision.number)}});
  if (removal_store_ == nullptr) removal_store_ = platform_.open_store();
  const auto log_failure = [name](const Error& error) {
    Log(LogLevel::kWarning, "agent_entry_not_removed",
        {{"agent", name},
         {"error", ErrorCodeName(error.code)},
         {"message", error.message}});
  };
  // Reads the entry first, since the store may have been restored and its
  // revision number may now belong to the entry of another agent.
  removal_store_->Get(
      kAgentEntryKind, name,
      [this, name, revision = entry.revision,
       log_failure](const Result<StoredObject>& found) {
        if (!IsOk(found)) return log_failure(ErrorOf(found));
        if (ValueOf(found).revision != revision) {
          return log_failure(Error{ErrorCode::kConflict, "entry was written"});
        }
        removal_store_->Remove(kAgentEntryKind, name, revision,
                               [log_failure](const Result<Ok>& result) {
                                 if (!IsOk(result))
                                   log_failure(ErrorOf(result));
                               });
      });
}

}  // namespace medlarwinch
