#include "medlarwinch/coordination/request_path/request_window.h"

namespace medlarwinch {

WindowStep AcceptRequestNumber(RequestWindow window, uint32_t number) {
  if (number < window.base) return WindowStep{window, false};
  uint32_t offset = number - window.base;
  if (offset >= kRequestWindowBits) {
    const uint32_t shift = offset - (kRequestWindowBits - 1);
    window.seen = shift >= kRequestWindowBits ? 0 : window.seen >> shift;
    window.base += shift;
    offset = kRequestWindowBits - 1;
  }
  const uint64_t bit = uint64_t{1} << offset;
  if ((window.seen & bit) != 0) return WindowStep{window, false};
  window.seen |= bit;
  return WindowStep{window, true};
}

}  // namespace medlarwinch
