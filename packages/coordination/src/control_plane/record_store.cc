#include "medlarwinch/coordination/control_plane/record_store.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace medlarwinch {
namespace {

AccountEntry MakeDecision(const Record& record, const std::string& action,
                          const std::string& rule, const std::string& source) {
  AccountEntry entry;
  entry.action = action;
  entry.service = ServiceOfRecord(record.name);
  entry.subject = record.name;
  entry.reason.rule = rule;
  entry.reason.document = entry.service;
  entry.reason.document_version = record.version;
  entry.reason.facts["source"] = source;
  return entry;
}

}  // namespace

bool IsRecordName(const std::string& name) {
  return name == kKeyRingName || !ServiceOfRecord(name).empty();
}

std::string ServiceOfRecord(const std::string& name) {
  constexpr std::string_view kPrefix = kDocumentPrefix;
  if (name.compare(0, kPrefix.size(), kPrefix) != 0) return "";
  return name.substr(kPrefix.size());
}

uint64_t ActiveVersion(const RecordStore& store, const std::string& name) {
  const std::map<std::string, RecordState>::const_iterator found =
      store.records.find(name);
  return found == store.records.end() ? 0 : found->second.version;
}

bool ShouldFetch(const RecordStore& store, const RecordVersion& announced) {
  if (!IsRecordName(announced.name)) return false;
  const std::map<std::string, RecordState>::const_iterator found =
      store.records.find(announced.name);
  if (found == store.records.end()) return announced.version > 0;
  const RecordState& state = found->second;
  return announced.version > std::max(state.version, state.rejected_version);
}

ApplyRecordOutcome ApplyRecord(RecordStore store, const Record& record,
                               const std::optional<Error>& error,
                               const std::string& source) {
  ApplyRecordOutcome outcome;
  outcome.store = std::move(store);
  if (!ShouldFetch(outcome.store, RecordVersion{record.name, record.version})) {
    return outcome;
  }
  RecordState& state = outcome.store.records[record.name];
  AccountEntry decision;
  if (error.has_value()) {
    state.rejected_version = record.version;
    decision =
        MakeDecision(record, "reject_record", "invalid_record_text", source);
    decision.reason.facts["error"] = error->message;
  } else {
    decision = MakeDecision(record, "accept_record", "higher_version", source);
    outcome.accepted = true;
  }
  decision.reason.facts["previous_version"] = std::to_string(state.version);
  if (outcome.accepted) {
    state.version = record.version;
    state.text = std::make_shared<const std::string>(record.text);
  }
  outcome.decisions.push_back(std::move(decision));
  return outcome;
}

std::vector<RecordVersion> ActiveVersions(const RecordStore& store) {
  std::vector<RecordVersion> versions;
  for (const auto& [name, state] : store.records) {
    if (state.version == 0) continue;
    versions.push_back(RecordVersion{name, state.version});
  }
  return versions;
}

std::vector<Record> SelectRecords(const RecordStore& store,
                                  const FetchRequest& request) {
  std::vector<Record> selected;
  for (const auto& [name, state] : store.records) {
    if (state.version == 0) continue;
    const bool is_named = std::find(request.names.begin(), request.names.end(),
                                    name) != request.names.end();
    if (!request.all_records && !is_named) continue;
    if (selected.size() == kMaxFetchedRecords) break;
    selected.push_back(Record{name, state.version, *state.text});
  }
  return selected;
}

}  // namespace medlarwinch
