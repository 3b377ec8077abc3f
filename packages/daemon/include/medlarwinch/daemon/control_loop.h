#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_actions.h"
#include "medlarwinch/coordination/random.h"
#include "medlarwinch/coordination/record_store.h"
#include "medlarwinch/daemon/control_plane.h"
#include "medlarwinch/daemon/control_view.h"
#include "medlarwinch/daemon/platform_worker.h"
#include "medlarwinch/daemon/record_parser.h"
#include "medlarwinch/daemon/settings.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// What other daemons may fetch from this one.
struct FetchSnapshot {
  std::shared_ptr<const ControlView> view;
  std::shared_ptr<const RecordStore> records;
};

/// Ways out of a control loop; each returns at once.
struct ControlOutputs {
  std::function<void(const Endpoint&, const ControlMessage&)> send;
  std::function<void(OutgoingFetch)> fetch;
  std::function<void(PlatformJob)> platform;
  std::function<void(FetchSnapshot)> publish;
};

/// Reply to another daemon's fetch.
FetchReply MakeFetchReply(const FetchSnapshot& snapshot,
                          const FetchRequest& request);

/// Drives the control state of one daemon with events and carries out the
/// actions. Used by one thread at a time; it owns no thread or socket itself.
class ControlLoop {
 public:
  ControlLoop(const Settings& settings, ControlPlaneHooks hooks,
              ControlOutputs outputs, Metrics& metrics, uint64_t seed);
  virtual ~ControlLoop() = default;
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Must be called every kControlTick.
  virtual void OnTick(TimePoint now) = 0;
  virtual void OnMessage(const Endpoint& from, const ControlMessage& message,
                         TimePoint now) = 0;
  /// `reply` is empty when the fetch failed.
  virtual void OnFetched(const Endpoint& from,
                         const std::optional<FetchReply>& reply,
                         TimePoint now) = 0;
  virtual void OnPlatform(const PlatformJobResult& result, TimePoint now) = 0;
  virtual void OnPhase(MemberPhase phase, TimePoint now) = 0;

  /// Publishes a view when there is something new and the last one is old
  /// enough. Returns the time to wait when a view has to wait.
  std::optional<Millis> PublishIfDue(TimePoint now);

 protected:
  /// Fills in what only the daemon's kind knows.
  virtual void FillView(ControlView& view) const = 0;
  virtual std::shared_ptr<const RecordStore> CopyRecords() const = 0;

  /// Parses records; documents and rings of accepted ones are put in force by
  /// UseAccepted().
  std::vector<ParsedRecord> Parse(const std::vector<Record>& records,
                                  const std::string& source,
                                  bool is_from_platform) const;
  static std::vector<ReceivedRecord> OffersOf(
      const std::vector<ParsedRecord>& parsed);
  void UseAccepted(std::vector<ParsedRecord> parsed, const RecordStore& store);

  void Carry(ControlActions actions);
  void NotePlatformAnswer(const PlatformJobResult& result, TimePoint now);
  UpstreamLoad CurrentLoad() const;

  // Members of a loop are shared by its two kinds.
  const Settings settings_;
  const ControlPlaneHooks hooks_;
  const ControlOutputs outputs_;
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
  TimePoint last_platform_answer_{-1};
};

/// The loop of a balancer that starts with `self`.
std::unique_ptr<ControlLoop> MakeBalancerLoop(
    const MemberEntry& self, const Settings& settings, ControlPlaneHooks hooks,
    ControlOutputs outputs, Metrics& metrics, uint64_t seed, TimePoint now);

/// The loop of an agent that starts with `self`.
std::unique_ptr<ControlLoop> MakeAgentLoop(const MemberEntry& self,
                                           const Settings& settings,
                                           ControlPlaneHooks hooks,
                                           ControlOutputs outputs,
                                           Metrics& metrics, uint64_t seed);

}  // namespace medlarwinch
