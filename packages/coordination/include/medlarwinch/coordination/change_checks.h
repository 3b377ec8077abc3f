#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/document_changes.h"
#include "medlarwinch/state/member_entry.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// A reason to refuse a change.
struct ChangeRefusal {
  /// Path of the field that caused it.
  std::string path;
  /// Says which field to set to which value.
  std::string message;

  friend bool operator==(const ChangeRefusal&, const ChangeRefusal&) = default;
};

/// What a change of a document would do.
struct ChangeAssessment {
  std::vector<FieldChange> changes;
  /// Share of new flows that would go to another upstream than before, rounded
  /// up; 0 when no upstream is known.
  uint32_t moved_percent = 0;
  /// Upstreams of the service that are known and not withdrawn.
  size_t known_upstreams = 0;
  /// The change is refused unless this is empty.
  std::vector<ChangeRefusal> refusals;

  friend bool operator==(const ChangeAssessment&,
                         const ChangeAssessment&) = default;
};

/// Compares two documents of one service. `members` are those that are known;
/// without any, the checks that need them are not made.
ChangeAssessment AssessChange(const ServiceDocument& before,
                              const ServiceDocument& after,
                              const std::vector<MemberEntry>& members);

}  // namespace medlarwinch
