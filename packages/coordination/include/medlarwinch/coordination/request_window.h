#pragma once

#include <cstdint>

namespace medlarwinch {

/// The request numbers of one flow that have been taken, in 16 bytes: every
/// number below `base` and those marked in `taken`. It forgets nothing, so a
/// packet that arrives again never runs a request again.
struct RequestWindow {
  uint32_t base = 0;
  /// Bit i stands for the number base + i.
  uint64_t seen = 0;

  friend bool operator==(const RequestWindow&, const RequestWindow&) = default;
};

/// Numbers that one window can tell apart.
inline constexpr uint32_t kRequestWindowBits = 64;

struct WindowStep {
  RequestWindow window;
  /// False when the number was taken before, or is so far below the highest one
  /// that it counts as taken.
  bool is_new = false;

  friend bool operator==(const WindowStep&, const WindowStep&) = default;
};

/// Takes `number`. Numbers more than 63 below the highest one count as taken:
/// such a request is never run, and its caller gets no answer.
WindowStep AcceptRequestNumber(RequestWindow window, uint32_t number);

}  // namespace medlarwinch
