#include "medlarwinch/cli/log_explain.h"

#include <algorithm>
#include <set>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// How long after the successor's first line other processes may still act on
// what they heard of an upstream: the silence after which it is taken to be
// gone, and the removal of its entry.
constexpr Millis kStaleReferenceWindow{15'000};

// A name of the subject, and when it stood for it.
struct SubjectAlias {
  std::string name;
  TimePoint since;
  TimePoint until;
};

// All names of the subject.
struct SubjectAliases {
  std::vector<SubjectAlias> entries;
  /// The subject is an upstream's id, and not what it shares with others.
  bool is_upstream = false;
};

bool HasFieldValue(const LogRecord& record, const std::string& name) {
  if (record.process == name) return true;
  return std::any_of(record.fields.begin(), record.fields.end(),
                     [&](const auto& field) { return field.second == name; });
}

// "10.1.0.8:8172" as the name of an entry in the store.
std::string StoreEntryName(std::string address) {
  std::replace(address.begin(), address.end(), ':', '-');
  return address;
}

// The subject's own name and, for an upstream, those of its agent while it was
// there: processes that hear of it name it by the agent's address.
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
    const SubjectAlias span = matches_subject
                                  ? SubjectAlias{"", query.since, query.until}
                                  : found->second;
    for (const std::string& name :
         {relay, StoreEntryName(relay), record.process}) {
      aliases.entries.push_back(SubjectAlias{name, span.since, span.until});
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
  // Decisions about single flows would hide what was believed of the subject.
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

// Records that change what a process believes, by what they are about.
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
         record.event == "flow_passed_on";
}

std::string DescribeReason(const LogRecord& record) {
  static const std::map<std::string, std::string> meanings = {
      {"nobody_holds",
       "every agent denied the flow, so its upstream has lost it"},
      {"upstream_restarted",
       "the upstream has a new incarnation, has left, or went silent"},
      {"upstream_lost", "the upstream returned a packet of a flow it had held"},
      {"no_route", "no configuration names the address"},
      {"route_dropped", "the configuration in force dropped the route"},
      {"no_upstream", "no upstream of the route could take the flow"},
      {"left_to_next_copy",
       "no agent took the opening; the caller's next copy was awaited"},
      {"no_upstream_yet", "the upstreams of the route were starting"},
      {"owner_not_proved",
       "an agent did not answer, so that nobody could say who holds the flow"},
      {"route_not_known", "this process had not heard of the route"},
      {"other_service", "the agent's upstream belongs to another service"},
      {"not_ready", "the upstream was not ready: see `phase`"},
      {"unresponsive", "the upstream left earlier openings without an answer"},
      {"busy",
       "the upstream had no room: compare `outstanding` with its slots"},
      {"bounced", "the upstream returned the opening"}};
  if (!EndsOrRefusesFlow(record)) return "";
  const auto found = meanings.find(FieldOf(record, "reason"));
  return found == meanings.end() ? "" : found->second;
}

// The belief about an upstream matters only at its own agent and where the
// record names that agent.
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
    // Nothing from before a start is known to a process.
    if (key == "start") known_state[record.process].clear();
    if (!key.empty()) known_state[record.process][key] = &record;
    if (record.time < query.since || record.time > query.until) continue;
    if (!MatchesSubject(record, query, aliases)) continue;
    ExplainedRecord explained{record, {}, DescribeReason(record)};
    if (EndsOrRefusesFlow(record)) {
      for (const auto& [about, state] : known_state[record.process]) {
        if (!IsRelevantState(about, record)) continue;
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
