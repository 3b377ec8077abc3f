#pragma once

#include <cstdint>

namespace medlarwinch {

/// Replay window over the request numbers of one flow, in 16 bytes: every
/// number below `base` and those marked in `seen` have been accepted. No number
/// leaves the window, so a replayed packet never runs a request again.
struct RequestWindow {
  uint32_t base = 0;
  /// Bit i stands for the number base + i.
  uint64_t seen = 0;

  friend bool operator==(const RequestWindow&, const RequestWindow&) = default;
};

/// Width of the window.
inline constexpr uint32_t kRequestWindowBits = 64;

struct WindowStep {
  RequestWindow window;
  /// False when the number was accepted before, or is so far below the highest
  /// one that it counts as seen.
  bool is_new = false;

  friend bool operator==(const WindowStep&, const WindowStep&) = default;
};

/// Accepts `number` unless it was seen before. Numbers more than 63 below the
/// highest one count as seen: such a request is never run, and its caller gets
/// no response.
WindowStep AcceptRequestNumber(RequestWindow window, uint32_t number);

}  // namespace medlarwinch
