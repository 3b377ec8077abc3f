#include "medlarwinch/daemon/record_parser.h"

#include <utility>

#include "medlarwinch/coordination/control_plane/record_store.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

void ParseRing(ParsedRecord& parsed) {
  Result<KeyRing> ring = ParseKeyRing(parsed.received.record.text);
  if (IsOk(ring)) {
    parsed.ring = TakeValue(std::move(ring));
  } else {
    parsed.received.error = ErrorOf(ring);
  }
}

void ParseDocument(ParsedRecord& parsed) {
  const Record& record = parsed.received.record;
  Result<ServiceDocument> document =
      ParseServiceDocument(record.name, record.text);
  if (!IsOk(document)) {
    parsed.received.error = ErrorOf(document);
    return;
  }
  const std::string service = ServiceOfRecord(record.name);
  if (ValueOf(document).service != service) {
    parsed.received.error =
        Error{ErrorCode::kInvalidInput,
              record.name + ": service: is \"" + ValueOf(document).service +
                  "\", but the object's key names \"" + service + "\""};
    return;
  }
  parsed.received.health = ValueOf(document).health;
  parsed.document = TakeValue(std::move(document));
}

}  // namespace

ParsedRecord ParseRecord(const Record& record, const std::string& source,
                         bool is_from_platform) {
  ParsedRecord parsed;
  parsed.received.record = record;
  parsed.received.source = source;
  parsed.received.is_from_platform = is_from_platform;
  if (record.text.size() > kMaxRecordBytes) {
    parsed.received.error =
        Error{ErrorCode::kLimitExceeded,
              record.name + ": has " + std::to_string(record.text.size()) +
                  " bytes; at most " + std::to_string(kMaxRecordBytes) +
                  " are allowed"};
  } else if (record.name == kKeyRingName) {
    ParseRing(parsed);
  } else {
    ParseDocument(parsed);
  }
  return parsed;
}

}  // namespace medlarwinch
