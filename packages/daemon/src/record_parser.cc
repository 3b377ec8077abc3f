#include "medlarwinch/daemon/record_parser.h"

#include <utility>

#include "medlarwinch/coordination/record_store.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

void ParseRing(ParsedRecord& parsed) {
  Result<KeyRing> ring = ParseKeyRing(parsed.offer.record.text);
  if (IsOk(ring)) {
    parsed.ring = TakeValue(std::move(ring));
  } else {
    parsed.offer.error = ErrorOf(ring);
  }
}

void ParseDocument(ParsedRecord& parsed) {
  const Record& record = parsed.offer.record;
  Result<ServiceDocument> document =
      ParseServiceDocument(record.name, record.text);
  if (!IsOk(document)) {
    parsed.offer.error = ErrorOf(document);
    return;
  }
  const std::string service = ServiceOfRecord(record.name);
  if (ValueOf(document).service != service) {
    parsed.offer.error =
        Error{ErrorCode::kInvalidInput,
              record.name + ": service: is \"" + ValueOf(document).service +
                  "\", but the object's key names \"" + service + "\""};
    return;
  }
  parsed.offer.health = ValueOf(document).health;
  parsed.document = TakeValue(std::move(document));
}

}  // namespace

ParsedRecord ParseRecord(const Record& record, const std::string& source,
                         bool is_from_platform) {
  ParsedRecord parsed;
  parsed.offer.record = record;
  parsed.offer.source = source;
  parsed.offer.is_from_platform = is_from_platform;
  if (record.text.size() > kMaxRecordBytes) {
    parsed.offer.error =
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
