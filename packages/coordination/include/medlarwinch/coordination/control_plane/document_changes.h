#pragma once

#include <string>
#include <vector>

#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// One field that differs between two documents.
struct FieldChange {
  /// Path in the document. The path of a tenant's limit is
  /// "limits.tenants[NAME]".
  std::string path;
  /// Values as single-line YAML; empty where the document has no such tenant.
  std::string before;
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// Returns the changed fields in the order of DocumentFields().
std::vector<FieldChange> ListChanges(const ServiceDocument& before,
                                     const ServiceDocument& after);

}  // namespace medlarwinch
