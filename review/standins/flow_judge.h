#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cases.h"

namespace medlarwinch::review {

/// Judges rule FLOW: resets that the flow's host did not send, and packets that
/// reach other hosts for `reorder_ms` while none reaches the flow's own.
class FlowJudge : public std::enable_shared_from_this<FlowJudge> {
 public:
  explicit FlowJudge(const CaseContext& context) : context_(context) {}

  /// Begins to listen to the deployment.
  void Begin();

  /// Notes an unplanned disturbance of the machine with this address. Its next
  /// start by the platform counts as disturbance too.
  void Disturb(uint32_t ip);

  /// Flows of a route that the operator has removed are not judged.
  void DropRoute(const Endpoint& route) { dropped_routes_.insert(route); }

 private:
  struct Misdirection {
    TimePoint first_at;
    int packets = 0;
    uint32_t balancer = 0;
    std::string hosts;
    bool is_reported = false;
  };

  void HandleReset(const FlowTuple& flow, const std::string& request,
                   bool is_unsafe, uint32_t from);
  void HandlePacket(const Host& host, const FlowTuple& flow, bool is_held,
                    const Daemon* balancer);
  void Check();
  /// Returns whether none of the machines was disturbed in the stability window
  /// before `moment`, nor since.
  bool IsInTouch(std::initializer_list<uint32_t> machines,
                 TimePoint moment) const;
  void Report(const std::string& text, bool is_counted);

  CaseContext context_;
  std::map<uint32_t, TimePoint> disturbed_at_;
  std::set<uint32_t> awaiting_start_;
  std::set<Endpoint> dropped_routes_;
  std::set<FlowTuple> reset_flows_;
  std::map<FlowTuple, Misdirection> misdirections_;
};

}  // namespace medlarwinch::review
