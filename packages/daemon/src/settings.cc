#include "medlarwinch/daemon/settings.h"

#include "medlarwinch/protocol/yaml_reader.h"
#include "medlarwinch/transport/text_file.h"

namespace medlarwinch {
namespace {

constexpr int64_t kMaxSlots = 1'024;
constexpr double kMaxPlatformCallsPerSecond = 1'000;

AgentSettings ReadAgentSettings(YamlReader section) {
  AgentSettings agent;
  agent.service = section.RequiredString("service");
  agent.slots =
      static_cast<uint32_t>(section.Integer("slots", 1, 1, kMaxSlots));
  agent.upstream = section.RequiredEndpoint("upstream");
  agent.certificate_file = section.String("certificate_file", "");
  agent.private_key_file = section.String("private_key_file", "");
  if (agent.certificate_file.empty() != agent.private_key_file.empty()) {
    section.ReportError(
        "", "certificate_file and private_key_file must be set together");
  }
  return agent;
}

void ReadFleetKey(YamlReader& reader, FleetKey& key) {
  const std::string hex = reader.RequiredString("fleet_key");
  const Result<FleetKey> parsed = ParseFleetKey(hex);
  if (IsOk(parsed)) {
    key = ValueOf(parsed);
    return;
  }
  if (!hex.empty()) reader.ReportError("fleet_key", ErrorOf(parsed).message);
}

void ReadLogLevel(YamlReader& reader, std::string& level) {
  level = reader.String("log_level", level);
  for (const char* allowed : {"debug", "info", "warning", "error"}) {
    if (level == allowed) return;
  }
  reader.ReportError("log_level", "expected debug, info, warning or error");
}

}  // namespace

Result<Settings> ParseSettings(const std::string& file, const std::string& text,
                               bool is_agent) {
  YamlReader reader(file, text);
  Settings settings;
  settings.failure_domain = reader.RequiredString("failure_domain");
  ReadFleetKey(reader, settings.fleet_key);
  ReadLogLevel(reader, settings.log_level);
  settings.control = reader.RequiredEndpoint("control");
  settings.data = reader.RequiredEndpoint("data");
  settings.admin = reader.RequiredEndpoint("admin");
  settings.platform = reader.RequiredEndpoint("platform");
  settings.peers = reader.Endpoints("peers");
  settings.platform_calls_per_second = reader.Number(
      "platform_calls_per_second", settings.platform_calls_per_second, 0.01,
      kMaxPlatformCallsPerSecond);
  settings.name = reader.String("name", ToString(settings.control));
  if (is_agent) {
    if (!reader.Has("agent"))
      reader.ReportError("agent", "is required for an agent");
    settings.agent = ReadAgentSettings(reader.Section("agent"));
  }
  const Result<Ok> finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return settings;
}

Result<Settings> LoadSettings(const std::string& file, bool is_agent) {
  const Result<std::string> text = ReadTextFile(file);
  if (!IsOk(text)) return ErrorOf(text);
  return ParseSettings(file, ValueOf(text), is_agent);
}

}  // namespace medlarwinch
