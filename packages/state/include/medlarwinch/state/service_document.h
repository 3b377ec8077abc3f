#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// How new flows are placed; path `balance`.
struct BalancePolicy {
  /// An agent accepts a new flow while its flows per slot are at most this
  /// percentage above the mean of the service.
  double margin_percent = 0.5;
  /// Upstreams that are tried in turn for a new flow.
  uint32_t candidates = 2;
  /// A change that moves more than this percentage of new flows to other
  /// upstreams needs `confirm.moved_percent`.
  uint32_t max_moved_percent = 50;

  friend bool operator==(const BalancePolicy&, const BalancePolicy&) = default;
};

/// When an upstream is ejected for failing requests; path `health.outlier`.
struct OutlierPolicy {
  uint32_t error_percent = 50;
  uint32_t min_requests = 20;
  Millis window{10'000};
  Millis ejection{30'000};

  friend bool operator==(const OutlierPolicy&, const OutlierPolicy&) = default;
};

/// When an upstream counts as lost; path `health`.
struct HealthPolicy {
  Millis fail_after{3'000};
  /// Bound on the share of the service's slots that may be withdrawn for
  /// missing heartbeats or errors.
  uint32_t max_withdrawn_percent = 50;
  OutlierPolicy outlier;

  friend bool operator==(const HealthPolicy&, const HealthPolicy&) = default;
};

/// How a cold upstream gets its share; path `slow_start`.
struct SlowStartPolicy {
  Millis window{10'000};
  uint32_t initial_percent = 20;

  friend bool operator==(const SlowStartPolicy&,
                         const SlowStartPolicy&) = default;
};

/// Request rate of one tenant; path `limits.tenants`.
struct TenantLimit {
  std::string name;
  double requests_per_second = 0;
  double burst = 0;

  friend bool operator==(const TenantLimit&, const TenantLimit&) = default;
};

/// Admission bounds of one upstream; path `limits`.
struct LimitPolicy {
  uint32_t max_flows_per_slot = 10'000;
  uint32_t max_requests_per_slot = 256;
  std::vector<TenantLimit> tenants;

  friend bool operator==(const LimitPolicy&, const LimitPolicy&) = default;
};

/// Bounds of one request; path `requests`.
struct RequestPolicy {
  Millis timeout{30'000};
  uint32_t max_body_bytes = 1'000;

  friend bool operator==(const RequestPolicy&, const RequestPolicy&) = default;
};

/// Bound on repeated work; path `retry`.
struct RetryPolicy {
  /// Retries allowed as a percentage of successful requests.
  uint32_t budget_percent = 10;
  /// Retries allowed per second when there are few successes.
  double min_per_second = 1;

  friend bool operator==(const RetryPolicy&, const RetryPolicy&) = default;
};

/// How long idempotency keys are remembered; path `idempotency`.
struct IdempotencyPolicy {
  Millis retention{600'000};
  uint32_t max_keys = 100'000;

  friend bool operator==(const IdempotencyPolicy&,
                         const IdempotencyPolicy&) = default;
};

/// Which upstreams leave; path `drain`.
struct DrainPolicy {
  /// Listeners of the upstreams that take no new work.
  std::vector<Endpoint> upstreams;
  /// Time after which requests in progress are cut; 0 waits for their end.
  Millis deadline{0};

  friend bool operator==(const DrainPolicy&, const DrainPolicy&) = default;
};

/// Consent to a change that would otherwise be refused; path `confirm`.
struct ChangeConfirmation {
  bool empty_service = false;
  uint32_t moved_percent = 0;

  friend bool operator==(const ChangeConfirmation&,
                         const ChangeConfirmation&) = default;
};

/// One team's document for its service.
struct ServiceDocument {
  std::string service;
  std::string owner;
  /// Addresses at which callers reach the service.
  std::vector<Endpoint> addresses;
  std::vector<std::string> failure_domains;
  BalancePolicy balance;
  HealthPolicy health;
  SlowStartPolicy slow_start;
  LimitPolicy limits;
  RequestPolicy requests;
  RetryPolicy retry;
  IdempotencyPolicy idempotency;
  DrainPolicy drain;
  ChangeConfirmation confirm;

  friend bool operator==(const ServiceDocument&,
                         const ServiceDocument&) = default;
};

}  // namespace medlarwinch
