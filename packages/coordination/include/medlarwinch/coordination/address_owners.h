#pragma once

#include "medlarwinch/coordination/routing_table.h"

namespace medlarwinch {

/// True when `a` says more than `b` about the present user of a data address
/// that both announce: a live phase counts first, then the newer version.
bool IsNewerAtAddress(const MemberEntry& a, const MemberEntry& b);

/// Maps the data address of each known agent to its service. Of several entries
/// with one address the newest counts; an address that live agents of two
/// services announce is kOtherService, as is an agent of a service without a
/// document.
EndpointMap FindAgentOwners(const RoutingInput& input);

/// Who holds the service addresses.
struct ServiceAddresses {
  EndpointMap holders;
  std::set<AddressClaim> refused_claims;
};

/// Maps the service addresses of all documents to their services. An address
/// that several documents claim stays with the service that holds it in `last`;
/// when none of them does, it is kContestedAddress, since packets of one
/// service would otherwise reach another.
ServiceAddresses AssignServiceAddresses(const RoutingInput& input,
                                        const RoutingTables& last);

}  // namespace medlarwinch
