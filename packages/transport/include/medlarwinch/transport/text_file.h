#pragma once

#include <string>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Reads a whole file. Fails with kNotFound; the message names the file.
Result<std::string> ReadTextFile(const std::string& file);

}  // namespace medlarwinch
