#pragma once

#include <optional>
#include <string>

#include "medlarwinch/coordination/control_plane/control_actions.h"
#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// A record with its parsed contents.
struct ParsedRecord {
  ReceivedRecord received;
  /// Set for a valid `config/<service>`.
  std::optional<ServiceDocument> document;
  /// Set for a valid `keys/ring`.
  std::optional<KeyRing> ring;
};

/// Parses the text of a record. Sets `received.error` if the text is invalid,
/// is longer than kMaxRecordBytes, or is a document of a service other than the
/// one in the record's name.
ParsedRecord ParseRecord(const Record& record, const std::string& source,
                         bool is_from_platform);

}  // namespace medlarwinch
