#include <utility>

#include "medlarwinch/coordination/control_plane/agent_control.h"
#include "medlarwinch/coordination/control_plane/bootstrap_list.h"
#include "medlarwinch/coordination/control_plane/platform_schedule.h"
#include "medlarwinch/daemon/control_loop.h"

namespace medlarwinch {
namespace {

class AgentLoop final : public ControlLoop {
 public:
  AgentLoop(const MemberEntry& self, const Settings& settings,
            ControlPlaneHooks hooks, ControlLoopOutputs outputs,
            Metrics& metrics, uint64_t seed)
      : ControlLoop(settings, std::move(hooks), std::move(outputs), metrics,
                    seed),
        state_(StartAgentControl(self, settings.peers)) {}

  void OnTick(TimePoint now) override {
    ApplyStep(TickAgent(std::move(state_), CurrentLoad(), now, random_));
    // Agents outnumber balancers, so they read from the platform only if no
    // balancer responds.
    if (!HasLostMonitors(state_, now) || state_.heartbeat_sequence == 0) return;
    schedule_.has_read_all = true;
    const DueCalls due = DecideCalls(schedule_, true, now);
    if (!due.read_periodic) return;
    schedule_.is_reading = true;
    PlatformJob job;
    job.kind = PlatformJobKind::kReadKeyRingAndBootstrap;
    job.failure_domain = settings_.failure_domain;
    outputs_.platform(std::move(job));
  }

  void OnMessage(const Endpoint& from, const ControlMessage& message,
                 TimePoint now) override {
    ApplyStep(HandleAgentMessage(std::move(state_), from, message,
                                 CurrentLoad(), now));
  }

  void OnFetchReply(const Endpoint& from,
                    const std::optional<FetchReply>& reply,
                    TimePoint /*now*/) override {
    const FetchReply received = reply.value_or(FetchReply{});
    ProcessRecords(received.records, ToString(from));
    ApplyStep(HandleAgentRoster(std::move(state_), received.roster));
  }

  void OnPlatformResult(const PlatformJobResult& result,
                        TimePoint now) override {
    RecordPlatformResult(result, now);
    schedule_ = RecordReadResult(schedule_, true, !result.error.has_value(),
                                 now, random_);
    state_ = AddAgentSeeds(std::move(state_),
                           ParseBootstrapList(result.bootstrap_list));
    ProcessRecords(result.records, "platform");
  }

  void OnPhaseChange(MemberPhase phase, TimePoint now) override {
    ApplyStep(ChangeAgentPhase(std::move(state_), phase, CurrentLoad(), now));
  }

 protected:
  void FillView(ControlView& view) const override {
    view.self = state_.self;
    view.roster = state_.roster;
    if (state_.mean_flows_per_slot >= 0) {
      view.mean_flows_per_slot[state_.self.service] =
          state_.mean_flows_per_slot;
    }
  }

  std::shared_ptr<const RecordStore> CopyRecords() const override {
    return std::make_shared<const RecordStore>(state_.records);
  }

 private:
  void ApplyStep(AgentStep step) {
    state_ = std::move(step.state);
    ExecuteActions(std::move(step.actions));
  }

  void ProcessRecords(const std::vector<Record>& records,
                      const std::string& source) {
    std::vector<ParsedRecord> parsed = ParseRecords(records, source, false);
    ApplyStep(HandleAgentRecords(std::move(state_), ToReceivedRecords(parsed)));
    ApplyAcceptedRecords(std::move(parsed), state_.records);
  }

  AgentControl state_;
  PlatformSchedule schedule_;
};

}  // namespace

std::unique_ptr<ControlLoop> MakeAgentLoop(const MemberEntry& self,
                                           const Settings& settings,
                                           ControlPlaneHooks hooks,
                                           ControlLoopOutputs outputs,
                                           Metrics& metrics, uint64_t seed) {
  return std::make_unique<AgentLoop>(self, settings, std::move(hooks),
                                     std::move(outputs), metrics, seed);
}

}  // namespace medlarwinch
