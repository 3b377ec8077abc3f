#include "medlarwinch/node/log_budget.h"

#include <utility>

namespace medlarwinch {

bool LogBudget::Allows(const char* event, double per_second, TimePoint now) {
  const auto [position, is_new] = budgets_.try_emplace(
      event, CallBudget{per_second, per_second, per_second, now});
  const CallAdmission admission = AdmitCall(position->second, now);
  position->second = admission.budget;
  if (admission.wait <= Millis{0}) return true;
  ++suppressed_[event];
  return false;
}

std::map<std::string, uint64_t> LogBudget::TakeSuppressed() {
  return std::exchange(suppressed_, {});
}

}  // namespace medlarwinch
