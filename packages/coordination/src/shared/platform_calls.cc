#include "medlarwinch/coordination/shared/platform_calls.h"

#include <algorithm>
#include <cmath>

namespace medlarwinch {
namespace {

constexpr double kMillisPerSecond = 1'000;
// Lower limit of the rate: at a rate of 0, no call is ever admitted and the
// wait is infinite.
constexpr double kMinRate = 0.001;
constexpr uint32_t kMaxDoublings = 30;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

}  // namespace

CallAdmission AdmitCall(CallBudget budget, TimePoint now) {
  // If the clock went back, no tokens are added.
  const int64_t elapsed = std::max<int64_t>((now - budget.updated).value, 0);
  const double added = budget.rate * static_cast<double>(elapsed);
  budget.tokens =
      std::min(budget.burst, budget.tokens + added / kMillisPerSecond);
  budget.updated = std::max(budget.updated, now);
  if (budget.tokens >= 1) {
    budget.tokens -= 1;
    return CallAdmission{budget, Millis{0}};
  }
  const double missing = 1 - budget.tokens;
  const double rate = std::max(budget.rate, kMinRate);
  const double wait = std::ceil(missing * kMillisPerSecond / rate);
  return CallAdmission{
      budget, Millis{std::max<int64_t>(static_cast<int64_t>(wait), 1)}};
}

Millis BackoffDelay(const BackoffPolicy& policy, uint32_t attempt,
                    uint64_t random) {
  const int64_t doubled = policy.first.value
                          << std::min(attempt, kMaxDoublings);
  const int64_t ceiling = std::min(doubled, policy.max.value);
  const int64_t half = ceiling / 2;
  const uint64_t spread = static_cast<uint64_t>(ceiling - half) + 1;
  return Millis{half + static_cast<int64_t>(random % spread)};
}

CallOutcome ClassifyStatus(int status) {
  if (status == kTooManyRequests || status == kServiceUnavailable) {
    return CallOutcome::kRefused;
  }
  return status >= kFirstServerError ? CallOutcome::kUnknown
                                     : CallOutcome::kAnswered;
}

LostWriteResult ResolveLostWrite(const LostWrite& write,
                                 const ObservedVersion& observed) {
  // Version 0 stands for an object that does not exist and has no operation.
  const bool is_ours =
      observed.version > 0 && observed.operation == write.operation;
  if (is_ours) return LostWriteResult::kApplied;
  if (observed.version == write.if_version) return LostWriteResult::kUnchanged;
  return LostWriteResult::kUnknown;
}

}  // namespace medlarwinch
