#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "medlarwinch/coordination/control_plane/document_context.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// The state of a token bucket at `filled_at`.
struct TokenBucket {
  double tokens = 0;
  TimePoint filled_at;

  friend bool operator==(const TokenBucket&, const TokenBucket&) = default;
};

/// Token buckets of the tenants that the document limits, by tenant name.
struct AdmissionState {
  std::map<std::string, TokenBucket> tenants;

  friend bool operator==(const AdmissionState&,
                         const AdmissionState&) = default;
};

/// A request that needs admission, and the current load.
struct AdmissionRequest {
  std::string tenant;
  size_t body_bytes = 0;
  /// False when the body, the path or the method cannot be sent to an upstream.
  bool well_formed = true;
  bool draining = false;
  uint32_t slots = 1;
  uint32_t requests_in_flight = 0;
  /// Time by which the request must be answered.
  TimePoint deadline;
};

struct AdmissionStep {
  AdmissionState state;
  /// Reason of the refusal; empty when the request is admitted.
  std::optional<Reason> refusal;
  /// HTTP status of the refusal.
  uint16_t status = 0;
};

/// Decides whether a request may be sent to the upstream. A refused request
/// consumes no token. Tenants that the document does not name have no rate
/// limit.
AdmissionStep AdmitRequest(AdmissionState state,
                           const AdmissionRequest& request,
                           const DocumentContext& context, TimePoint now);

/// Tokens that limit retries to a fraction of the successful requests.
struct RetryBudget {
  double tokens = 0;
  TimePoint filled_at;

  friend bool operator==(const RetryBudget&, const RetryBudget&) = default;
};

/// Adds the fraction of a token that one successful request earns.
RetryBudget RecordSuccess(RetryBudget budget, const RetryPolicy& policy);

struct RetryStep {
  RetryBudget budget;
  std::optional<Reason> refusal;
};

/// Takes one retry token, or refuses the retry.
RetryStep TakeRetry(RetryBudget budget, const DocumentContext& context,
                    TimePoint now);

}  // namespace medlarwinch
