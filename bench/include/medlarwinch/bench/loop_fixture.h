#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "medlarwinch/daemon/control_loop.h"

namespace medlarwinch {

/// Control loop of a balancer in a region at the design scale, without sockets
/// and with `documents` active documents.
class LoopFixture {
 public:
  explicit LoopFixture(uint32_t documents);

  /// Handles a change of one agent and publishes the new view.
  void PublishChange();

  const ControlView& view() const { return *current_.view; }

 private:
  Metrics metrics_;
  std::unique_ptr<ControlLoop> loop_;
  FetchSnapshot current_;
  // Keeps the previous view alive, as readers do.
  FetchSnapshot previous_;
  TimePoint now_{100'000};
  uint32_t changes_ = 0;
};

}  // namespace medlarwinch
