#include "medlarwinch/standins/load_generator_settings.h"

#include "medlarwinch/protocol/yaml_reader.h"

namespace medlarwinch {
namespace {

constexpr int64_t kMaxFlows = 1'000'000;
constexpr int64_t kMaxMillis = 600'000;
constexpr int64_t kMaxDownload = 16 * 1'024 * 1'024;

void ReadLoadSettings(YamlReader& reader, LoadGeneratorSettings& settings) {
  const auto flows = [&](const char* name) {
    return reader.Integer(name, 0, 0, kMaxFlows);
  };
  const auto millis = [&](const char* name, int64_t fallback) {
    return reader.Integer(name, fallback, 1, kMaxMillis);
  };
  settings.feeds = flows("feeds");
  settings.uploaders = flows("uploaders");
  settings.downloaders = flows("downloaders");
  settings.echoers = flows("echoers");
  settings.duplicate_uploaders = flows("stubborn");
  settings.feed_interval_ms =
      millis("feed_interval_ms", settings.feed_interval_ms);
  settings.upload_interval_ms =
      millis("upload_interval_ms", settings.upload_interval_ms);
  settings.download_interval_ms =
      millis("download_interval_ms", settings.download_interval_ms);
  settings.echo_interval_ms =
      millis("echo_interval_ms", settings.echo_interval_ms);
  settings.download_bytes = reader.Integer(
      "download_bytes", settings.download_bytes, 0, kMaxDownload);
  settings.upload_work_ms =
      reader.Integer("upload_work_ms", -1, -1, kMaxMillis);
  settings.ramp_ms = millis("ramp_ms", settings.ramp_ms);
  settings.requests_per_flow =
      reader.Integer("requests_per_flow", 0, 0, kMaxFlows);
  settings.request_deadline_ms =
      millis("request_deadline_ms", settings.request_deadline_ms);
}

}  // namespace

Result<LoadGeneratorSettings> ParseLoadGeneratorSettings(
    const std::string& file, const std::string& text) {
  YamlReader reader(file, text);
  LoadGeneratorSettings settings;
  settings.targets = reader.Endpoints("targets");
  settings.local = reader.RequiredEndpoint("local");
  settings.sockets =
      static_cast<int>(reader.Integer("sockets", settings.sockets, 1, 16));
  settings.service = reader.RequiredString("service");
  settings.service_address = reader.RequiredEndpoint("service_address");
  settings.first_caller = reader.RequiredEndpoint("first_caller");
  settings.event_log = reader.RequiredString("event_log");
  settings.seed =
      static_cast<uint64_t>(reader.Integer("seed", 1, 0, INT64_MAX));
  settings.upload_path = reader.String("upload_path", settings.upload_path);
  settings.download_path =
      reader.String("download_path", settings.download_path);
  settings.tenant = reader.String("tenant", "");
  ReadLoadSettings(reader, settings);
  const Result<Ok> finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return settings;
}

}  // namespace medlarwinch
