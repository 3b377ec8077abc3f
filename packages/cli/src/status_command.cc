#include "medlarwinch/cli/status_command.h"

#include <algorithm>

#include "medlarwinch/cli/report_text.h"
#include "medlarwinch/coordination/control_plane/document_fields.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

std::optional<double> FindNumericField(const DaemonStatus& status,
                                       const std::string& name) {
  const auto found = status.numeric_fields.find(name);
  if (found == status.numeric_fields.end()) return std::nullopt;
  return found->second;
}

std::vector<UpstreamStatus> ListUpstreams(
    const std::vector<DaemonStatus>& daemons) {
  std::vector<UpstreamStatus> upstreams;
  for (const ObservedMember& member : MergeMembers(daemons)) {
    if (member.entry.kind != MemberKind::kAgent) continue;
    UpstreamStatus upstream;
    upstream.member = member;
    for (const DaemonStatus& daemon : daemons) {
      if (daemon.id == ToString(member.entry.id)) {
        upstream.flows = FindNumericField(daemon, "flows");
        upstream.requests = FindNumericField(daemon, "requests_in_flight");
        upstream.drain_trigger = daemon.drain_trigger;
        upstream.drain_elapsed = daemon.drain_elapsed;
      }
      for (const ObservedMember& seen : daemon.members) {
        const bool differs =
            seen.entry.id == member.entry.id &&
            seen.entry.version.phase != member.entry.version.phase;
        if (differs) ++upstream.differing_daemons;
      }
    }
    upstreams.push_back(upstream);
  }
  return upstreams;
}

void ReadPlatformDocuments(const CommandContext& context,
                           StatusReport& report) {
  if (context.platform.port == 0) {
    report.platform_error = "--platform is not set";
    return;
  }
  PlatformClient client = MakePlatformClient(context);
  const Result<std::vector<PlatformObject>> objects = client.List("config/");
  if (!IsOk(objects)) {
    report.platform_error = ErrorOf(objects).message;
    return;
  }
  for (const PlatformObject& object : ValueOf(objects)) {
    const std::string service = object.key.substr(DocumentKey("").size());
    report.platform_documents[service] = object.version;
  }
}

std::string FormatDocuments(const DaemonStatus& daemon,
                            const StatusReport& report) {
  std::string text;
  for (const auto& [service, version] : daemon.documents) {
    if (!text.empty()) text += " ";
    text += service + "=" + std::to_string(version);
    const auto newest = report.platform_documents.find(service);
    const bool is_behind =
        newest != report.platform_documents.end() && version < newest->second;
    if (is_behind) text += "(behind " + std::to_string(newest->second) + ")";
  }
  return text.empty() ? "-" : text;
}

std::string FormatAge(const std::optional<Millis>& age) {
  return age.has_value() ? std::to_string(age->value) + " ms" : "-";
}

std::string FormatLoad(const std::optional<double>& load) {
  return load.has_value() ? FormatNumber(*load) : "-";
}

// A draining upstream leaves once it has no requests in progress.
std::string FormatDrain(const UpstreamStatus& upstream) {
  if (upstream.member.entry.version.phase != MemberPhase::kDraining) return "-";
  if (!upstream.requests.has_value()) return "in progress";
  std::string text = FormatNumber(*upstream.requests) + " requests left";
  if (!upstream.drain_trigger.empty()) {
    text += " after " + std::to_string(upstream.drain_elapsed.value) +
            " ms, by " + upstream.drain_trigger;
  }
  return text;
}

std::string FormatDaemons(const StatusReport& report) {
  std::vector<std::vector<std::string>> rows = {
      {"ADMIN", "DAEMON", "PHASE", "PLATFORM AGE", "KEYS", "DOCUMENTS"}};
  for (const DaemonStatus& daemon : report.daemons) {
    if (!daemon.error.empty()) {
      rows.push_back(
          {ToString(daemon.admin), "-", "no answer", "-", "-", daemon.error});
      continue;
    }
    rows.push_back({ToString(daemon.admin), daemon.id, daemon.phase,
                    FormatAge(daemon.platform_age),
                    std::to_string(daemon.key_ring_version),
                    FormatDocuments(daemon, report)});
  }
  return FormatTable(rows);
}

