#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/coordination/request_path/routing_table.h"
#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/key_ring.h"

namespace medlarwinch {

/// Routing tables of `services` services with `upstreams` ready upstreams each,
/// and packets for them. Deterministic for given arguments.
class RoutingFixture {
 public:
  RoutingFixture(uint32_t services, uint32_t upstreams);

  /// Withdraws one upstream of each service, so that the previous table is also
  /// used for routing.
  void WithdrawOneUpstreamPerService();

  /// Puts all upstreams at different points of their slow start, so that the
  /// tables have many distinct weights.
  void PutAllInSlowStart();

  /// Rebuilds the tables from the current members.
  void Rebuild();

  const RoutingTables& tables() const { return tables_; }
  const KeySet& keys() const { return keys_; }

  /// Returns a packet that opens a flow to service `number` modulo the number
  /// of services.
  FabricPacket OpenPacket(uint64_t number) const;

  /// Returns a packet of an established flow with `payload` bytes after the
  /// header.
  FabricPacket EstablishedPacket(uint64_t number, size_t payload) const;

 private:
  uint32_t service_count_;
  std::vector<ServiceDocument> documents_;
  std::map<Endpoint, MemberEntry> members_;
  std::set<Endpoint> doubtful_;
  std::map<Endpoint, TimePoint> ready_since_;
  std::map<std::string, double> means_;
  RoutingTables tables_;
  KeySet keys_;
};

}  // namespace medlarwinch
