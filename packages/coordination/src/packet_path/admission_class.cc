#include "medlarwinch/coordination/packet_path/admission_class.h"

#include <algorithm>

namespace medlarwinch {

AdmissionClass ClassOf(const RouteTerms& terms) {
  const uint8_t last = kAdmissionPriorities - 1;
  return AdmissionClass{terms.kind, std::min(terms.priority, last)};
}

size_t ClassIndex(const AdmissionClass& admission_class) {
  return static_cast<size_t>(admission_class.kind) * kAdmissionPriorities +
         admission_class.priority;
}

AdmissionClass ClassAt(size_t index) {
  return AdmissionClass{static_cast<RequestKind>(index / kAdmissionPriorities),
                        static_cast<uint8_t>(index % kAdmissionPriorities)};
}

bool IsMoreUrgent(const AdmissionClass& a, const AdmissionClass& b) {
  if (a.priority != b.priority) return a.priority < b.priority;
  if (MayRepeat(a.kind) != MayRepeat(b.kind)) return !MayRepeat(a.kind);
  return !IsLongRequest(a.kind) && IsLongRequest(b.kind);
}

bool MayRepeat(RequestKind kind) {
  return kind != RequestKind::kUnsafe && kind != RequestKind::kUpload;
}

bool IsLongRequest(RequestKind kind) {
  return kind == RequestKind::kDownload || kind == RequestKind::kUpload;
}

}  // namespace medlarwinch
