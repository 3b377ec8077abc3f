#pragma once

#include <string>

#include "cases.h"

namespace medlarwinch::review {

/// Starts a case that plays restarts of all machines at the size of the
/// incident of 2026-12-05. The environment variable SEED chooses the random
/// delays.
Result<Ok> BeginRestartCase(const std::string& name, bool has_trouble,
                            const CaseContext& context);

}  // namespace medlarwinch::review
