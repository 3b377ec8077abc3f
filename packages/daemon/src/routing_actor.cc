#include "medlarwinch/daemon/routing_actor.h"

#include <algorithm>
#include <caf/all.hpp>
#include <chrono>
#include <utility>

#include "medlarwinch/coordination/control_plane/monitor_selection.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using TickAtom = caf::atom_constant<caf::atom("rt_tick")>;

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr Millis kFlushInterval{1'000};
// Views arrive in bursts when many members change.
constexpr Millis kMinRebuildInterval{50};
// Limits rebuilding to one percent of a core: tables of 1,200 services with
// 7,200 agents take 8 ms to build and are therefore rebuilt about once a
// second.
constexpr int64_t kRebuildIntervalFactor = 100;

struct RoutingState {
  RoutingActorContext context;
  std::shared_ptr<const ControlView> view;
  std::shared_ptr<const RoutingTables> tables =
      std::make_shared<RoutingTables>();
  bool has_new_view = false;
  TimePoint last_rebuild{0};
  Millis rebuild_interval = kMinRebuildInterval;
  TimePoint last_flush{0};
  TimePoint next_timed_change{-1};
};

std::vector<RoutedDocument> MakeRoutedDocuments(const ControlView& view) {
  std::vector<RoutedDocument> documents;
  for (const auto& [service, versioned] : view.documents) {
    documents.push_back(RoutedDocument{versioned.version, &versioned.document});
  }
  return documents;
}

// Returns true if this balancer is one of those that monitor the service. Every
// balancer makes the same table changes, and one entry from each of thousands
// of balancers would exceed the platform's write rate, so only these record
// them.
bool ShouldRecordChangesOf(const std::string& service,
                           const ControlView& view) {
  std::vector<Endpoint> ready_balancers;
  for (const auto& [id, member] : view.members) {
    const bool is_ready = member.kind == MemberKind::kBalancer &&
                          member.version.phase == MemberPhase::kReady;
    if (is_ready) ready_balancers.push_back(id);
  }
  MemberEntry agent;
  agent.kind = MemberKind::kAgent;
  agent.service = service;
  return IsMonitorOf(view.self.id, agent, ready_balancers);
}

void ReportChange(const RoutingActorContext& context, const ControlView& view,
                  const TableChange& change) {
  const Reason& reason = change.reason;
  const auto before = reason.facts.find("before");
  Log(LogLevel::kInfo, change.action,
      {{"service", change.service},
       {"subject", change.subject},
       {"rule", reason.rule},
       {"document_version", static_cast<int64_t>(reason.document_version)},
       {"path", reason.path},
       {"before", before != reason.facts.end() ? before->second : ""}});
  if (!context.record_account_entry ||
      !ShouldRecordChangesOf(change.service, view))
    return;
  AccountEntry entry;
  entry.action = change.action;
  entry.service = change.service;
  entry.subject = change.subject;
  entry.reason = reason;
  context.record_account_entry(std::move(entry));
}

void UpdateGauges(const RoutingState& state) {
  Metrics& metrics = *state.context.metrics;
  for (const ServiceTable& table : state.tables->services) {
    double accepting = 0;
    for (const TableUpstream& upstream : table.upstreams) {
      if (upstream.weights.accepting > 0) ++accepting;
    }
    const MetricLabels labels{{"service", table.service}};
    metrics.Set("medlarwinch_accepting_upstreams", labels, accepting);
    metrics.Set("medlarwinch_doubtful_upstreams", labels,
                static_cast<double>(table.doubtful.size()));
  }
}

void RebuildTables(RoutingState& state, TimePoint now) {
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const ControlView& view = *state.view;
  const RoutingInput input{view.members, view.doubtful, view.ready_since,
                           MakeRoutedDocuments(view), view.mean_flows_per_slot};
  RoutingUpdate update = BuildRoutingTables(input, *state.tables, now);
  for (const TableChange& change : update.changes) {
    ReportChange(state.context, view, change);
  }
  state.tables = std::make_shared<RoutingTables>(std::move(update.tables));
  state.next_timed_change = update.next_change;
  state.last_rebuild = now;
  state.has_new_view = false;
  state.context.data_path->Publish(state.tables, view.keys);
  UpdateGauges(state);
  const std::chrono::milliseconds min_interval =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          (std::chrono::steady_clock::now() - start) * kRebuildIntervalFactor);
  state.rebuild_interval =
      std::max(kMinRebuildInterval, Millis{min_interval.count()});
}

bool IsRebuildDue(const RoutingState& state, TimePoint now) {
  if (state.view == nullptr || state.view->keys == nullptr) return false;
  if (now - state.last_rebuild < state.rebuild_interval) return false;
  return state.has_new_view ||
         (state.next_timed_change.value >= 0 && now >= state.next_timed_change);
}

void Tick(RoutingState& state) {
  const TimePoint now = MonotonicNow();
  if (IsRebuildDue(state, now)) RebuildTables(state, now);
  if (now - state.last_flush < kFlushInterval) return;
  state.last_flush = now;
  state.context.data_path->FlushCounters(*state.context.metrics);
}

caf::behavior RoutingBehavior(caf::stateful_actor<RoutingState>* self,
                              const RoutingActorContext& context) {
  self->state.context = context;
  self->delayed_send(self, kTickInterval, TickAtom::value);
  return {
      [self](const ViewMessage& message) {
        RoutingState& state = self->state;
        if (state.view != nullptr &&
            message.view->sequence <= state.view->sequence) {
          return;
        }
        state.view = message.view;
        state.has_new_view = true;
        const TimePoint now = MonotonicNow();
        if (IsRebuildDue(state, now)) RebuildTables(state, now);
      },
      [self](TickAtom) {
        Tick(self->state);
        self->delayed_send(self, kTickInterval, TickAtom::value);
      },
  };
}

}  // namespace

caf::actor SpawnRoutingActor(caf::actor_system& system,
                             RoutingActorContext context) {
  return system.spawn(RoutingBehavior, std::move(context));
}

}  // namespace medlarwinch
