#include "medlarwinch/cli/daemon_status.h"

#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "medlarwinch/transport/http_client.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr Millis kStatusTimeout{1'000};
constexpr int kHttpOk = 200;

std::string StringField(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

double NumberField(const Json& json, const char* name, double fallback) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number()) return fallback;
  return found->get<double>();
}

Endpoint EndpointField(const Json& json, const char* name) {
  const Result<Endpoint> endpoint = ParseEndpoint(StringField(json, name));
  return IsOk(endpoint) ? ValueOf(endpoint) : Endpoint{};
}

MemberPhase ParsePhase(const std::string& name) {
  for (const MemberPhase phase : {MemberPhase::kStarting, MemberPhase::kReady,
                                  MemberPhase::kDraining, MemberPhase::kLeft}) {
    if (name == MemberPhaseName(phase)) return phase;
  }
  return MemberPhase::kFailed;
}

ObservedMember ParseMember(const Json& json) {
  ObservedMember member;
  MemberEntry& entry = member.entry;
  entry.id = EndpointField(json, "id");
  entry.kind = StringField(json, "kind") == "balancer" ? MemberKind::kBalancer
                                                       : MemberKind::kAgent;
  entry.version.phase = ParsePhase(StringField(json, "phase"));
  entry.version.boot = static_cast<int64_t>(NumberField(json, "boot", 0));
  entry.version.incarnation =
      static_cast<uint32_t>(NumberField(json, "incarnation", 0));
  entry.service = StringField(json, "service");
  entry.failure_domain = StringField(json, "domain");
  entry.slots = static_cast<uint32_t>(NumberField(json, "slots", 0));
  entry.data = EndpointField(json, "data");
  entry.upstream = EndpointField(json, "upstream");
  const auto doubtful = json.find("doubtful");
  member.is_doubtful =
      doubtful != json.end() && doubtful->is_boolean() && doubtful->get<bool>();
  return member;
}

// Reads the fields that a daemon reports either at the top level or, for its
// control plane, in the object "control".
void ReadCommonFields(const Json& json, DaemonStatus& status) {
  const auto documents = json.find("documents");
  if (documents != json.end() && documents->is_object()) {
    for (const auto& [service, version] : documents->items()) {
      if (!version.is_number_unsigned()) continue;
      status.documents[service] = version.get<uint64_t>();
    }
  }
  const auto members = json.find("members");
  if (members != json.end() && members->is_array()) {
    for (const Json& member : *members) {
      if (member.is_object()) status.members.push_back(ParseMember(member));
    }
  }
  const auto means = json.find("means");
  if (means != json.end() && means->is_object()) {
    for (const auto& [service, mean] : means->items()) {
      if (mean.is_number()) status.flows_per_slot[service] = mean.get<double>();
    }
  }
  const double version = NumberField(json, "key_ring_version", 0);
  if (version > 0) status.key_ring_version = static_cast<uint64_t>(version);
  for (const char* name : {"platform_age_ms", "ms_since_platform_answer"}) {
    const double age = NumberField(json, name, -1);
    if (age >= 0) status.platform_age = Millis{static_cast<int64_t>(age)};
  }
}

void ReadIdentity(const Json& json, DaemonStatus& status) {
  if (status.id.empty()) status.id = StringField(json, "id");
  if (status.phase.empty()) status.phase = StringField(json, "phase");
  if (status.service.empty()) status.service = StringField(json, "service");
}

DaemonStatus FetchStatus(const Endpoint& admin) {
  DaemonStatus failure;
  failure.admin = admin;
  const Result<HttpResponse> response = SendHttpRequest(
      admin, HttpRequest{"GET", "/status", "", {}}, kStatusTimeout);
  if (!IsOk(response)) {
    failure.error = ErrorOf(response).message;
    return failure;
  }
  if (ValueOf(response).status != kHttpOk) {
    failure.error = "HTTP status " + std::to_string(ValueOf(response).status);
    return failure;
  }
  Result<DaemonStatus> status =
      ParseDaemonStatus(admin, ValueOf(response).body);
  if (IsOk(status)) return TakeValue(std::move(status));
  failure.error = ErrorOf(status).message;
  return failure;
}

}  // namespace

Result<DaemonStatus> ParseDaemonStatus(const Endpoint& admin,
                                       const std::string& text) {
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Error{ErrorCode::kInvalidInput,
                 "the status of " + ToString(admin) + " is not a JSON object"};
  }
  DaemonStatus status;
  status.admin = admin;
  ReadCommonFields(json, status);
  ReadIdentity(json, status);
  const auto control = json.find("control");
  if (control != json.end() && control->is_object()) {
    ReadCommonFields(*control, status);
    const auto self = control->find("self");
    if (self != control->end() && self->is_object())
      ReadIdentity(*self, status);
  }
  const auto drain = json.find("drain");
  if (drain != json.end() && drain->is_object()) {
    status.drain_trigger = StringField(*drain, "trigger");
    status.drain_elapsed =
        Millis{static_cast<int64_t>(NumberField(*drain, "elapsed_ms", 0))};
  }
  for (const auto& [name, value] : json.items()) {
    if (value.is_number()) status.numeric_fields[name] = value.get<double>();
  }
  return status;
}

Result<std::vector<Endpoint>> FindAdminAddresses(
    const CommandContext& context) {
  if (!context.admin.empty() || context.admin_port == 0) return context.admin;
  PlatformClient client = MakePlatformClient(context);
  const Result<std::vector<PlatformObject>> lists = client.List("bootstrap/");
  if (!IsOk(lists)) return ErrorOf(lists);
  std::set<Endpoint> addresses;
  for (const PlatformObject& list : ValueOf(lists)) {
    std::istringstream lines(list.value);
    for (std::string line; std::getline(lines, line);) {
      const Result<Endpoint> control = ParseEndpoint(line);
      if (!IsOk(control)) continue;
      addresses.insert(Endpoint{ValueOf(control).ip, context.admin_port});
    }
  }
  return std::vector<Endpoint>(addresses.begin(), addresses.end());
}

std::vector<DaemonStatus> FetchStatuses(
    const std::vector<Endpoint>& addresses) {
  std::vector<DaemonStatus> statuses;
  statuses.reserve(addresses.size());
  for (const Endpoint& admin : addresses) {
    statuses.push_back(FetchStatus(admin));
  }
  return statuses;
}

std::vector<ObservedMember> MergeMembers(
    const std::vector<DaemonStatus>& statuses) {
  std::map<Endpoint, ObservedMember> newest;
  for (const DaemonStatus& status : statuses) {
    for (const ObservedMember& member : status.members) {
      const auto [found, is_new] = newest.emplace(member.entry.id, member);
      if (is_new) continue;
      ObservedMember& known = found->second;
      const bool is_doubtful = known.is_doubtful || member.is_doubtful;
      if (known.entry.version < member.entry.version) known = member;
      known.is_doubtful = is_doubtful;
    }
  }
  std::vector<ObservedMember> members;
  members.reserve(newest.size());
  for (const auto& [id, member] : newest) members.push_back(member);
  return members;
}

}  // namespace medlarwinch
