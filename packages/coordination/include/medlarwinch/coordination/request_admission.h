#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "medlarwinch/coordination/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// A token bucket as of `filled_at`.
struct TokenBucket {
  double tokens = 0;
  TimePoint filled_at;

  friend bool operator==(const TokenBucket&, const TokenBucket&) = default;
};

/// The buckets of the tenants that the document limits, by name.
struct AdmissionState {
  std::map<std::string, TokenBucket> tenants;

  friend bool operator==(const AdmissionState&,
                         const AdmissionState&) = default;
};

/// The request that asks for admission and the load it meets.
struct AdmissionRequest {
  std::string tenant;
  size_t body_bytes = 0;
  /// False when the body, the path or the method can't be sent to an upstream.
  bool well_formed = true;
  bool draining = false;
  uint32_t slots = 1;
  uint32_t requests_in_flight = 0;
  /// When the request must be answered.
  TimePoint deadline;
};

struct AdmissionStep {
  AdmissionState state;
  /// Why the request is refused; nothing when it is admitted.
  std::optional<Reason> refusal;
  /// HTTP status of the refusal.
  uint16_t status = 0;
};

/// Decides whether a request may be handed to the upstream. A refusal takes no
/// token. Tenants that the document does not name have no rate limit.
AdmissionStep AdmitRequest(AdmissionState state,
                           const AdmissionRequest& request,
                           const DocumentContext& context, TimePoint now);

/// Tokens that bound retries to a share of the successes.
struct RetryBudget {
  double tokens = 0;
  TimePoint filled_at;

  friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

/// Adds the share of one successful request.
RetryBudget OnSuccess(RetryBudget budget, const RetryPolicy& policy);

struct RetryStep {
  RetryBudget budget;
  std::optional<Reason> refusal;
};

/// Takes one retry from the budget, or refuses it.
RetryStep TakeRetry(RetryBudget budget, const DocumentContext& context,
                    TimePoint now);

}  // namespace medlarwinch
