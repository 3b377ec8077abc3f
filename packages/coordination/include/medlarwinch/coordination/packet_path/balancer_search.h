#pragma once

#include <span>

#include "medlarwinch/coordination/packet_path/balancer_relay.h"

namespace medlarwinch {

/// Returns the header of a packet that this balancer relays.
RelayHeader MakeRelayHeader(const BalancerRelay& relay, RelayPurpose purpose,
                            std::span<const ServiceId> allowed);

/// Searches the owner of an established flow that has no confirmed cache entry.
/// `packet` is buffered until the owner is found.
void SearchOwner(BalancerRelay& relay, const FlowPacket& packet,
                 std::span<const uint8_t> raw, TimePoint now,
                 RelayActions& actions);

/// An agent's reply to an ownership query.
struct OwnershipReply {
  Endpoint agent;
  FlowTuple flow;
  FlowOwnership ownership = FlowOwnership::kNotOwned;
};

/// Processes an agent's reply. `raw` is the packet returned with the reply, or
/// empty, and `packet` is its decoded form.
void HandleOwnershipReply(BalancerRelay& relay, const OwnershipReply& reply,
                          const FlowPacket& packet,
                          std::span<const uint8_t> raw, TimePoint now,
                          RelayActions& actions);

/// Sends the queries that were collected since ScheduleQueryFlush was returned.
void FlushOwnershipQueries(BalancerRelay& relay, RelayActions& actions);

/// Records that the list of agents requested at `requested_at` was applied to
/// the directory, and concludes the searches that waited for it.
void HandleDirectoryRefreshed(BalancerRelay& relay, TimePoint requested_at,
                              TimePoint now, RelayActions& actions);

/// Repeats queries, probes the next agents and ends searches that have timed
/// out.
void HandleSearchTick(BalancerRelay& relay, TimePoint now,
                      RelayActions& actions);

}  // namespace medlarwinch
