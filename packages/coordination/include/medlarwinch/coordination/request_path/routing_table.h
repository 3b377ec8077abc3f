#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarwinch/coordination/request_path/candidate_index.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/member_entry.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// How long the table before the last membership change is used to find owners.
/// Covers the 4 s within which a change reaches every balancer and the
/// retransmitted openings after that; flows that are established later carry
/// identifiers.
inline constexpr Millis kPreviousTableLifetime{30'000};

/// Index of a service in RoutingTables::services.
using ServiceIndex = uint32_t;
/// Marks a service address that several documents claim and that no service had
/// before.
inline constexpr ServiceIndex kContestedAddress = 0xffffffff;
/// Marks an agent of several services, or of a service without a document.
inline constexpr ServiceIndex kOtherService = 0xfffffffe;

struct EndpointHash {
  size_t operator()(const Endpoint& endpoint) const {
    const uint64_t bits =
        (static_cast<uint64_t>(endpoint.ip) << 16) | endpoint.port;
    return (bits ^ (bits >> 23)) * 0x9e3779b97f4a7c15ULL >> 16;
  }
};

using EndpointMap = std::unordered_map<Endpoint, ServiceIndex, EndpointHash>;

/// The routing table of one service. The current and the previous table share
/// one list, as separate weights of each upstream.
struct ServiceTable {
  std::string service;
  uint64_t document_version = 0;
  /// Number of upstreams that are tried for a new flow.
  uint32_t candidates = 0;
  /// Mean flows per slot; negative when unknown.
  double mean_flows_per_slot = -1;
  /// Hash of the service name, used as seed of the flow keys.
  uint64_t seed = 0;
  /// Time at which the previous table expires.
  TimePoint previous_until{0};
  /// Sorted by address.
  std::vector<TableUpstream> upstreams;
  /// Data addresses of the upstreams that accept new flows although they
  /// appear to have failed.
  std::set<Endpoint> doubtful;
  /// Index over `upstreams`. Never null in tables made by BuildRoutingTables().
  /// Shared by successive tables with the same upstreams.
  std::shared_ptr<const CandidateIndex> index;
};

/// A claim of a service's document to a service address.
struct AddressClaim {
  Endpoint address;
  std::string service;

  friend auto operator<=>(const AddressClaim&, const AddressClaim&) = default;
};

/// An immutable snapshot of everything that a routing decision reads.
struct RoutingTables {
  /// Sorted by name.
  std::vector<ServiceTable> services;
  EndpointMap service_by_address;
  EndpointMap service_by_agent;
  /// Claims of services to addresses that another service holds.
  std::set<AddressClaim> refused_claims;
};

/// An active document.
struct RoutedDocument {
  uint64_t version = 0;
  /// Never null.
  const ServiceDocument* document = nullptr;
};

/// The input of BuildRoutingTables(). It references data owned by the caller.
struct RoutingInput {
  /// Members by control address.
  const std::map<Endpoint, MemberEntry>& members;
  /// Control addresses of the members whose withdrawal was refused.
  const std::set<Endpoint>& doubtful;
  /// Time at which each member became ready. Members without an entry count as
  /// ready for longer than any slow start.
  const std::map<Endpoint, TimePoint>& ready_since;
  /// Sorted by service name.
  std::vector<RoutedDocument> documents;
  /// Mean flows per slot by service name.
  const std::map<std::string, double>& mean_flows_by_service;
};

/// A change of the tables to report to the operator, such as an upstream that
/// starts or stops taking new flows.
struct TableChange {
  /// "accept_upstream", "withdraw_upstream", "drain_upstream",
  /// "keep_doubtful_upstream" or "refuse_contested_address".
  std::string action;
  std::string service;
  std::string subject;
  Reason reason;

  friend bool operator==(const TableChange&, const TableChange&) = default;
};

/// The new tables and their differences from the last ones.
struct RoutingUpdate {
  RoutingTables tables;
  std::vector<TableChange> changes;
  /// Earliest time at which the same input would give different tables, because
  /// a slow start advances or a previous table expires; negative if there is
  /// none.
  TimePoint next_change{-1};
};

/// Builds the tables for `input`. `last` are the active tables; `now` and the
/// times in the input are read from the same monotonic clock.
RoutingUpdate BuildRoutingTables(const RoutingInput& input,
                                 const RoutingTables& last, TimePoint now);

}  // namespace medlarwinch
