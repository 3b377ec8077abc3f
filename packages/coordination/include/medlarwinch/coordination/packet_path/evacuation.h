#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "medlarwinch/coordination/packet_path/relay_terms.h"

namespace medlarwinch {

/// Maximum length of a failure domain's name in a view, in bytes, so that a
/// full view fits a message between balancers and agents.
inline constexpr size_t kMaxFailureDomainBytes = 64;

/// Returns the view of a process that has read `names` from the store, complete
/// as of `revision`. Names that are longer than kMaxFailureDomainBytes, and
/// those beyond the first kMaxEvacuatedDomains, are left out.
EvacuationView MakeEvacuationView(const std::set<std::string>& names,
                                  const StoreRevision& revision);

/// Replaces `known` by `other` unless `other` is not known or older. A view of
/// a later era of the store is newer. Returns true if the evacuated domains, or
/// whether they are known, have changed.
bool MergeEvacuations(EvacuationView& known, const EvacuationView& other);

/// Returns true if the view is known and names `failure_domain`.
bool IsEvacuated(const EvacuationView& view, const std::string& failure_domain);

/// Returns the evacuated domains, separated by spaces, for log lines.
std::string FormatEvacuations(const EvacuationView& view);

}  // namespace medlarwinch
