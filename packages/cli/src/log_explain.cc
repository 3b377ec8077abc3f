#include "medlarwinch/cli/log_explain.h"

#include <algorithm>
#include <set>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// How long other processes may still act on an upstream after its successor's
// first record: until the timeout after which they consider it lost, and
// until its store entry is removed.
constexpr Millis kStaleReferenceWindow{15'000};

// A name of the subject, and the time in which it referred to the subject.
struct SubjectAlias {
  std::string name;
  TimePoint since;
  TimePoint until;
};

// All names of the subject, including the one in the query.
struct SubjectAliases {
  std::vector<SubjectAlias> entries;
  /// True when the subject is an upstream id and not an address or process that
  /// successive upstreams share.
  bool is_upstream = false;
};

bool HasFieldValue(const LogRecord& record, const std::string& name) {
  if (record.process == name) return true;
  return std::any_of(record.fields.begin(), record.fields.end(),
                     [&](const auto& field) { return field.second == name; });
}

// Returns the name of an address's store entry: "10.1.0.8-8172" for
// "10.1.0.8:8172".
std::string StoreEntryName(std::string address) {
  std::replace(address.begin(), address.end(), ':', '-');
  return address;
}

// Returns the subject's own name and, for an upstream, the names of its agent
// during the time it ran there: other processes log the agent's address for it.
SubjectAliases FindAliases(const LogCollection& logs, const LogQuery& query) {
  SubjectAliases aliases;
  aliases.entries = {SubjectAlias{query.subject, query.since, query.until}};
  std::map<std::string, SubjectAlias> agents;
  for (const LogRecord& record : logs.records) {
    if (record.event != "upstream_phase") continue;
    const std::string upstream = FieldOf(record, "upstream");
    if (upstream == query.subject) {
      agents.try_emplace(record.process,
                         SubjectAlias{"", record.time, query.until});
      continue;
    }
    const auto found = agents.find(record.process);
    if (upstream.empty() || found == agents.end()) continue;
    found->second.until =
        std::min(found->second.until, record.time + kStaleReferenceWindow);
  }
  aliases.is_upstream = !agents.empty();
  for (const LogRecord& record : logs.records) {
    if (record.event != "start" || FieldOf(record, "role") != "agent") continue;
    const std::string relay = FieldOf(record, "relay");
    const bool matches_subject = query.subject == relay ||
                                 query.subject == record.process ||
                                 query.subject == FieldOf(record, "upstream");
    const auto found = agents.find(record.process);
    if (!matches_subject && found == agents.end()) continue;
    const SubjectAlias active_period =
        matches_subject ? SubjectAlias{"", query.since, query.until}
                        : found->second;
    for (const std::string& name :
         {relay, StoreEntryName(relay), record.process}) {
      aliases.entries.push_back(
          SubjectAlias{name, active_period.since, active_period.until});
    }
  }
  return aliases;
}

bool IsFlow(const std::string& subject) {
  return subject.find('>') != std::string::npos;
}

bool MatchesFlow(const LogRecord& record, const std::string& subject) {
  const std::string flow = FieldOf(record, "flow");
  return flow == subject || flow.rfind(subject + ">", 0) == 0;
}

bool MatchesSubject(const LogRecord& record, const LogQuery& query,
                    const SubjectAliases& aliases) {
  if (MatchesFlow(record, query.subject)) return true;
  const size_t equals = query.subject.find('=');
  if (equals != std::string::npos) {
    return FieldOf(record, query.subject.substr(0, equals)) ==
           query.subject.substr(equals + 1);
  }
  // Records about single flows are left out: there are so many that the state
  // changes of the subject would be hard to find among them.
  if (record.fields.count("flow") != 0) return false;
  const std::string upstream = FieldOf(record, "upstream");
  const bool is_other_upstream = record.event == "upstream_phase" &&
                                 !upstream.empty() && aliases.is_upstream &&
                                 upstream != query.subject;
  if (is_other_upstream) return false;
  return std::any_of(aliases.entries.begin(), aliases.entries.end(),
                     [&](const SubjectAlias& alias) {
                       return record.time >= alias.since &&
                              record.time <= alias.until &&
                              HasFieldValue(record, alias.name);
                     });
}

// Returns which part of a process's state the record replaces; empty when the
// record does not change that state.
std::string StateKeyOf(const LogRecord& record) {
  if (record.event == "configuration_in_force") return "configuration";
  if (record.event == "store_lost" || record.event == "store_regained") {
    return "store " + FieldOf(record, "watch");
  }
  if (record.event == "agents_listed") return "agents";
  if (record.event == "start") return "start";
  if (record.event == "upstream_phase") {
    return "upstream " + FieldOf(record, "agent");
  }
  return "";
}

bool EndsOrRefusesFlow(const LogRecord& record) {
  return record.event == "flow_reset" || record.event == "packet_dropped" ||
         record.event == "flow_passed_on" || record.event == "opening_decided";
}

std::string DescribeReason(const LogRecord& record) {
  static const std::map<std::string, std::string> meanings = {
      {"nobody_holds",
       "every agent denied the flow, so its upstream has lost it"},
      {"upstream_restarted",
       "the upstream has a new incarnation, has left, or stopped sending "
       "heartbeats"},
      {"upstream_lost",
       "the upstream returned a packet of a flow it had owned"},
      {"no_route", "no route is configured for the address"},
      {"route_dropped", "the configuration in force removed the route"},
      {"no_upstream", "no upstream of the route could accept the flow"},
      {"left_to_next_copy",
       "no agent accepted the flow opening, or an earlier copy of it may have "
       "opened the flow; the caller is expected to retransmit it"},
      {"outdated_opening",
       "a copy of the flow opening came late: the flow was open, or the agent "
       "had been suspended until the caller's attempt was over"},
      {"outdated_refusal",
       "no agent took this copy of the flow opening, but another copy may have "
       "opened the flow"},
      {"no_upstream_yet", "the upstreams of the route were still starting"},
      {"owner_not_proved",
       "an agent did not answer, so the owner of the flow could not be "
       "determined"},
      {"route_not_known", "this process did not know the route"},
      {"other_service", "the agent's upstream belongs to another service"},
      {"not_ready", "the upstream was not ready: see `phase`"},
      {"unresponsive", "the upstream did not answer earlier flow openings"},
      {"busy",
       "the upstream was at capacity: compare `outstanding` with its slots"},
      {"bounced", "the upstream returned the flow opening"},
      {"evacuated",
       "the failure domain of the upstreams is evacuated: see "
       "`evacuations_in_force`"},
      {"terms_unknown",
       "the agent had just started and no balancer had told it which failure "
       "domains are evacuated"},
      {"cold_limit",
       "the upstream had just started and had got the flow openings that its "
       "service allows in a second"},
      {"returned",
       "the upstream returned the flow opening and no other agent was left to "
       "ask"},
      {"guaranteed_share",
       "taken before more urgent openings: its class had got less than its "
       "share"},
      {"late_with_room",
       "taken although its response will be late: it delays no other that can "
       "be in time"},
      {"room_at_next_copy",
       "the queue is expected to have room, in time, when the caller "
       "retransmits the opening"},
      {"burst_passes",
       "the overload is short: the queue is expected to have room, late, when "
       "the caller retransmits the opening"},
      {"kept_for_urgent",
       "the room that is left is kept for more urgent openings: compare "
       "`wait_ms` with `max_wait_ms`"},
      {"overloaded",
       "the queue is longer than the latency objective allows: compare "
       "`wait_ms` with `max_wait_ms`"},
      {"queue_full",
       "the places left in the upstream's queue are kept for the next requests "
       "of its open flows"},
      {"past_timeout", "the caller would have given up before the response"}};
  if (!EndsOrRefusesFlow(record)) return "";
  const auto found = meanings.find(FieldOf(record, "reason"));
  return found == meanings.end() ? "" : found->second;
}

// The state of an upstream is relevant only to its own agent's records and to
// records that name that agent.
bool IsRelevantState(const std::string& key, const LogRecord& record) {
  const std::string prefix = "upstream ";
  if (key.rfind(prefix, 0) != 0) return true;
  const std::string agent = key.substr(prefix.size());
  return agent.empty() || agent == FieldOf(record, "agent") ||
         agent == FieldOf(record, "to");
}

}  // namespace

