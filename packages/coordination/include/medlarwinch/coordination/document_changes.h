#pragma once

#include <string>
#include <vector>

#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// One field that differs between two documents.
struct FieldChange {
  /// Path in the document; a tenant's limit has the path
  /// "limits.tenants[NAME]".
  std::string path;
  /// Values as YAML on one line; empty when the tenant is not there.
  std::string before;
  std::string after;

  friend bool operator==(const FieldChange&, const FieldChange&) = default;
};

/// Returns the changed fields in the order of the field table.
std::vector<FieldChange> ListChanges(const ServiceDocument& before,
                                     const ServiceDocument& after);

}  // namespace medlarwinch
