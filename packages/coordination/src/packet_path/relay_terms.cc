#include "medlarwinch/coordination/packet_path/relay_terms.h"

namespace medlarwinch {

const char* RequestKindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kUnspecified:
      return "unspecified";
    case RequestKind::kSafe:
      return "safe";
    case RequestKind::kUnsafe:
      return "unsafe";
    case RequestKind::kDownload:
      return "download";
    case RequestKind::kUpload:
      return "upload";
  }
  return "unspecified";
}

}  // namespace medlarwinch
