#pragma once

#include <optional>
#include <string>

namespace medlarwinch {

/// The value at one field path of a document.
struct DocumentPathValue {
  /// The value in force as YAML on one line.
  std::string value;
  /// Line of the text that sets it, 1-based; 0 when the default is in force.
  int line = 0;

  friend bool operator==(const DocumentPathValue&,
                         const DocumentPathValue&) = default;
};

/// Looks up a path such as "health.fail_after_ms" or "limits.tenants[NAME]" in
/// the text of a document. For an element of a list, returns the whole list.
/// Returns nullopt when the document is invalid or has no such field.
std::optional<DocumentPathValue> FindDocumentPath(const std::string& text,
                                                  const std::string& path);

}  // namespace medlarwinch
