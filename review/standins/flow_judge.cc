#include "flow_judge.h"

#include <iostream>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch::review {
namespace {

constexpr Millis kStabilityWindow{4'000};
constexpr Millis kReorderTime{2'000};
constexpr int kMisdirectedPackets = 3;
constexpr Millis kCheckInterval{50};

}  // namespace

void FlowJudge::Begin() {
  Deployment& deployment = context_.deployment;
  deployment.on_reset = [self = shared_from_this()](
                            const FlowTuple& flow, const std::string& request,
                            bool is_unsafe, uint32_t from) {
    self->HandleReset(flow, request, is_unsafe, from);
  };
  deployment.on_packet = [self = shared_from_this()](
                             const Host& host, const FlowTuple& flow,
                             bool is_held, const Daemon* balancer) {
    self->HandlePacket(host, flow, is_held, balancer);
  };
  deployment.on_start = [self = shared_from_this()](const Daemon& daemon) {
    if (self->awaiting_start_.erase(daemon.ip) == 0) return;
    self->disturbed_at_[daemon.ip] = MonotonicNow();
  };
  Check();
}

void FlowJudge::Disturb(uint32_t ip) {
  disturbed_at_[ip] = MonotonicNow();
  awaiting_start_.insert(ip);
}

bool FlowJudge::IsInTouch(std::initializer_list<uint32_t> machines,
                          TimePoint moment) const {
  for (const uint32_t machine : machines) {
    const auto found = disturbed_at_.find(machine);
    if (found == disturbed_at_.end()) continue;
    if (moment - found->second < kStabilityWindow) return false;
  }
  return true;
}

void FlowJudge::Report(const std::string& text, bool is_counted) {
  if (is_counted) {
    context_.record.Broken(text);
    return;
  }
  context_.record.Line("NOT COUNTED " + text);
  std::cout << "not counted: " << text << "\n";
}

void FlowJudge::HandleReset(const FlowTuple& flow, const std::string& request,
                            bool is_unsafe, uint32_t from) {
  const Host* holder = context_.deployment.HolderOf(flow);
  if (holder == nullptr) return;
  if (dropped_routes_.count(flow.service_address) != 0) return;
  const std::string during = request.empty()
                                 ? ""
                                 : std::string(", during the ") +
                                       (is_unsafe ? "unsafe" : "safe") +
                                       " request " + request;
  Report("FLOW " + context_.deployment.NameOfAddress(from) + " reset " +
             FlowText(flow) + ", which is open at the living host " +
             holder->settings().id + during,
         IsInTouch({from, holder->settings().ip}, MonotonicNow()));
  reset_flows_.insert(flow);
}

void FlowJudge::HandlePacket(const Host& host, const FlowTuple& flow,
                             bool is_held, const Daemon* balancer) {
  if (is_held) {
    misdirections_.erase(flow);
    return;
  }
  const Host* holder = context_.deployment.HolderOf(flow);
  if (holder == nullptr || holder == &host) return;
  Misdirection& entry = misdirections_[flow];
  if (entry.packets == 0) entry.first_at = MonotonicNow();
  ++entry.packets;
  entry.hosts += " " + host.settings().id;
  if (balancer != nullptr) entry.balancer = balancer->ip;
}

void FlowJudge::Check() {
  const TimePoint now = MonotonicNow();
  for (auto& [flow, entry] : misdirections_) {
    if (entry.is_reported || entry.packets < kMisdirectedPackets) continue;
    if (now - entry.first_at < kReorderTime) continue;
    entry.is_reported = true;
    const Host* holder = context_.deployment.HolderOf(flow);
    if (holder == nullptr) continue;
    Report("FLOW " + std::to_string(entry.packets) + " packets of " +
               FlowText(flow) + ", open at " + holder->settings().id +
               ", reached other hosts (" + entry.hosts +
               " ) and none its own, last through " +
               context_.deployment.NameOfAddress(entry.balancer) +
               (reset_flows_.count(flow) != 0 ? ", and it was reset" : ""),
           IsInTouch({entry.balancer, holder->settings().ip}, entry.first_at));
  }
  After(context_.loop, kCheckInterval,
        [self = shared_from_this()] { self->Check(); });
}

}  // namespace medlarwinch::review
