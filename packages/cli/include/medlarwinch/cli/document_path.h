#pragma once

#include <optional>
#include <string>

namespace medlarwinch {

/// The value of one path in the text of a document.
struct DocumentPathValue {
  /// The value in force as YAML on one line.
  std::string value;
  /// Line of the text that sets it, from 1; 0 when the default is in force.
  int line = 0;

  friend bool operator==(const DocumentPathValue&,
                         const DocumentPathValue&) = default;
};

/// Finds a path such as "health.fail_after_ms" or "limits.tenants[NAME]" in the
/// text of a document. Nothing when the document is invalid or has no such
/// field.
std::optional<DocumentPathValue> FindDocumentPath(const std::string& text,
                                                  const std::string& path);

}  // namespace medlarwinch
