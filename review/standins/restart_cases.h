#pragma once

#include <string>

#include "cases.h"

namespace medlarwinch::review {

/// Starts a case that plays restarts of all machines at the size of the
/// incident of 2026-12-05. The first part of `restart-power-power`,
/// `-power-kill`, `-kill-kill` and `-kill-power` says what ends in the middle,
/// the second what ends last. `restart-repeated`, `-planned`, `-moved-route`,
/// `-cold-hosts`, `-long-work`, `-long-work-planned`, `-slow-links` and
/// `-slow-links-planned` add what RestartPlan names.
/// `withdrawn-entry` plays a host that starts again while the store does not
/// answer its agent.
///
/// The environment variable SEED chooses the random delays. Breaks of FLOW at
/// machines that are not in touch are printed as "not counted".
Result<Ok> BeginRestartCase(const std::string& name, bool has_trouble,
                            const CaseContext& context);

}  // namespace medlarwinch::review
