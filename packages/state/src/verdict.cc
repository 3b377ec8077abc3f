#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

const char* VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "unknown";
}

}  // namespace medlarwinch
