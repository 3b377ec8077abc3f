#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "medlarwinch/coordination/routing_table.h"
#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/key_ring.h"

namespace medlarwinch {

/// Tables of `services` services with `upstreams` ready upstreams each, and
/// packets for them. The same arguments give the same content.
class RoutingFixture {
 public:
  RoutingFixture(uint32_t services, uint32_t upstreams);

  /// Withdraws one upstream of each service, so that a previous table is in
  /// force.
  void WithdrawOneUpstreamPerService();

  /// Sets that an upstream became ready at different times within the slow
  /// start, so that the tables have many distinct weights.
  void PutAllInSlowStart();

  /// Makes the tables again from the same members.
  void Rebuild();

  const RoutingTables& tables() const { return tables_; }
  const KeySet& keys() const { return keys_; }

  /// A packet that opens a flow at the service `number` modulo the number of
  /// services.
  FabricPacket OpenPacket(uint64_t number) const;

  /// A packet of an established flow, `payload` bytes long.
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
