#pragma once

#include <caf/fwd.hpp>
#include <memory>

#include "medlarwinch/daemon/settings.h"
#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/transport/metrics.h"

namespace medlarwinch {

/// Writes account entries of decisions to the platform. Entries are coalesced
/// by service and minute, writes are rate-limited, and a ring buffer in memory
/// bridges outages of the platform.
class AccountWriter {
 public:
  AccountWriter(caf::actor_system& system, const Settings& settings,
                Metrics& metrics);

  /// Flushes buffered entries for up to 2 s, then stops.
  ~AccountWriter();
  AccountWriter(const AccountWriter&) = delete;
  AccountWriter& operator=(const AccountWriter&) = delete;

  /// Queues one entry; never blocks. Sets `entry.process` and, when it is zero,
  /// `entry.time`.
  void Record(AccountEntry entry);

  /// Sets the number of daemons that share the platform's write limit.
  void SetDaemonCount(size_t count);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
