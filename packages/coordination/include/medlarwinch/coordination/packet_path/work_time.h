#pragma once

#include <array>
#include <cstdint>

#include "medlarwinch/coordination/packet_path/relay_terms.h"

namespace medlarwinch {

/// A cold upstream takes this many times as long for a request on every
/// deployment.
inline constexpr double kColdSlowdown = 1.6;

/// Moving average of service times.
struct WorkAverage {
  /// In milliseconds, of a warm upstream.
  double mean_ms = 0;
  /// Number of requests in the average, up to the number that it weighs.
  uint32_t samples = 0;

  friend bool operator==(const WorkAverage&, const WorkAverage&) = default;
};

/// How long one upstream works on a request when the request does not queue.
struct WorkTime {
  WorkAverage all;
  std::array<WorkAverage, kRequestKinds> by_kind;

  friend bool operator==(const WorkTime&, const WorkTime&) = default;
};

/// A request from its last packet to the first byte of its response.
struct MeasuredRequest {
  RequestKind kind = RequestKind::kUnspecified;
  Millis duration{0};
  /// Number of requests at the upstream when this one began, with itself.
  uint32_t requests_at_start = 0;
  /// True if the upstream was cold when the request began.
  bool was_cold = false;

  friend bool operator==(const MeasuredRequest&,
                         const MeasuredRequest&) = default;
};

/// Adds a request to the averages, unless it had to queue for one of `slots`.
void RecordWork(WorkTime& work, const MeasuredRequest& request, uint32_t slots);

/// Average service time in milliseconds; 0 until enough requests were measured.
double KnownWorkMs(const WorkTime& work);

/// As KnownWorkMs(), of the requests of `kind` if enough of them were measured,
/// else of all.
double KnownWorkMs(const WorkTime& work, RequestKind kind);

}  // namespace medlarwinch