std::string FormatUpstreams(const StatusReport& report) {
  std::vector<std::vector<std::string>> rows = {{"SERVICE", "AGENT", "UPSTREAM",
                                                 "DOMAIN", "SLOTS", "PHASE",
                                                 "FLOWS", "REQUESTS", "DRAIN"}};
  for (const UpstreamStatus& upstream : report.upstreams) {
    const MemberEntry& entry = upstream.member.entry;
    std::string phase = MemberPhaseName(entry.version.phase);
    if (upstream.member.is_doubtful) phase += " doubtful";
    if (upstream.differing_daemons > 0) {
      phase += " (" + std::to_string(upstream.differing_daemons) +
               " daemons differ)";
    }
    const bool has_listener = entry.upstream.port != 0;
    rows.push_back({entry.service, ToString(entry.id),
                    has_listener ? ToString(entry.upstream) : "-",
                    entry.failure_domain, std::to_string(entry.slots), phase,
                    FormatLoad(upstream.flows), FormatLoad(upstream.requests),
                    FormatDrain(upstream)});
  }
  return FormatTable(rows);
}

template <typename T>
Json OptionalJson(const std::optional<T>& value) {
  return value.has_value() ? Json(*value) : Json(nullptr);
}

Json DaemonJson(const DaemonStatus& daemon) {
  Json json = {{"admin", ToString(daemon.admin)}, {"error", daemon.error}};
  if (!daemon.error.empty()) return json;
  json["id"] = daemon.id;
  json["phase"] = daemon.phase;
  json["documents"] = daemon.documents;
  json["key_ring_version"] = daemon.key_ring_version;
  json["means"] = daemon.flows_per_slot;
  json["platform_age_ms"] = nullptr;
  if (daemon.platform_age.has_value()) {
    json["platform_age_ms"] = daemon.platform_age->value;
  }
  return json;
}

Json UpstreamJson(const UpstreamStatus& upstream) {
  const MemberEntry& entry = upstream.member.entry;
  return {{"service", entry.service},
          {"agent", ToString(entry.id)},
          {"upstream", ToString(entry.upstream)},
          {"domain", entry.failure_domain},
          {"slots", entry.slots},
          {"phase", MemberPhaseName(entry.version.phase)},
          {"doubtful", upstream.member.is_doubtful},
          {"differing_daemons", upstream.differing_daemons},
          {"drain_trigger", upstream.drain_trigger},
          {"drain_elapsed_ms", upstream.drain_elapsed.value},
          {"flows", OptionalJson(upstream.flows)},
          {"requests", OptionalJson(upstream.requests)}};
}

}  // namespace

Result<StatusReport> RunStatus(const CommandContext& context) {
  const Result<std::vector<Endpoint>> addresses = FindAdminAddresses(context);
  if (!IsOk(addresses)) return ErrorOf(addresses);
  if (ValueOf(addresses).empty()) {
    return Error{ErrorCode::kInvalidInput,
                 "no daemon address: pass --admin, or --platform and "
                 "--admin-port to query the balancers in the bootstrap lists"};
  }
  StatusReport report;
  report.daemons = FetchStatuses(ValueOf(addresses));
  report.upstreams = ListUpstreams(report.daemons);
  ReadPlatformDocuments(context, report);
  return report;
}

ExitCode ExitCodeOf(const StatusReport& report) {
  for (const DaemonStatus& daemon : report.daemons) {
    if (!daemon.error.empty()) return kExitUnavailable;
  }
  return kExitOk;
}

std::string FormatText(const StatusReport& report) {
  std::string text = FormatDaemons(report) + "\n" + FormatUpstreams(report);
  if (!report.platform_error.empty()) {
    text += "\nplatform could not be read: " + report.platform_error + "\n";
  }
  return text;
}

nlohmann::json ToJson(const StatusReport& report) {
  Json json = {{"daemons", Json::array()},
               {"upstreams", Json::array()},
               {"platform_documents", report.platform_documents},
               {"platform_error", report.platform_error}};
  for (const DaemonStatus& daemon : report.daemons) {
    json["daemons"].push_back(DaemonJson(daemon));
  }
  for (const UpstreamStatus& upstream : report.upstreams) {
    json["upstreams"].push_back(UpstreamJson(upstream));
  }
  return json;
}

}  // namespace medlarwinch
