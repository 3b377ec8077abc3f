#include "medlarwinch/coordination/request_path/request_admission.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

constexpr uint16_t kBadRequest = 400;
constexpr uint16_t kContentTooLarge = 413;
constexpr uint16_t kTooManyRequests = 429;
constexpr uint16_t kServiceUnavailable = 503;
constexpr uint16_t kGatewayTimeout = 504;
// The budget holds at most the tokens of this many seconds at the minimum rate,
// and of as many successes. Prevents a quiet hour from allowing a burst of
// retries.
constexpr double kMaxRetryBudgetSeconds = 10;
constexpr double kMaxCreditedSuccesses = 1'000;

double Seconds(Millis span) { return static_cast<double>(span.value) / 1'000; }

const TenantLimit* FindLimit(const DocumentContext& context,
                             const std::string& tenant) {
  for (const TenantLimit& limit : context.document.limits.tenants) {
    if (limit.name == tenant) return &limit;
  }
  return nullptr;
}

// Refills the bucket up to `now`; a new bucket is full.
TokenBucket Refill(const AdmissionState& state, const TenantLimit& limit,
                   TimePoint now) {
  const double burst = std::max(1.0, limit.burst);
  const auto found = state.tenants.find(limit.name);
  if (found == state.tenants.end()) return TokenBucket{burst, now};
  TokenBucket bucket = found->second;
  const Millis elapsed = now - bucket.filled_at;
  if (elapsed.value > 0) {
    bucket.tokens += Seconds(elapsed) * limit.requests_per_second;
    bucket.filled_at = now;
  }
  bucket.tokens = std::min(bucket.tokens, burst);
  return bucket;
}

AdmissionStep Refuse(AdmissionState state, uint16_t status, Reason reason) {
  return AdmissionStep{std::move(state), std::move(reason), status};
}

}  // namespace

AdmissionStep AdmitRequest(AdmissionState state,
                           const AdmissionRequest& request,
                           const DocumentContext& context, TimePoint now) {
  const ServiceDocument& document = context.document;
  if (request.draining) {
    return Refuse(std::move(state), kServiceUnavailable,
                  MakeReason(context, "draining", "drain.upstreams"));
  }
  if (!request.well_formed) {
    return Refuse(std::move(state), kBadRequest,
                  MakeReason(context, "malformed_request", ""));
  }
  if (request.body_bytes > document.requests.max_body_bytes) {
    return Refuse(
        std::move(state), kContentTooLarge,
        MakeReason(context, "body_too_large", "requests.max_body_bytes",
                   {{"body_bytes", std::to_string(request.body_bytes)}}));
  }
  if (now >= request.deadline) {
    return Refuse(
        std::move(state), kGatewayTimeout,
        MakeReason(context, "deadline_passed", "requests.timeout_ms"));
  }
  const uint64_t limit = static_cast<uint64_t>(request.slots) *
                         document.limits.max_requests_per_slot;
  if (request.requests_in_flight >= limit) {
    return Refuse(
        std::move(state), kServiceUnavailable,
        MakeReason(
            context, "request_limit", "limits.max_requests_per_slot",
            {{"in_flight", std::to_string(request.requests_in_flight)}}));
  }
  const TenantLimit* tenant = FindLimit(context, request.tenant);
  if (tenant == nullptr) return AdmissionStep{std::move(state), {}, 0};
  TokenBucket bucket = Refill(state, *tenant, now);
  const bool has_token = bucket.tokens >= 1;
  if (has_token) bucket.tokens -= 1;
  state.tenants[tenant->name] = bucket;
  if (has_token) return AdmissionStep{std::move(state), {}, 0};
  return Refuse(std::move(state), kTooManyRequests,
                MakeReason(context, "tenant_rate", "limits.tenants",
                           {{"tenant", tenant->name}}));
}

RetryBudget RecordSuccess(RetryBudget budget, const RetryPolicy& policy) {
  const double share = policy.budget_percent / 100.0;
  const double max_tokens =
      std::max(1.0, policy.min_per_second * kMaxRetryBudgetSeconds) +
      kMaxCreditedSuccesses * share;
  budget.tokens = std::min(budget.tokens + share, max_tokens);
  return budget;
}

RetryStep TakeRetry(RetryBudget budget, const DocumentContext& context,
                    TimePoint now) {
  const RetryPolicy& policy = context.document.retry;
  const double min_rate = policy.min_per_second;
  const double elapsed = std::min(
      kMaxRetryBudgetSeconds, std::max(0.0, Seconds(now - budget.filled_at)));
  const double max_tokens = std::max(1.0, min_rate * kMaxRetryBudgetSeconds);
  // The minimum rate fills the budget only up to its own limit; tokens above it
  // come from successful requests.
  if (budget.tokens < max_tokens) {
    budget.tokens = std::min(max_tokens, budget.tokens + elapsed * min_rate);
  }
  budget.filled_at = now;
  if (budget.tokens >= 1) {
    budget.tokens -= 1;
    return RetryStep{budget, {}};
  }
  return RetryStep{budget,
                   MakeReason(context, "retry_budget", "retry.budget_percent")};
}

}  // namespace medlarwinch
