#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Placement of new flows; path `balance`.
struct BalancePolicy {
  /// An agent accepts a new flow while its flows per slot are at most this
  /// percentage above the mean of the service.
  double margin_percent = 0.5;
  /// Number of upstreams that are tried in turn for a new flow.
  uint32_t candidates = 2;
  /// A change that moves more than this percentage of new flows to other
  /// upstreams needs `confirm.moved_percent`.
  uint32_t max_moved_percent = 50;

  friend bool operator==(const BalancePolicy&, const BalancePolicy&) = default;
};

/// Ejection of upstreams that fail requests; path `health.outlier`.
struct OutlierPolicy {
  uint32_t error_percent = 50;
  uint32_t min_requests = 20;
  Millis window{10'000};
  Millis ejection{30'000};

  friend bool operator==(const OutlierPolicy&, const OutlierPolicy&) = default;
};

/// Detection of lost upstreams; path `health`.
struct HealthPolicy {
  Millis fail_after{3'000};
  /// Maximum share of the service's slots that may be withdrawn for missing
  /// heartbeats or errors.
  uint32_t max_withdrawn_percent = 50;
  OutlierPolicy outlier;

  friend bool operator==(const HealthPolicy&, const HealthPolicy&) = default;
};

/// Gradual increase of the load of a cold upstream; path `slow_start`.
struct SlowStartPolicy {
  Millis window{10'000};
  uint32_t initial_percent = 20;

  friend bool operator==(const SlowStartPolicy&,
                         const SlowStartPolicy&) = default;
};

/// Request rate limit of one tenant; path `limits.tenants`.
struct TenantLimit {
  std::string name;
  double requests_per_second = 0;
  double burst = 0;

  friend bool operator==(const TenantLimit&, const TenantLimit&) = default;
};

/// Admission limits of one upstream; path `limits`.
struct LimitPolicy {
  uint32_t max_flows_per_slot = 10'000;
  uint32_t max_requests_per_slot = 256;
  std::vector<TenantLimit> tenants;

  friend bool operator==(const LimitPolicy&, const LimitPolicy&) = default;
};

/// Limits of one request; path `requests`.
struct RequestPolicy {
  Millis timeout{30'000};
  uint32_t max_body_bytes = 1'000;

  friend bool operator==(const RequestPolicy&, const RequestPolicy&) = default;
};

/// Limit on retries; path `retry`.
struct RetryPolicy {
  /// Retries allowed as a percentage of successful requests.
  uint32_t budget_percent = 10;
  /// Retries allowed per second when there are few successful requests.
  double min_per_second = 1;

  friend bool operator==(const RetryPolicy&, const RetryPolicy&) = default;
};

/// Retention of idempotency keys; path `idempotency`.
struct IdempotencyPolicy {
  Millis retention{600'000};
  uint32_t max_keys = 100'000;

  friend bool operator==(const IdempotencyPolicy&,
                         const IdempotencyPolicy&) = default;
};

/// Draining of upstreams; path `drain`.
struct DrainPolicy {
  /// Listener addresses of the upstreams that take no new work.
  std::vector<Endpoint> upstreams;
  /// Time after which requests in progress are aborted; 0 waits until they end.
  Millis deadline{0};

  friend bool operator==(const DrainPolicy&, const DrainPolicy&) = default;
};

/// Confirmation of a change that would otherwise be refused; path `confirm`.
struct ChangeConfirmation {
  bool empty_service = false;
  uint32_t moved_percent = 0;

  friend bool operator==(const ChangeConfirmation&,
                         const ChangeConfirmation&) = default;
};

/// The document of one service, maintained by its team.
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
