#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "medlarwinch/coordination/packet_path/upstream_directory.h"

namespace medlarwinch {

// A store that was restored from an older copy may lack the entries of agents
// that are in use. The balancers that use such an agent name it to a few listed
// agents with every poll. These pass the names on to every balancer that polls
// them, so that a balancer which has just started learns of it.

/// Maximum number of agents in one message. A balancer that is told this many
/// assumes that there are more.
inline constexpr size_t kMaxNamedAgents = 64;
/// Number of listed agents to which a balancer names the unlisted ones. Allows
/// for several of them to be unreachable from the balancer that has to learn.
inline constexpr size_t kNamingTargets = 8;
/// An agent forgets an unlisted agent that no balancer has named for this long.
/// Four intervals of the polls with which it is named.
inline constexpr Millis kNamedAgentExpiry{1'000};
/// The list of an era above 0 is relied upon after this many polls of all
/// agents. With 250 ms between polls, a name takes two of them from one
/// balancer to another; the others allow for lost messages.
inline constexpr uint32_t kPollsToProveList = 6;

/// Returns true if every agent that may own flows is known: the store has no
/// era, so that it was never restored, or the listed agents had the time to
/// name the unlisted ones since the first list of this era.
bool IsListProven(const UpstreamDirectory& directory);

/// Records that all known agents are polled.
void RecordPollRound(UpstreamDirectory& directory);

/// Returns at most kMaxNamedAgents agents that have reported recently although
/// the store, in an era above 0, does not list them.
std::vector<Endpoint> UnlistedAgentsInUse(const UpstreamDirectory& directory,
                                          TimePoint now);

/// Returns the agents to which the unlisted ones are named: listed ones that
/// have reported recently and read the extended messages.
std::vector<Endpoint> NamingTargets(const UpstreamDirectory& directory,
                                    TimePoint now);

/// Adds the agents that a listed agent has named. They get no new flows until
/// the store lists them. Without effect in era 0.
void AddNamedAgents(UpstreamDirectory& directory,
                    std::span<const Endpoint> agents, TimePoint now);

/// The unlisted agents that balancers have named to an agent, with the time at
/// which each was named last. At most kMaxNamedAgents.
using NamedAgents = std::map<Endpoint, TimePoint>;

void RecordNamedAgents(NamedAgents& named, std::span<const Endpoint> agents,
                       TimePoint now);

/// Returns the agents that were named within kNamedAgentExpiry, and removes the
/// others.
std::vector<Endpoint> TakeCurrentlyNamed(NamedAgents& named, TimePoint now);

}  // namespace medlarwinch
