#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Prefix of the records that are service documents.
inline constexpr char kDocumentPrefix[] = "config/";
/// Name of the record that holds the key ring.
inline constexpr char kKeyRingName[] = "keys/ring";

/// State of one record.
struct RecordState {
  /// Active version; 0 before a version was accepted.
  uint64_t version = 0;
  /// Text of the active version; null before a version was accepted. Copies of
  /// the store share it.
  std::shared_ptr<const std::string> text;
  /// Highest version that was rejected because its text is invalid.
  uint64_t rejected_version = 0;
};

/// This process's copies of the platform's records.
struct RecordStore {
  std::map<std::string, RecordState> records;
};

/// Result of ApplyRecord().
struct ApplyRecordOutcome {
  RecordStore store;
  /// True when the record's version became the active one.
  bool accepted = false;
  /// Decisions to record in the account.
  std::vector<AccountEntry> decisions;
};

/// True for the names of records that this process distributes.
bool IsRecordName(const std::string& name);

/// Service name in the name of a document record; empty for other records.
std::string ServiceOfRecord(const std::string& name);

/// Active version of a record; 0 when there is none.
uint64_t ActiveVersion(const RecordStore& store, const std::string& name);

/// True when `announced` is above the active version and was not rejected as
/// invalid.
bool ShouldFetch(const RecordStore& store, const RecordVersion& announced);

/// Applies a record from the platform or a peer. Versions only increase.
/// `error` is set when the text is invalid: this is reported once per version,
/// and the previous text stays active. `source` is the origin of the record.
ApplyRecordOutcome ApplyRecord(RecordStore store, const Record& record,
                               const std::optional<Error>& error,
                               const std::string& source);

/// Active versions of all records, ordered by name.
std::vector<RecordVersion> ActiveVersions(const RecordStore& store);

/// The requested records, at most kMaxFetchedRecords.
std::vector<Record> SelectRecords(const RecordStore& store,
                                  const FetchRequest& request);

}  // namespace medlarwinch
