#include "medlarwinch/coordination/request_window.h"

namespace medlarwinch {

WindowStep TakeRequestNumber(RequestWindow window, uint32_t number) {
  if (number < window.base) return WindowStep{window, false};
  uint32_t offset = number - window.base;
  if (offset >= kRequestWindowBits) {
    const uint32_t shift = offset - (kRequestWindowBits - 1);
    window.taken = shift >= kRequestWindowBits ? 0 : window.taken >> shift;
    window.base += shift;
    offset = kRequestWindowBits - 1;
  }
  const uint64_t bit = uint64_t{1} << offset;
  if ((window.taken & bit) != 0) return WindowStep{window, false};
  window.taken |= bit;
  return WindowStep{window, true};
}

}  // namespace medlarwinch
