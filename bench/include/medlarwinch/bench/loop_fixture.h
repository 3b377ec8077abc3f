#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "medlarwinch/daemon/control_loop.h"

namespace medlarwinch {

/// The control loop of a balancer in a region at the design scale, without its
/// sockets; `documents` documents are in force.
class LoopFixture {
 public:
  explicit LoopFixture(uint32_t documents);

  /// Takes a change of one agent and publishes the view.
  void PublishChange();

  const ControlView& view() const { return *current_.view; }

 private:
  Metrics metrics_;
  std::unique_ptr<ControlLoop> loop_;
  FetchSnapshot current_;
  // What readers still hold of the view before.
  FetchSnapshot previous_;
  TimePoint now_{100'000};
  uint32_t changes_ = 0;
};

}  // namespace medlarwinch
