#pragma once

#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Prefix of the objects that list balancers of a failure domain.
inline constexpr char kBootstrapPrefix[] = "bootstrap/";
/// Balancers in a list at most.
inline constexpr size_t kMaxBootstrapEntries = 8;
/// A list is rewritten when fewer of its balancers are in service, if there are
/// more. The margin to kMaxBootstrapEntries keeps the store's write rate low: a
/// restart of one balancer leads to no write.
inline constexpr size_t kMinBootstrapEntries = 4;

/// Parses a list, one address a line; lines that are no address are passed
/// over, and more than kMaxBootstrapEntries are cut.
std::vector<Endpoint> ParseBootstrapList(const std::string& text);

/// Formats a list so that ParseBootstrapList() reads it back.
std::string FormatBootstrapList(const std::vector<Endpoint>& list);

/// Returns the list to write for a failure domain, or nothing when the present
/// one is good enough. Balancers in service stay listed; free places are filled
/// with ready balancers of the domain.
std::optional<std::vector<Endpoint>> DecideBootstrapList(
    const std::vector<Endpoint>& current, const std::string& failure_domain,
    const MemberTable& table);

}  // namespace medlarwinch
