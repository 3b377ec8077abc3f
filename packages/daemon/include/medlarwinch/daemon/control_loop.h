#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_actions.h"
#include "medlarwinch/coordination/control_plane/record_store.h"
#include "medlarwinch/coordination/shared/random.h"
#include "medlarwinch/daemon/control_plane.h"
#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/daemon/platform_worker.h"
#include "medlarwinch/daemon/record_parser.h"
#include "medlarwinch/daemon/settings.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Data that other daemons may fetch from this one.
struct FetchSnapshot {
  std::shared_ptr<const ControlView> view;
  std::shared_ptr<const RecordStore> records;
};

/// Functions through which a control loop acts; each must return at once.
struct ControlLoopOutputs {
  std::function<void(const Endpoint&, const ControlMessage&)> send;
  std::function<void(OutgoingFetch)> fetch;
  std::function<void(PlatformJob)> platform;
  std::function<void(FetchSnapshot)> publish;
};

/// Builds the reply to another daemon's fetch request.
FetchReply MakeFetchReply(const FetchSnapshot& snapshot,
                          const FetchRequest& request);

/// Feeds events into the control state of one daemon and executes the resulting
/// actions. Must be used by one thread at a time; owns no thread or socket.
class ControlLoop {
 public:
  ControlLoop(const Settings& settings, ControlPlaneHooks hooks,
              ControlLoopOutputs outputs, Metrics& metrics, uint64_t seed);
  virtual ~ControlLoop() = default;
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Must be called every kControlTickInterval.
  virtual void OnTick(TimePoint now) = 0;
  virtual void OnMessage(const Endpoint& from, const ControlMessage& message,
                         TimePoint now) = 0;
  /// `reply` is empty if the fetch failed.
  virtual void OnFetchReply(const Endpoint& from,
                            const std::optional<FetchReply>& reply,
                            TimePoint now) = 0;
  virtual void OnPlatformResult(const PlatformJobResult& result,
                                TimePoint now) = 0;
  virtual void OnPhaseChange(MemberPhase phase, TimePoint now) = 0;

  /// Publishes a view if there are changes and the last view is old enough.
  /// Returns the remaining time if publication has to wait.
  std::optional<Millis> PublishIfDue(TimePoint now);

 protected:
  /// Fills in the fields that depend on the kind of daemon.
  virtual void FillView(ControlView& view) const = 0;
  virtual std::shared_ptr<const RecordStore> CopyRecords() const = 0;

  /// Parses records. ApplyAcceptedRecords() activates the documents and key
  /// rings of those that were accepted.
  std::vector<ParsedRecord> ParseRecords(const std::vector<Record>& records,
                                         const std::string& source,
                                         bool is_from_platform) const;
  static std::vector<ReceivedRecord> ToReceivedRecords(
      const std::vector<ParsedRecord>& parsed);
  void ApplyAcceptedRecords(std::vector<ParsedRecord> parsed,
                            const RecordStore& store);

  void ExecuteActions(ControlActions actions);
  void RecordPlatformResult(const PlatformJobResult& result, TimePoint now);
  UpstreamLoad CurrentLoad() const;

  // Shared by the balancer's and the agent's loop.
  const Settings settings_;
  const ControlPlaneHooks hooks_;
  const ControlLoopOutputs outputs_;
  Metrics& metrics_;
  Random random_;

 private:
  void RecordDecision(const Decision& decision);

  std::map<std::string, VersionedDocument> documents_;
  std::shared_ptr<const KeySet> keys_;
  uint64_t key_ring_version_ = 0;
  std::shared_ptr<const RecordStore> records_;
  bool records_changed_ = true;
  bool view_changed_ = true;
  bool means_changed_ = false;
  Millis publish_interval_;
  uint64_t sequence_ = 0;
  TimePoint last_publish_{-1};
  TimePoint last_platform_response_{-1};
};

/// Creates the control loop of a balancer whose own entry is `self`.
std::unique_ptr<ControlLoop> MakeBalancerLoop(
    const MemberEntry& self, const Settings& settings, ControlPlaneHooks hooks,
    ControlLoopOutputs outputs, Metrics& metrics, uint64_t seed, TimePoint now);

/// Creates the control loop of an agent whose own entry is `self`.
std::unique_ptr<ControlLoop> MakeAgentLoop(const MemberEntry& self,
                                           const Settings& settings,
                                           ControlPlaneHooks hooks,
                                           ControlLoopOutputs outputs,
                                           Metrics& metrics, uint64_t seed);

}  // namespace medlarwinch
