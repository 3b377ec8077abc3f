// How a balancer learns which failure domains are evacuated: from the store,
// and from the views that agents pass on between balancers.
#include <set>
#include <string>
#include <utility>

#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/coordination/shared/store_watch_policy.h"
#include "medlarwinch/node/balancer_node.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Returns the evacuated domains in which no upstream is known, separated by
// spaces: most likely a name was mistyped.
std::string UnknownDomains(const UpstreamDirectory& directory) {
  EvacuationView unknown = directory.evacuations;
  std::set<std::string> used;
  for (const auto& [agent, upstream] : directory.upstreams) {
    used.insert(upstream.entry.failure_domain);
  }
  std::erase_if(unknown.failure_domains,
                [&](const std::string& name) { return used.count(name) != 0; });
  return FormatEvacuations(unknown);
}

}  // namespace

void BalancerNode::WatchEvacuations() {
  if (!settings_.features.evacuations) return;
  StoreObserver observer;
  observer.on_listing = [this](const ObjectListing& listing) {
    ObserveStoreEra(listing.revision.era);
    stored_evacuations_.clear();
    for (const StoredObject& object : listing.objects) {
      stored_evacuations_.insert(object.name);
    }
    HandleStoredEvacuations(listing.revision);
  };
  observer.on_change = [this](const ObjectChange& change) {
    if (change.is_removed) {
      stored_evacuations_.erase(change.object.name);
    } else {
      stored_evacuations_.insert(change.object.name);
    }
    HandleStoredEvacuations(evacuation_watch_->position());
  };
  observer.on_connection_change = [](bool is_connected,
                                     const std::string& reason) {
    Log(is_connected ? LogLevel::kInfo : LogLevel::kWarning,
        is_connected ? "store_regained" : "store_lost",
        {{"watch", "evacuations"}, {"reason", reason}});
  };
  observer.wait = [this] { return NextSharedWatchWait(); };
  observer.coalescing_delay = [] { return kConfigurationCoalescingDelay; };
  evacuation_watch_ = std::make_unique<StoreWatch>(
      loop_, platform_.open_store(),
      WatchOptions{platform_.evacuation_kind, kMinSharedWatchWait, false},
      relay_.random(), std::move(observer));
  evacuation_watch_->Start();
}

void BalancerNode::HandleStoredEvacuations(const StoreRevision& revision) {
  const EvacuationView view = MakeEvacuationView(stored_evacuations_, revision);
  if (view.failure_domains.size() < stored_evacuations_.size()) {
    Log(LogLevel::kError, "evacuation_refused",
        {{"objects", static_cast<int64_t>(stored_evacuations_.size())},
         {"in_force", static_cast<int64_t>(view.failure_domains.size())},
         {"max_objects", static_cast<int64_t>(kMaxEvacuatedDomains)},
         {"max_name_bytes", static_cast<int64_t>(kMaxFailureDomainBytes)}});
  }
  UpdateEvacuations(view, "store");
}

void BalancerNode::UpdateEvacuations(const EvacuationView& view,
                                     const std::string& source) {
  if (!settings_.features.evacuations) return;
  const bool was_known = relay_.directory.evacuations.is_known;
  if (!MergeEvacuations(relay_.directory.evacuations, view)) return;
  Log(LogLevel::kInfo, "evacuations_in_force",
      {{"failure_domains", FormatEvacuations(view)},
       {"without_upstreams", UnknownDomains(relay_.directory)},
       {"revision", static_cast<int64_t>(view.revision.number)},
       {"era", static_cast<int64_t>(view.revision.era)},
       {"source", source}});
  // Agents that know no view admit no openings.
  if (!was_known) PollAgents();
}

}  // namespace medlarwinch
