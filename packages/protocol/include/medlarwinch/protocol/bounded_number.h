#pragma once

#include <algorithm>
#include <cereal/cereal.hpp>
#include <type_traits>

namespace medlarwinch {

/// Archive wrapper that limits a decoded number to a range.
template <typename Number>
struct ClampedNumber {
  Number& value;
  Number min;
  Number max;
};

/// Wraps `value` for an archive. A decoded value outside `min` to `max` becomes
/// the nearer bound, so that one wrong figure of a peer does not cost the rest
/// of its message, and arithmetic on it can't overflow.
template <typename Number>
ClampedNumber<Number> Clamped(Number& value, std::type_identity_t<Number> min,
                              std::type_identity_t<Number> max) {
  return ClampedNumber<Number>{value, min, max};
}

template <typename Archive, typename Number>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive,
                               const ClampedNumber<Number>& clamped) {
  archive(clamped.value);
}

template <typename Archive, typename Number>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive,
                               ClampedNumber<Number>& clamped) {
  archive(clamped.value);
  clamped.value = std::clamp(clamped.value, clamped.min, clamped.max);
}

}  // namespace medlarwinch
