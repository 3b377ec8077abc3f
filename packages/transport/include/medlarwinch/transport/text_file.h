#pragma once

#include <string>

#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Reads a complete file. Fails with kNotFound, naming the file, if it can't be
/// opened.
Result<std::string> ReadTextFile(const std::string& file);

}  // namespace medlarwinch
