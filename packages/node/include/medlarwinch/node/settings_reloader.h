#pragma once

#include <cstdint>

#include "medlarwinch/node/node_settings.h"
#include "medlarwinch/node/platform_adapter.h"

namespace medlarwinch {

/// Applies changes of the settings file to a running node. Changed addresses,
/// names and service need a restart; if the file can't be read, the current
/// settings stay in effect. Every reload logs one line with its outcome.
class SettingsReloader {
 public:
  /// `settings` and `platform` belong to the node and must outlive this object.
  SettingsReloader(NodeSettings& settings, const PlatformAdapter& platform);

  /// Reloads the file unconditionally; called on SIGHUP.
  void Reload();

  /// Reloads the file if it has changed since it was last read.
  void ReloadIfChanged();

 private:
  NodeSettings& settings_;
  const PlatformAdapter& platform_;
  uint64_t last_stamp_;
};

/// Interval at which the settings file is checked for changes, which may come
/// without a signal.
inline constexpr Millis kSettingsCheckInterval{2'000};

}  // namespace medlarwinch
