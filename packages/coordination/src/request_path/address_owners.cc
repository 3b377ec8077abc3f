#include "medlarwinch/coordination/request_path/address_owners.h"

#include <tuple>

namespace medlarwinch {
namespace {

bool IsLive(const MemberEntry& member) {
  return member.version.phase < MemberPhase::kLeft;
}

std::map<std::string, ServiceIndex> IndexServices(const RoutingInput& input) {
  std::map<std::string, ServiceIndex> indices;
  for (const RoutedDocument& routed : input.documents) {
    const ServiceIndex next = static_cast<ServiceIndex>(indices.size());
    indices.emplace(routed.document->service, next);
  }
  return indices;
}

// Returns the service that holds `address` in `last`; empty when there is none.
std::string PreviousHolder(const RoutingTables& last, const Endpoint& address) {
  const auto found = last.service_by_address.find(address);
  if (found == last.service_by_address.end() ||
      found->second == kContestedAddress) {
    return "";
  }
  return last.services[found->second].service;
}

}  // namespace

bool HasPrecedenceAtAddress(const MemberEntry& a, const MemberEntry& b) {
  const auto order = [](const MemberEntry& member) {
    return std::make_tuple(IsLive(member), member.version, member.id);
  };
  return order(a) > order(b);
}

EndpointMap FindAgentOwners(const RoutingInput& input) {
  std::unordered_map<Endpoint, const MemberEntry*, EndpointHash> newest;
  std::set<Endpoint> ambiguous;
  for (const auto& [id, member] : input.members) {
    if (member.kind != MemberKind::kAgent) continue;
    const auto [entry, is_added] = newest.emplace(member.data, &member);
    if (is_added) continue;
    const MemberEntry& other = *entry->second;
    if (IsLive(member) && IsLive(other) && member.service != other.service) {
      ambiguous.insert(member.data);
    }
    if (HasPrecedenceAtAddress(member, other)) entry->second = &member;
  }
  const std::map<std::string, ServiceIndex> indices = IndexServices(input);
  EndpointMap owners;
  for (const auto& [address, member] : newest) {
    const auto index = indices.find(member->service);
    const bool is_known =
        index != indices.end() && !ambiguous.contains(address);
    owners.emplace(address, is_known ? index->second : kOtherService);
  }
  return owners;
}

ServiceAddresses AssignServiceAddresses(const RoutingInput& input,
                                        const RoutingTables& last) {
  std::map<Endpoint, std::set<ServiceIndex>> claimants;
  for (size_t index = 0; index < input.documents.size(); ++index) {
    for (const Endpoint& address : input.documents[index].document->addresses) {
      claimants[address].insert(static_cast<ServiceIndex>(index));
    }
  }
  ServiceAddresses result;
  for (const auto& [address, services] : claimants) {
    ServiceIndex holder =
        services.size() == 1 ? *services.begin() : kContestedAddress;
    const std::string last_holder = PreviousHolder(last, address);
    for (const ServiceIndex index : services) {
      if (input.documents[index].document->service == last_holder) {
        holder = index;
      }
    }
    result.holders.emplace(address, holder);
    for (const ServiceIndex index : services) {
      if (index == holder) continue;
      result.refused_claims.insert(
          AddressClaim{address, input.documents[index].document->service});
    }
  }
  return result;
}

}  // namespace medlarwinch
