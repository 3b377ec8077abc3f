#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/document_changes.h"
#include "medlarwinch/state/member_entry.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// A reason for refusing a change.
struct ChangeRefusal {
  /// Path of the field that caused it.
  std::string path;
  /// Error message that names the field to set and its required value.
  std::string message;

  friend bool operator==(const ChangeRefusal&, const ChangeRefusal&) = default;
};

/// Effects of a change of a document.
struct ChangeAssessment {
  std::vector<FieldChange> changes;
  /// Share of new flows, rounded up, that would move to another upstream; 0
  /// when no upstream is known.
  uint32_t moved_percent = 0;
  /// Number of known upstreams of the service that accept new flows unless the
  /// document drains them.
  size_t known_upstreams = 0;
  /// Reasons for refusing the change; empty when it is allowed.
  std::vector<ChangeRefusal> refusals;

  friend bool operator==(const ChangeAssessment&,
                         const ChangeAssessment&) = default;
};

/// Compares two versions of a service's document. `members` are the known
/// members; without any, the checks that depend on them are skipped.
ChangeAssessment AssessChange(const ServiceDocument& before,
                              const ServiceDocument& after,
                              const std::vector<MemberEntry>& members);

}  // namespace medlarwinch
