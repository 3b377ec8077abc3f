#pragma once

#include <string>

#include "medlarwinch/state/result.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Parses and validates the YAML text of a service document. `file` is used
/// only in error messages. Fails with kInvalidInput. The message has one line
/// per error, with the file, line, path and allowed values.
Result<ServiceDocument> ParseServiceDocument(const std::string& file,
                                             const std::string& text);

/// Formats a document with all its fields. ParseServiceDocument() restores it.
std::string FormatServiceDocument(const ServiceDocument& document);

}  // namespace medlarwinch
