#pragma once

#include <string>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Sets `drain.upstreams` in the text of a document. Comments and all other
/// fields are preserved when the section `drain` is in YAML block style;
/// otherwise the whole document is reformatted and loses its comments. Fails
/// with kInvalidInput when `text` is not a valid document.
Result<std::string> SetDrainedUpstreams(const std::string& text,
                                        const std::vector<Endpoint>& upstreams);

}  // namespace medlarwinch
