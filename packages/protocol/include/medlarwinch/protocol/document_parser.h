#pragma once

#include <string>

#include "medlarwinch/state/result.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Parses and checks the YAML text of a service document; `file` is used in
/// messages. Fails with kInvalidInput; the message has one line for each
/// mistake, with file, line, path and what is allowed.
Result<ServiceDocument> ParseServiceDocument(const std::string& file,
                                             const std::string& text);

/// Formats a document so that ParseServiceDocument() reads it back. Every field
/// is written.
std::string FormatServiceDocument(const ServiceDocument& document);

}  // namespace medlarwinch
