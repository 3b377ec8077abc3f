#pragma once

#include <cstdint>

#include "medlarwinch/node/node_settings.h"
#include "medlarwinch/node/platform_adapter.h"

namespace medlarwinch {

/// Takes changed settings over while a node runs. Addresses, names and the
/// service take effect at the next start only; a file that can't be read leaves
/// the running settings in force. Every outcome is one log line.
class SettingsReloader {
 public:
  /// `settings` and `ports` belong to the node and outlive this object.
  SettingsReloader(NodeSettings& settings, const PlatformAdapter& platform);

  /// Reads the file now, at the request of a signal.
  void Reload();

  /// Reads the file if it has changed since it was last read.
  void ReloadIfChanged();

 private:
  NodeSettings& settings_;
  const PlatformAdapter& platform_;
  uint64_t last_stamp_;
};

/// Time between two looks at the settings file, which may change without a
/// signal.
inline constexpr Millis kSettingsCheckInterval{2'000};

}  // namespace medlarwinch
