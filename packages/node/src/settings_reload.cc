#include "medlarwinch/node/settings_reload.h"

#include "medlarwinch/transport/log.h"

namespace medlarwinch {
namespace {

// The running settings with those of `changed` that take effect at once.
NodeSettings MergeChanged(NodeSettings running, const NodeSettings& changed) {
  running.beat_interval = changed.beat_interval;
  running.stop_grace = changed.stop_grace;
  return running;
}

}  // namespace

SettingsReload::SettingsReload(NodeSettings& settings,
                               const PlatformAdapter& platform)
    : settings_(settings),
      platform_(platform),
      stamp_(platform.settings_file_stamp()) {}

void SettingsReload::ReloadIfChanged() {
  if (platform_.settings_file_stamp() == stamp_) return;
  Reload();
}

void SettingsReload::Reload() {
  stamp_ = platform_.settings_file_stamp();
  const Result<NodeSettings> read = platform_.read_settings();
  if (!IsOk(read)) {
    Log(LogLevel::kError, "reload",
        {{"outcome", "refused"}, {"message", ErrorOf(read).message}});
    return;
  }
  const NodeSettings merged = MergeChanged(settings_, ValueOf(read));
  const bool needs_restart = merged != ValueOf(read);
  const bool is_changed = merged != settings_;
  settings_ = merged;
  const char* outcome = needs_restart ? "needs_restart"
                        : is_changed  ? "taken_over"
                                      : "unchanged";
  Log(LogLevel::kInfo, "reload",
      {{"outcome", outcome},
       {"beat_interval_ms", settings_.beat_interval.value},
       {"stop_grace_ms", settings_.stop_grace.value}});
}

}  // namespace medlarwinch
