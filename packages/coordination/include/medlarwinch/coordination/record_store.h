#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Prefix of the records that are service documents.
inline constexpr char kDocumentPrefix[] = "config/";
/// Name of the record that holds the key ring.
inline constexpr char kKeyRingName[] = "keys/ring";

/// What is known of one record.
struct RecordState {
  /// Version in force; 0 before one was accepted.
  uint64_t version = 0;
  /// Text in force; null before one was accepted. Copies of the store share it.
  std::shared_ptr<const std::string> text;
  /// Highest version whose text was invalid.
  uint64_t rejected_version = 0;
};

/// The records of the platform that this process holds.
struct RecordStore {
  std::map<std::string, RecordState> records;
};

/// Outcome of an offered record.
struct ApplyRecordOutcome {
  RecordStore store;
  /// True when the version is now in force.
  bool accepted = false;
  /// What must be accounted for.
  std::vector<AccountEntry> decisions;
};

/// True for names that this process distributes.
bool IsRecordName(const std::string& name);

/// Service of a document's name; empty for another name.
std::string ServiceOfRecord(const std::string& name);

/// Version in force, 0 when there is none.
uint64_t ActiveVersion(const RecordStore& store, const std::string& name);

/// True when `announced` is above what is in force and was not found invalid.
bool ShouldFetch(const RecordStore& store, const RecordVersion& announced);

/// Takes a record from the platform or a peer. Versions only go up. `error` is
/// set when the text is invalid: it is reported once for each version and the
/// previous text stays in force. `source` says where the record came from.
ApplyRecordOutcome ApplyRecord(RecordStore store, const Record& record,
                               const std::optional<Error>& error,
                               const std::string& source);

/// Versions in force, ordered by name.
std::vector<RecordVersion> ActiveVersions(const RecordStore& store);

/// The records asked for, within the bounds of a FetchReply.
std::vector<Record> SelectRecords(const RecordStore& store,
                                  const FetchRequest& request);

}  // namespace medlarwinch
