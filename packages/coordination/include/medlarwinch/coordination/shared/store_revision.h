#pragma once

#include <compare>
#include <cstdint>

namespace medlarwinch {

/// A point in the history of the platform's metadata store.
///
/// A store that is restored from an older copy gives out its latest revision
/// numbers again. Its era rises with each restoration, so every revision of a
/// later era is newer, and equal numbers of two eras may name different
/// changes.
struct StoreRevision {
  /// 0 for a store that reports no era.
  uint64_t era = 0;
  /// 0 when unknown.
  uint64_t number = 0;

  friend auto operator<=>(const StoreRevision&, const StoreRevision&) = default;
};

}  // namespace medlarwinch