LogExplanation ExplainFromLogs(const LogCollection& logs,
                               const LogQuery& query) {
  LogExplanation report;
  report.subject = query.subject;
  report.suppressed = logs.suppressed;
  const SubjectAliases aliases =
      IsFlow(query.subject) ? SubjectAliases{} : FindAliases(logs, query);
  std::set<std::string> other_names;
  for (const SubjectAlias& alias : aliases.entries) {
    if (alias.name != query.subject) other_names.insert(alias.name);
  }
  report.aliases.assign(other_names.begin(), other_names.end());
  std::map<std::string, std::map<std::string, const LogRecord*>> known_state;
  for (const LogRecord& record : logs.records) {
    const std::string key = StateKeyOf(record);
    // A process starts without the state of its previous run.
    if (key == "start") known_state[record.process].clear();
    if (!key.empty()) known_state[record.process][key] = &record;
    if (record.time < query.since || record.time > query.until) continue;
    if (!MatchesSubject(record, query, aliases)) continue;
    ExplainedRecord explained{record, {}, DescribeReason(record)};
    if (EndsOrRefusesFlow(record)) {
      for (const auto& [state_key, state] : known_state[record.process]) {
        if (!IsRelevantState(state_key, record)) continue;
        explained.known_state.push_back(
            KnownState{*state, record.time - state->time});
      }
    }
    report.records.push_back(std::move(explained));
  }
  return report;
}

ExitCode ExitCodeOf(const LogExplanation& report) {
  return report.records.empty() ? kExitFailed : kExitOk;
}

std::string FormatText(const LogExplanation& report) {
  std::string text = report.subject + ": " +
                     std::to_string(report.records.size()) + " records\n";
  for (const std::string& name : report.aliases) {
    text += "  also known as " + name + "\n";
  }
  for (const ExplainedRecord& explained : report.records) {
    text += FormatRecord(explained.record) + "\n";
    if (!explained.meaning.empty()) {
      text += "  means: " + explained.meaning + "\n";
    }
    for (const KnownState& state : explained.known_state) {
      text += "  knew for " + std::to_string(state.age.value) +
              " ms: " + FormatRecord(state.record) + "\n";
    }
  }
  return text + FormatSuppressed(report.suppressed);
}

nlohmann::json ToJson(const LogExplanation& report) {
  const auto to_json = [](const LogRecord& record) {
    return nlohmann::json{{"time", FormatTime(record.time)},
                          {"process", record.process},
                          {"event", record.event},
                          {"fields", record.fields}};
  };
  nlohmann::json records = nlohmann::json::array();
  for (const ExplainedRecord& explained : report.records) {
    nlohmann::json record = to_json(explained.record);
    record["meaning"] = explained.meaning;
    record["beliefs"] = nlohmann::json::array();
    for (const KnownState& state : explained.known_state) {
      record["beliefs"].push_back(
          {{"age_ms", state.age.value}, {"record", to_json(state.record)}});
    }
    records.push_back(record);
  }
  return {{"subject", report.subject},
          {"names", report.aliases},
          {"records", records},
          {"suppressed", report.suppressed}};
}

}  // namespace medlarwinch
