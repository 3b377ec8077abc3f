#pragma once

#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Sets `drain.upstreams` in the text of a document. Comments and all other
/// fields stay as they are when the section `drain` is written as a block;
/// otherwise the document is written anew without comments. Fails with
/// kInvalidInput when `text` is no valid document.
Result<std::string> SetDrainedUpstreams(const std::string& text,
                                        const std::vector<Endpoint>& upstreams);

}  // namespace medlarwinch
