#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/packet_path/flow_tracker.h"
#include "medlarwinch/coordination/packet_path/relay_actions.h"

namespace medlarwinch {

/// The link of a balancer as its last poll reports it.
struct BalancerLink {
  uint32_t kbps = 0;
  /// Number of upload flows that pass the balancer.
  uint32_t upload_flows = 0;
  TimePoint heard_at;

  friend bool operator==(const BalancerLink&, const BalancerLink&) = default;
};

/// A flow of a route of kind upload.
struct UploadFlow {
  /// Balancer through which the flow's last packet came.
  Endpoint balancer;
  /// Time at which the upstream's answer to the opening was sent.
  TimePoint opened_at;
  /// Time from that answer to the caller's first packet; empty before.
  std::optional<Millis> round_trip;
  /// Highest acknowledgement of the upstream, held ones included.
  uint32_t acknowledged = 0;
  /// Time before which the next acknowledgement is not due, in microseconds of
  /// the agent's clock.
  int64_t next_due_us = 0;
  /// Time at which the last held acknowledgement is due.
  TimePoint held_until;
  TimePoint last_used;
};

/// What an agent knows to pace uploads. An upload sends no more packets than
/// are acknowledged, so acknowledgements that are sent at the rate of a
/// balancer's link keep the caller at that rate.
struct AckPacing {
  std::unordered_map<FlowTuple, UploadFlow, FlowTupleHash> flows;
  /// Only balancers with a paced link.
  std::map<Endpoint, BalancerLink> links;
  uint64_t held_acknowledgements = 0;
  /// Number of times that a packet replaced the held acknowledgements of its
  /// flow.
  uint64_t superseded = 0;
};

/// What a report changed for the flows of a balancer.
enum class LinkChange : uint8_t { kNone, kStarted, kEnded };

/// Records the link that a balancer reports in its poll. Links that are not
/// paced are forgotten.
LinkChange RecordBalancerLink(AckPacing& pacing, const Endpoint& balancer,
                              uint32_t link_kbps, uint32_t upload_flows,
                              TimePoint now);

/// Records the upstream's answer to an opening of a route of kind upload.
void RecordUploadOpened(AckPacing& pacing, const FlowTuple& flow,
                        const Endpoint& balancer, const FlowPacket& answer,
                        TimePoint now);

/// Records through which balancer a packet of a caller came. The caller's reset
/// discards the held acknowledgements.
void RecordUploadPath(AckPacing& pacing, const FlowPacket& packet,
                      const Endpoint& balancer, TimePoint now,
                      RelayActions& actions);

/// Appends the actions that send a packet of the upstream to its caller:
/// HoldPacket for an acknowledgement that comes too early, else
/// DeliverToCaller, preceded by DiscardHeld if it replaces held ones.
/// Acknowledgements are cumulative. While `is_stopping` nothing is held.
void AddDelivery(AckPacing& pacing, const FlowPacket& packet, bool is_stopping,
                 TimePoint now, RelayActions& actions);

/// Removes idle flows and the links of balancers that stopped polling. Returns
/// these balancers.
std::vector<Endpoint> RefreshAckPacing(AckPacing& pacing, TimePoint now);

}  // namespace medlarwinch
