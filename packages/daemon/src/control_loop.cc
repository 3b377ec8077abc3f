#include "medlarwinch/daemon/control_loop.h"

#include <utility>

#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/coordination/control_plane/record_store.h"
#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Publishing copies the members and documents. The interval between two views
// grows with their number, which bounds the share of a core spent on copying.
constexpr Millis kMinPublishInterval{50};
constexpr int64_t kItemsPerPublishMillisecond = 50;
// The means change continuously and are only a hint to agents.
constexpr Millis kMeanPublishInterval{1'000};

std::string JoinFacts(const std::map<std::string, std::string>& facts) {
  std::string text;
  for (const auto& [name, value] : facts) {
    if (!text.empty()) text += ' ';
    text += name + "=" + value;
  }
  return text;
}

}  // namespace

FetchReply MakeFetchReply(const FetchSnapshot& snapshot,
                          const FetchRequest& request) {
  FetchReply reply;
  if (snapshot.records != nullptr) {
    reply.records = SelectRecords(*snapshot.records, request);
  }
  if (snapshot.view == nullptr) return reply;
  MemberTable table;
  for (const auto& [id, entry] : snapshot.view->members) {
    if (request.members && reply.members.size() < kMaxFetchedMembers) {
      reply.members.push_back(entry);
    }
    if (!request.roster_of.empty()) table.members[id].entry = entry;
  }
  if (!request.roster_of.empty()) {
    reply.roster = RosterOf(table, request.roster_of);
  }
  return reply;
}

ControlLoop::ControlLoop(const Settings& settings, ControlPlaneHooks hooks,
                         ControlLoopOutputs outputs, Metrics& metrics,
                         uint64_t seed)
    : settings_(settings),
      hooks_(std::move(hooks)),
      outputs_(std::move(outputs)),
      metrics_(metrics),
      random_(seed),
      keys_(std::make_shared<const KeySet>(settings.fleet_key, KeyRing{})) {}

std::optional<Millis> ControlLoop::PublishIfDue(TimePoint now) {
  if (!view_changed_ && !means_changed_) return std::nullopt;
  const Millis interval =
      view_changed_ ? publish_interval_ : kMeanPublishInterval;
  const Millis since = now - last_publish_;
  if (last_publish_.value >= 0 && since < interval) return interval - since;
  std::shared_ptr<ControlView> view = std::make_shared<ControlView>();
  view->sequence = ++sequence_;
  view->documents = documents_;
  view->keys = keys_;
  view->key_ring_version = key_ring_version_;
  view->last_platform_response = last_platform_response_;
  FillView(*view);
  if (records_changed_) records_ = CopyRecords();
  records_changed_ = false;
  view_changed_ = false;
  means_changed_ = false;
  last_publish_ = now;
  const size_t items = view->members.size() + view->documents.size();
  publish_interval_ = kMinPublishInterval + Millis{static_cast<int64_t>(items) /
                                                   kItemsPerPublishMillisecond};
  metrics_.Set("medlarwinch_control_members", {},
               static_cast<double>(view->members.size()));
  metrics_.Set("medlarwinch_control_doubtful_members", {},
               static_cast<double>(view->doubtful.size()));
  outputs_.publish(FetchSnapshot{view, records_});
  return std::nullopt;
}

std::vector<ParsedRecord> ControlLoop::ParseRecords(
    const std::vector<Record>& records, const std::string& source,
    bool is_from_platform) const {
  std::vector<ParsedRecord> parsed;
  for (const Record& record : records) {
    if (!IsRecordName(record.name)) continue;
    parsed.push_back(ParseRecord(record, source, is_from_platform));
  }
  return parsed;
}

std::vector<ReceivedRecord> ControlLoop::ToReceivedRecords(
    const std::vector<ParsedRecord>& parsed) {
  std::vector<ReceivedRecord> received_records;
  received_records.reserve(parsed.size());
  for (const ParsedRecord& record : parsed)
    received_records.push_back(record.received);
  return received_records;
}

void ControlLoop::ApplyAcceptedRecords(std::vector<ParsedRecord> parsed,
                                       const RecordStore& store) {
  for (ParsedRecord& item : parsed) {
    const Record& record = item.received.record;
    if (item.received.error.has_value()) continue;
    if (ActiveVersion(store, record.name) != record.version) continue;
    records_changed_ = true;
    view_changed_ = true;
    if (item.ring.has_value() && record.version != key_ring_version_) {
      keys_ = std::make_shared<const KeySet>(settings_.fleet_key, *item.ring);
      key_ring_version_ = record.version;
    }
    if (item.document.has_value()) {
      documents_[ServiceOfRecord(record.name)] =
          VersionedDocument{record.version, std::move(*item.document)};
    }
  }
}

void ControlLoop::ExecuteActions(ControlActions actions) {
  for (const Decision& decision : actions.decisions) RecordDecision(decision);
  for (const OutgoingMessage& message : actions.messages) {
    outputs_.send(message.to, message.message);
  }
  for (OutgoingFetch& fetch : actions.fetches) {
    outputs_.fetch(std::move(fetch));
  }
  view_changed_ = view_changed_ || actions.view_changed;
  means_changed_ = means_changed_ || actions.means_changed;
}

void ControlLoop::RecordPlatformResult(const PlatformJobResult& result,
                                       TimePoint now) {
  metrics_.Add("medlarwinch_control_platform_jobs_total",
               {{"result", result.error.has_value() ? "error" : "ok"}});
  if (result.error.has_value()) {
    Log(LogLevel::kWarning, "platform_call_failed",
        {{"error", ErrorCodeName(result.error->code)},
         {"message", result.error->message}});
    return;
  }
  last_platform_response_ = now;
}

UpstreamLoad ControlLoop::CurrentLoad() const {
  return hooks_.load ? hooks_.load() : UpstreamLoad{};
}

void ControlLoop::RecordDecision(const Decision& decision) {
  const AccountEntry& entry = decision.entry;
  Log(LogLevel::kInfo, entry.action,
      {{"service", entry.service},
       {"subject", entry.subject},
       {"rule", entry.reason.rule},
       {"document", entry.reason.document},
       {"document_version",
        static_cast<int64_t>(entry.reason.document_version)},
       {"path", entry.reason.path},
       {"facts", JoinFacts(entry.reason.facts)}});
  metrics_.Add("medlarwinch_control_decisions_total",
               {{"action", entry.action}});
  if (decision.is_accounted && hooks_.record_account_entry)
    hooks_.record_account_entry(entry);
}

}  // namespace medlarwinch
