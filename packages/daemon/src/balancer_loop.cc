#include <sodium.h>

#include <algorithm>
#include <utility>

#include "medlarwinch/coordination/balancer_control.h"
#include "medlarwinch/coordination/bootstrap_list.h"
#include "medlarwinch/coordination/monitor_selection.h"
#include "medlarwinch/coordination/platform_schedule.h"
#include "medlarwinch/daemon/control_loop.h"

namespace medlarwinch {
namespace {

constexpr size_t kMaxKeyEpochs = 8;

// Returns the text of a first key ring with a random seed.
std::string MakeFirstKeyRing() {
  EpochSeed seed{};
  randombytes_buf(seed.data(), seed.size());
  return FormatKeyRing(RotateKeyRing(KeyRing{}, seed, kMaxKeyEpochs));
}

class BalancerLoop final : public ControlLoop {
 public:
  BalancerLoop(const MemberEntry& self, const Settings& settings,
               ControlPlaneHooks hooks, ControlOutputs outputs,
               Metrics& metrics, uint64_t seed, TimePoint now)
      : ControlLoop(settings, std::move(hooks), std::move(outputs), metrics,
                    seed),
        state_(StartBalancerControl(self, settings.peers, now)) {}

  void OnTick(TimePoint now) override {
    Take(TickBalancer(std::move(state_), now, random_));
    DueCalls due = DecideCalls(schedule_, IsWatcher(), now);
    schedule_ = due.schedule;
    if (due.read_all) RequestJob(PlatformJobKind::kReadAll);
    if (due.read_periodic) RequestJob(PlatformJobKind::kReadSmall);
    if (due.watch) RequestJob(PlatformJobKind::kWatch);
  }

  void OnMessage(const Endpoint& from, const ControlMessage& message,
                 TimePoint now) override {
    Take(HandleBalancerMessage(std::move(state_), from, message, now, random_));
  }

  void OnFetched(const Endpoint& from, const std::optional<FetchReply>& reply,
                 TimePoint now) override {
    if (!reply.has_value()) return;
    Take(HandleFetchedMembers(std::move(state_), reply->members, now, random_));
    Offer(reply->records, ToString(from), false, now);
  }

  void OnPlatform(const PlatformJobResult& result, TimePoint now) override {
    NotePlatformAnswer(result, now);
    const bool ok = !result.error.has_value();
    Offer(result.records, "platform", true, now);
    switch (result.kind) {
      case PlatformJobKind::kReadAll:
      case PlatformJobKind::kReadSmall:
        schedule_ = RecordReadResult(schedule_,
                                     result.kind == PlatformJobKind::kReadAll,
                                     ok, now, random_);
        if (ok) AfterRead(result);
        break;
      case PlatformJobKind::kWatch:
        schedule_ =
            RecordWatchResult(schedule_, result.revision, ok, now, random_);
        break;
      case PlatformJobKind::kWriteBootstrap:
      case PlatformJobKind::kCreateKeyRing:
        // A lost race is settled by the next read.
        break;
    }
  }

  void OnPhase(MemberPhase phase, TimePoint now) override {
    Take(ChangeBalancerPhase(std::move(state_), phase, now, random_));
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
    for (const auto& [service, known] : state_.means) {
      view.means[service] = known.mean.mean_flows_per_slot;
    }
    for (const auto& [service, mean] : state_.computed_means) {
      view.means[service] = mean;
    }
  }

  std::shared_ptr<const RecordStore> CopyRecords() const override {
    return std::make_shared<const RecordStore>(state_.records);
  }

 private:
  void Take(BalancerStep step) {
    state_ = std::move(step.state);
    Carry(std::move(step.actions));
  }

  void Offer(const std::vector<Record>& records, const std::string& source,
             bool is_from_platform, TimePoint now) {
    if (records.empty()) return;
    std::vector<ParsedRecord> parsed = Parse(records, source, is_from_platform);
    Take(HandleReceivedRecords(std::move(state_), OffersOf(parsed), now,
                               random_));
    UseAccepted(std::move(parsed), state_.records);
  }

  // Ready balancers of the own domain; this one alone while none is ready.
  std::vector<Endpoint> ReadyInDomain() const {
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
        WatchersOf(settings_.failure_domain, ReadyInDomain());
    return std::find(watchers.begin(), watchers.end(), state_.self.id) !=
           watchers.end();
  }

  void AfterRead(const PlatformJobResult& result) {
    const std::vector<Endpoint> present = ParseBootstrapList(result.bootstrap);
    state_ = AddSeeds(std::move(state_), present);
    if (result.lacks_key_ring && IsWatcher()) {
      RequestJob(PlatformJobKind::kCreateKeyRing, MakeFirstKeyRing());
    }
    const std::optional<std::vector<Endpoint>> list =
        DecideBootstrapList(present, settings_.failure_domain, state_.table);
    if (!list.has_value() || !IsWatcher()) return;
    RequestJob(PlatformJobKind::kWriteBootstrap, FormatBootstrapList(*list),
               result.bootstrap_version);
  }

  void RequestJob(PlatformJobKind kind, const std::string& text = "",
                  uint64_t if_version = 0) {
    PlatformJob job;
    job.kind = kind;
    job.failure_domain = settings_.failure_domain;
    job.revision = schedule_.watch_revision;
    job.text = text;
    job.if_version = if_version;
    job.operation = ToString(state_.self.id) + "-" +
                    std::to_string(state_.self.version.boot) + "-" +
                    std::to_string(++operations_);
    outputs_.platform(std::move(job));
  }

  BalancerControl state_;
  PlatformSchedule schedule_;
  uint64_t operations_ = 0;
};

}  // namespace

std::unique_ptr<ControlLoop> MakeBalancerLoop(
    const MemberEntry& self, const Settings& settings, ControlPlaneHooks hooks,
    ControlOutputs outputs, Metrics& metrics, uint64_t seed, TimePoint now) {
  return std::make_unique<BalancerLoop>(self, settings, std::move(hooks),
                                        std::move(outputs), metrics, seed, now);
}

}  // namespace medlarwinch
