#include <sodium.h>

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/control_plane/balancer_control.h"
#include "medlarwinch/coordination/control_plane/bootstrap_list.h"
#include "medlarwinch/coordination/control_plane/monitor_selection.h"
#include "medlarwinch/coordination/control_plane/platform_schedule.h"
#include "medlarwinch/daemon/control_loop.h"

namespace medlarwinch {
namespace {

constexpr size_t kMaxKeyEpochs = 8;

// Returns the text of the initial key ring with a random seed.
std::string MakeInitialKeyRing() {
  EpochSeed seed{};
  randombytes_buf(seed.data(), seed.size());
  return FormatKeyRing(RotateKeyRing(KeyRing{}, seed, kMaxKeyEpochs));
}

class BalancerLoop final : public ControlLoop {
 public:
  BalancerLoop(const MemberEntry& self, const Settings& settings,
               ControlPlaneHooks hooks, ControlLoopOutputs outputs,
               Metrics& metrics, uint64_t seed, TimePoint now)
      : ControlLoop(settings, std::move(hooks), std::move(outputs), metrics,
                    seed),
        state_(StartBalancerControl(self, settings.peers, now)) {}

  void OnTick(TimePoint now) override {
    ApplyStep(TickBalancer(std::move(state_), now, random_));
    DueCalls due = DecideCalls(schedule_, IsWatcher(), now);
    schedule_ = due.schedule;
    if (due.read_all) SubmitPlatformJob(PlatformJobKind::kReadAll);
    if (due.read_periodic)
      SubmitPlatformJob(PlatformJobKind::kReadKeyRingAndBootstrap);
    if (due.watch) SubmitPlatformJob(PlatformJobKind::kWatch);
  }

  void OnMessage(const Endpoint& from, const ControlMessage& message,
                 TimePoint now) override {
    ApplyStep(
        HandleBalancerMessage(std::move(state_), from, message, now, random_));
  }

  void OnFetchReply(const Endpoint& from,
                    const std::optional<FetchReply>& reply,
                    TimePoint now) override {
    if (!reply.has_value()) return;
    ApplyStep(
        HandleFetchedMembers(std::move(state_), reply->members, now, random_));
    ProcessRecords(reply->records, ToString(from), false, now);
  }

  void OnPlatformResult(const PlatformJobResult& result,
                        TimePoint now) override {
    RecordPlatformResult(result, now);
    const bool ok = !result.error.has_value();
    ProcessRecords(result.records, "platform", true, now);
    switch (result.kind) {
      case PlatformJobKind::kReadAll:
      case PlatformJobKind::kReadKeyRingAndBootstrap:
        schedule_ = RecordReadResult(schedule_,
                                     result.kind == PlatformJobKind::kReadAll,
                                     ok, now, random_);
        if (ok) OnPlatformRead(result);
        break;
      case PlatformJobKind::kWatch:
        schedule_ =
            RecordWatchResult(schedule_, result.revision, ok, now, random_);
        break;
      case PlatformJobKind::kWriteBootstrap:
      case PlatformJobKind::kCreateKeyRing:
        // If another balancer wrote first, the next read gets its value.
        break;
    }
  }

  void OnPhaseChange(MemberPhase phase, TimePoint now) override {
    ApplyStep(ChangeBalancerPhase(std::move(state_), phase, now, random_));
  }

 protected:
  void FillView(ControlView& view) const override {
    view.self = state_.self;
    for (const auto& [id, record] : state_.table.members) {
      view.members.emplace_hint(view.members.end(), id, record.entry);
      view.ready_since.emplace_hint(view.ready_since.end(), id,
                                    record.ready_since);
    }
    view.doubtful = state_.doubtful;
    for (const auto& [service, known_mean] : state_.means) {
      view.mean_flows_per_slot[service] = known_mean.mean.mean_flows_per_slot;
    }
    for (const auto& [service, mean] : state_.computed_means) {
      view.mean_flows_per_slot[service] = mean;
    }
  }

  std::shared_ptr<const RecordStore> CopyRecords() const override {
    return std::make_shared<const RecordStore>(state_.records);
  }

 private:
  void ApplyStep(BalancerStep step) {
    state_ = std::move(step.state);
    ExecuteActions(std::move(step.actions));
  }

  void ProcessRecords(const std::vector<Record>& records,
                      const std::string& source, bool is_from_platform,
                      TimePoint now) {
    if (records.empty()) return;
    std::vector<ParsedRecord> parsed =
        ParseRecords(records, source, is_from_platform);
    ApplyStep(HandleReceivedRecords(std::move(state_),
                                    ToReceivedRecords(parsed), now, random_));
    ApplyAcceptedRecords(std::move(parsed), state_.records);
  }

  // Returns the ready balancers of this failure domain, or only this one while
  // none is ready.
  std::vector<Endpoint> ReadyBalancersInDomain() const {
    std::vector<Endpoint> ready;
    for (const Endpoint& id : state_.ready_balancers) {
      const MemberEntry& entry = state_.table.members.at(id).entry;
      if (entry.failure_domain == settings_.failure_domain) ready.push_back(id);
    }
    if (ready.empty()) ready.push_back(state_.self.id);
    return ready;
  }

  bool IsWatcher() const {
    const std::vector<Endpoint> watchers =
        WatchersOf(settings_.failure_domain, ReadyBalancersInDomain());
    return std::find(watchers.begin(), watchers.end(), state_.self.id) !=
           watchers.end();
  }

  void OnPlatformRead(const PlatformJobResult& result) {
    const std::vector<Endpoint> listed =
        ParseBootstrapList(result.bootstrap_list);
    state_ = AddSeeds(std::move(state_), listed);
    if (result.key_ring_missing && IsWatcher()) {
      SubmitPlatformJob(PlatformJobKind::kCreateKeyRing, MakeInitialKeyRing());
    }
    const std::optional<std::vector<Endpoint>> list =
        DecideBootstrapList(listed, settings_.failure_domain, state_.table);
    if (!list.has_value() || !IsWatcher()) return;
    SubmitPlatformJob(PlatformJobKind::kWriteBootstrap,
                      FormatBootstrapList(*list),
                      result.bootstrap_list_version);
  }

  void SubmitPlatformJob(PlatformJobKind kind, const std::string& text = "",
                         uint64_t if_version = 0) {
    PlatformJob job;
    job.kind = kind;
    job.failure_domain = settings_.failure_domain;
    job.revision = schedule_.watch_revision;
    job.text = text;
    job.if_version = if_version;
    job.operation = ToString(state_.self.id) + "-" +
                    std::to_string(state_.self.version.boot) + "-" +
                    std::to_string(++operation_count_);
    outputs_.platform(std::move(job));
  }

  BalancerControl state_;
  PlatformSchedule schedule_;
  uint64_t operation_count_ = 0;
};

}  // namespace

std::unique_ptr<ControlLoop> MakeBalancerLoop(const MemberEntry& self,
                                              const Settings& settings,
                                              ControlPlaneHooks hooks,
                                              ControlLoopOutputs outputs,
                                              Metrics& metrics, uint64_t seed,
                                              TimePoint now) {
  return std::make_unique<BalancerLoop>(self, settings, std::move(hooks),
                                        std::move(outputs), metrics, seed, now);
}

}  // namespace medlarwinch
