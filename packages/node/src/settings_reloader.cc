#include "medlarwinch/node/settings_reloader.h"

#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// Returns `running` with the settings of `changed` that need no restart.
NodeSettings ApplyReloadableSettings(NodeSettings running,
                                     const NodeSettings& changed) {
  running.heartbeat_interval = changed.heartbeat_interval;
  running.stop_grace_period = changed.stop_grace_period;
  return running;
}

}  // namespace

SettingsReloader::SettingsReloader(NodeSettings& settings,
                                   const PlatformAdapter& platform)
    : settings_(settings),
      platform_(platform),
      last_stamp_(platform.settings_file_stamp()) {}

void SettingsReloader::ReloadIfChanged() {
  if (platform_.settings_file_stamp() == last_stamp_) return;
  Reload();
}

void SettingsReloader::Reload() {
  last_stamp_ = platform_.settings_file_stamp();
  const Result<NodeSettings> loaded = platform_.read_settings();
  if (!IsOk(loaded)) {
    Log(LogLevel::kError, "reload",
        {{"outcome", "refused"}, {"message", ErrorOf(loaded).message}});
    return;
  }
  const NodeSettings merged =
      ApplyReloadableSettings(settings_, ValueOf(loaded));
  const bool needs_restart = merged != ValueOf(loaded);
  const bool is_changed = merged != settings_;
  settings_ = merged;
  const char* outcome = needs_restart ? "needs_restart"
                        : is_changed  ? "taken_over"
                                      : "unchanged";
  Log(LogLevel::kInfo, "reload",
      {{"outcome", outcome},
       {"beat_interval_ms", settings_.heartbeat_interval.value},
       {"stop_grace_ms", settings_.stop_grace_period.value}});
}

}  // namespace medlarwinch
