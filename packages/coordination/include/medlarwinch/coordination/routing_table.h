#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/candidate_index.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/member_entry.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Time for which the table before the last change of membership still names
/// owners. It covers the 4 s within which a change reaches every balancer and
/// the callers' repeated opens after it; established flows beyond it carry
/// identifiers.
inline constexpr Millis kPreviousTableLifetime{30'000};

/// Index of a service in RoutingTables::services.
using ServiceIndex = uint32_t;
/// A service address that several documents claim and none held before.
inline constexpr ServiceIndex kContestedAddress = 0xffffffff;
/// An agent of a service that has no document, or of several services.
inline constexpr ServiceIndex kOtherService = 0xfffffffe;

/// Hash of an endpoint for the maps below.
struct EndpointHash {
  size_t operator()(const Endpoint& endpoint) const {
    const uint64_t bits =
        (static_cast<uint64_t>(endpoint.ip) << 16) | endpoint.port;
    return (bits ^ (bits >> 23)) * 0x9e3779b97f4a7c15ULL >> 16;
  }
};

using EndpointMap = std::unordered_map<Endpoint, ServiceIndex, EndpointHash>;

/// How a balancer routes the packets of one service. The current and the
/// previous table stand in one list, as weights of each upstream.
struct ServiceTable {
  std::string service;
  uint64_t document_version = 0;
  /// Upstreams that are tried for a new flow.
  uint32_t candidates = 0;
  /// Mean flows per slot; negative when unknown.
  double mean_flows_per_slot = -1;
  /// Hash of the service name, the first part of each flow's key.
  uint64_t seed = 0;
  /// Time at which the previous table is dropped.
  TimePoint previous_until{0};
  /// Ordered by address.
  std::vector<TableUpstream> upstreams;
  /// Data addresses of the upstreams that take new flows although they look
  /// lost.
  std::set<Endpoint> doubtful;
  /// Of `upstreams`; never null in tables that BuildRoutingTables() made.
  /// Shared by successive tables with the same upstreams.
  std::shared_ptr<const CandidateIndex> index;
};

/// A service address in the document of a service.
struct AddressClaim {
  Endpoint address;
  std::string service;

  friend auto operator<=>(const AddressClaim&, const AddressClaim&) = default;
};

/// Everything that a routing decision reads. Readers get it as a whole and
/// never see it change.
struct RoutingTables {
  /// Ordered by name.
  std::vector<ServiceTable> services;
  EndpointMap service_by_address;
  EndpointMap service_by_agent;
  /// Services that claim an address which another service holds.
  std::set<AddressClaim> refused_claims;
};

/// A document in force.
struct RoutedDocument {
  uint64_t version = 0;
  /// Never null.
  const ServiceDocument* document = nullptr;
};

/// What the tables are made from; it refers to what the caller keeps.
struct RoutingInput {
  /// By control address.
  const std::map<Endpoint, MemberEntry>& members;
  /// Members, by control address, whose withdrawal was refused.
  const std::set<Endpoint>& doubtful;
  /// Time at which a member became ready; absent members count as ready for
  /// longer than any slow start.
  const std::map<Endpoint, TimePoint>& ready_since;
  /// Ordered by service name.
  std::vector<RoutedDocument> documents;
  /// Mean flows per slot by service name.
  const std::map<std::string, double>& mean_flows_by_service;
};

/// An upstream that began or ceased to take new flows, or another change that
/// an operator looks for.
struct TableChange {
  /// "accept_upstream", "withdraw_upstream", "drain_upstream",
  /// "keep_doubtful_upstream" or "refuse_contested_address".
  std::string action;
  std::string service;
  std::string subject;
  Reason reason;

  friend bool operator==(const TableChange&, const TableChange&) = default;
};

/// New tables and how they differ from those before.
struct RoutingUpdate {
  RoutingTables tables;
  std::vector<TableChange> changes;
  /// Earliest time at which the same input gives other tables, because a slow
  /// start advances or a previous table ends; negative when there is none.
  TimePoint next_change{-1};
};

/// Makes the tables for `input`. `last` are the tables in force so far; `now`
/// and the times in the input are readings of one monotonic clock.
RoutingUpdate BuildRoutingTables(const RoutingInput& input,
                                 const RoutingTables& last, TimePoint now);

}  // namespace medlarwinch
