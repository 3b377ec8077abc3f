#pragma once

#include <optional>
#include <string>

#include "medlarwinch/coordination/control_actions.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// A record with its parsed content.
struct ParsedRecord {
  ReceivedRecord offer;
  /// Set for a valid `config/<service>`.
  std::optional<ServiceDocument> document;
  /// Set for a valid `keys/ring`.
  std::optional<KeyRing> ring;
};

/// Parses the text of a record. A mistake, a text above kMaxRecordBytes, or a
/// document of another service than its name says sets `offer.error`.
ParsedRecord ParseRecord(const Record& record, const std::string& source,
                         bool is_from_platform);

}  // namespace medlarwinch
