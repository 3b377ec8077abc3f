#pragma once

#include <string>

#include "medlarwinch/cli/apply_command.h"

namespace medlarwinch {

/// Adds an upstream's listener to `drain.upstreams` of a service's document
/// (removes it when `is_undrain`) and applies the document. Fails with
/// kNotFound when there is no document, otherwise with the errors of
/// ApplyText(). A change that the checks refuse requires an edit of the
/// document itself.
Result<ApplyReport> RunDrain(const CommandContext& context,
                             const std::string& service,
                             const Endpoint& upstream, bool is_undrain);

}  // namespace medlarwinch
