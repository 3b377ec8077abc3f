// What an agent learns from the extended polls of balancers, and what it
// reports of its upstream's load.
#include "medlarwinch/coordination/packet_path/evacuation.h"
#include "medlarwinch/node/agent_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// Number of polls of a balancer after which the offer of the extended messages
// is repeated: it may have been lost, or the balancer may have restarted.
constexpr uint64_t kPollsPerOffer = 16;

}  // namespace

bool AgentNode::RecordPoll(const Endpoint& from, const AgentPoll& poll) {
  const TimePoint now = MonotonicNow();
  BalancerPolls& polls = polls_by_balancer_[from];
  polls.last_poll = now;
  const bool is_offer_due = polls.polls % kPollsPerOffer == 0;
  ++polls.polls;
  configuration_version_ =
      std::max(configuration_version_, poll.configuration_version);
  registration_.RecordPoll(from, poll.is_listed, now);
  return is_offer_due;
}

void AgentNode::HandlePoll(const Endpoint& from, const AgentPoll& poll) {
  const bool is_offer_due = RecordPoll(from, poll);
  SendStatus(from);
  SendPeriodicNotices(from);
  // A balancer forgets the offer when it learns of a new process, so the offer
  // follows the status. A plain poll shows that the balancer has not read it.
  const bool awaits_extended = settings_.features != NodeFeatures{};
  if (is_offer_due || awaits_extended) SendProtocolOffer(from);
}

void AgentNode::HandleExtendedPoll(const Endpoint& from,
                                   const ExtendedPoll& poll) {
  const bool is_offer_due = RecordPoll(from, poll.poll);
  ApplyPolledTerms(from, poll);
  ApplyPolledBaselines(poll.terms);
  RecordLink(from, poll.terms);
  EncodeRelayMessage(
      ExtendedStatus{MakeStatus(), relay_.gate.evacuations, MakeLoad()},
      message_buffer_);
  relay_socket_->Send(from, message_buffer_);
  SendPeriodicNotices(from);
  if (is_offer_due) SendProtocolOffer(from);
}

void AgentNode::ApplyPolledTerms(const Endpoint& from,
                                 const ExtendedPoll& poll) {
  if (!ApplyBalancerTerms(relay_.gate, poll.terms,
                          poll.poll.configuration_version)) {
    return;
  }
  const EvacuationView& view = relay_.gate.evacuations;
  const bool is_evacuated = IsEvacuated(view, settings_.failure_domain);
  Log(LogLevel::kInfo, "evacuations_in_force",
      {{"failure_domains", FormatEvacuations(view)},
       {"own_evacuated", is_evacuated ? "true" : "false"},
       {"flows", static_cast<int64_t>(relay_.flow_tracker.open)},
       {"revision", static_cast<int64_t>(view.revision.number)},
       {"era", static_cast<int64_t>(view.revision.era)},
       {"source", ToString(from)}});
}

void AgentNode::ApplyPolledBaselines(const BalancerTerms& terms) {
  std::optional<ResponseStatistics>& responses = relay_.flow_tracker.responses;
  const bool detects_outliers =
      settings_.features.outlier_detection || !terms.baselines.empty();
  if (detects_outliers && !responses.has_value()) responses.emplace();
  if (!responses.has_value()) return;
  ApplyBaselines(*responses, terms.baselines, MonotonicNow());
}

AgentLoad AgentNode::MakeLoad() {
  const TimePoint now = MonotonicNow();
  AgentLoad load;
  load.work_ms = KnownWorkMs(relay_.work_time);
  load.cold_openings_left = ColdOpeningsLeft(relay_, now);
  if (relay_.flow_tracker.responses.has_value()) {
    ReportOutcomes(*relay_.flow_tracker.responses, now, load);
  }
  return load;
}

}  // namespace medlarwinch
