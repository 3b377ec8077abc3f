#pragma once

#include "medlarwinch/coordination/request_path/routing_table.h"

namespace medlarwinch {

/// True when `a` takes precedence over `b` when both announce the same data
/// address: a live member over a withdrawn one, then the newer version.
bool HasPrecedenceAtAddress(const MemberEntry& a, const MemberEntry& b);

/// Maps the data address of each known agent to its service. If several entries
/// share an address, the newest one counts. An address maps to kOtherService if
/// live agents of two services announce it, or if its agent's service has no
/// document.
EndpointMap FindAgentOwners(const RoutingInput& input);

/// Assignment of the service addresses, and the claims that were refused.
struct ServiceAddresses {
  EndpointMap holders;
  std::set<AddressClaim> refused_claims;
};

/// Maps the service addresses of all documents to their services. An address
/// that several documents claim stays with the service that holds it in `last`.
/// If none of them holds it, it maps to kContestedAddress, since packets of one
/// service would otherwise reach another.
ServiceAddresses AssignServiceAddresses(const RoutingInput& input,
                                        const RoutingTables& last);

}  // namespace medlarwinch
