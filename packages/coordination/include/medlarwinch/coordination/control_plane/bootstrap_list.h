#pragma once

#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Key prefix of the objects that list the balancers of a failure domain.
inline constexpr char kBootstrapPrefix[] = "bootstrap/";
/// Maximum number of balancers in a list.
inline constexpr size_t kMaxBootstrapEntries = 8;
/// A list is rewritten when fewer of its balancers are ready and the domain has
/// others that are. The margin to kMaxBootstrapEntries keeps the write rate of
/// the store low: the restart of one balancer causes no write.
inline constexpr size_t kMinBootstrapEntries = 4;

/// Parses a list with one address per line. Lines that are not an address are
/// ignored, and entries beyond kMaxBootstrapEntries are cut off.
std::vector<Endpoint> ParseBootstrapList(const std::string& text);

/// Formats a list in the form that ParseBootstrapList() reads.
std::string FormatBootstrapList(const std::vector<Endpoint>& list);

/// Returns the list to write for a failure domain, or nothing when the current
/// one is sufficient. Entries whose balancers are ready stay, and free places
/// are filled with other ready balancers of the domain.
std::optional<std::vector<Endpoint>> DecideBootstrapList(
    const std::vector<Endpoint>& current, const std::string& failure_domain,
    const MemberTable& table);

}  // namespace medlarwinch
