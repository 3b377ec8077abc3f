#pragma once

#include <cstddef>
#include <cstdint>

#include "medlarwinch/coordination/packet_path/relay_terms.h"

namespace medlarwinch {

/// Number of priorities that are told apart; higher numbers count as the last.
inline constexpr uint8_t kAdmissionPriorities = 4;
inline constexpr size_t kAdmissionClasses =
    kRequestKinds * kAdmissionPriorities;

/// The openings of routes with the same kind and priority.
struct AdmissionClass {
  RequestKind kind = RequestKind::kUnspecified;
  uint8_t priority = 0;

  friend bool operator==(const AdmissionClass&,
                         const AdmissionClass&) = default;
};

AdmissionClass ClassOf(const RouteTerms& terms);
size_t ClassIndex(const AdmissionClass& admission_class);
/// Inverse of ClassIndex().
AdmissionClass ClassAt(size_t index);

/// Orders classes by priority, then requests that must not be repeated before
/// those that may, then short responses before long ones.
bool IsMoreUrgent(const AdmissionClass& a, const AdmissionClass& b);

/// Returns true if requests of this kind may be repeated after they may have
/// run.
bool MayRepeat(RequestKind kind);

/// Returns true if a flow of this kind carries one long request or response,
/// and no later ones.
bool IsLongRequest(RequestKind kind);

}  // namespace medlarwinch
