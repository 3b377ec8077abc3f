#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_terms.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_packet.h"

namespace medlarwinch {

/// A response is complete when nothing new of it was sent for this long. Longer
/// than the first retransmission timeout of both ends, 200 ms.
inline constexpr Millis kResponsePause{250};
/// Samples older than this do not count in the medians of a route.
inline constexpr Millis kResponseSampleAge{6'000};
/// Baselines are used for this long after a balancer sent them.
inline constexpr Millis kBaselineAge{2'000};
/// Routes and baselines are exchanged about once in this time and not in each
/// poll: they change slowly, and would nearly double the bytes of a poll.
inline constexpr Millis kRouteReportInterval{1'000};
/// Number of samples that are kept for each route.
inline constexpr size_t kResponseSamples = 32;
/// Number of request outcomes that are kept for the share of failures.
inline constexpr size_t kRequestOutcomes = 128;

/// How a request ended, as far as packets show it.
enum class RequestOutcome : uint8_t {
  kAnswered = 0,
  /// Answered much sooner and much shorter than usual for the route.
  kEarlyAndShort = 1,
  /// The upstream reset the flow before the response was complete.
  kReset = 2,
  /// The upstream closed the flow without a response.
  kClosed = 3,
  /// Unanswered for much longer than other requests of the route.
  kUnanswered = 4,
  /// The upstream returned an opening although it had idle slots.
  kOpeningRefused = 5,
};
inline constexpr size_t kRequestOutcomeKinds = 6;
const char* RequestOutcomeName(RequestOutcome outcome);

/// The request in progress on a flow.
struct RequestProgress {
  enum class Stage : uint8_t { kNone, kWaiting, kResponding };

  Stage stage = Stage::kNone;
  /// The outcome was recorded while the request still waits.
  bool is_recorded = false;
  /// The upstream was cold or so crowded that neither the response time nor an
  /// early response says anything about it.
  bool was_cold = false;
  bool was_crowded = false;
  uint32_t request_bytes = 0;
  uint32_t response_bytes = 0;
  /// Sequence number after the last byte of the response so far.
  uint32_t response_end = 0;
  /// Requests at the upstream when this one began, in multiples of its slots;
  /// at least 1.
  float queue_factor = 1;
  /// Time from the last byte of the request to the first of the response.
  Millis response_time{0};
  /// Time of the last new data from either end.
  TimePoint last_data;
};

/// A completed response of a route.
struct ResponseSample {
  TimePoint at;
  uint32_t time_ms = 0;
  uint32_t bytes = 0;
};

/// Recent responses of one route; a ring.
struct RouteSamples {
  Endpoint service_address;
  std::array<ResponseSample, kResponseSamples> samples{};
  /// Number of samples recorded so far; the next one replaces the oldest.
  uint32_t recorded = 0;
  TimePoint last_used;
};

/// What the agent knows of its upstream and of itself, as of its last tick.
struct UpstreamCondition {
  uint32_t slots = 0;
  bool is_cold = false;
  /// Time until which the agent itself was late, so that responses may have
  /// waited unread.
  TimePoint agent_late_until;
};

/// Outcomes of the requests at one upstream. Bounded: kMaxReportedRoutes routes
/// and kRequestOutcomes outcomes.
struct ResponseStatistics {
  struct Outcome {
    TimePoint at;
    bool is_failure = false;
  };
  struct ReceivedBaseline {
    RouteBaseline baseline;
    TimePoint received_at;
  };

  /// At most kMaxReportedRoutes; the one unused for longest is replaced.
  std::vector<RouteSamples> routes;
  /// At most kMaxReportedRoutes; the last received of each route.
  std::vector<ReceivedBaseline> baselines;
  std::array<Outcome, kRequestOutcomes> outcomes{};
  uint32_t recorded_outcomes = 0;
  /// All outcomes of this process, by RequestOutcome.
  std::array<uint64_t, kRequestOutcomeKinds> totals{};
  UpstreamCondition condition;
};

/// Stores the baselines that a balancer sent. Baselines of 0 ms or 0 bytes are
/// ignored.
void ApplyBaselines(ResponseStatistics& statistics,
                    std::span<const RouteBaseline> baselines, TimePoint now);

/// Removes all outcomes and samples: they are those of another incarnation of
/// the upstream.
void ForgetOutcomes(ResponseStatistics& statistics);

/// Records new data from the caller. `acknowledged` is the caller's
/// acknowledgement and `outstanding` the number of other requests at the
/// upstream.
void RecordRequestData(ResponseStatistics& statistics,
                       const Endpoint& service_address,
                       RequestProgress& request, const FlowPacket& packet,
                       uint32_t outstanding, TimePoint now);

/// Records that the caller has closed or reset the flow.
void RecordCallerEnd(ResponseStatistics& statistics,
                     const Endpoint& service_address, RequestProgress& request,
                     TimePoint now);

/// Records a packet with data, FIN or RST from the upstream. A flow whose
/// opening the agent has not seen (`is_opening_seen`) may be unknown to the
/// upstream, so that its end is no failure.
void RecordResponsePacket(ResponseStatistics& statistics,
                          const Endpoint& service_address,
                          RequestProgress& request, const FlowPacket& packet,
                          bool is_opening_seen, TimePoint now);

/// Records what the passing of time shows: completed responses and unanswered
/// requests. To be called about every 100 ms for each flow.
void AdvanceRequest(ResponseStatistics& statistics,
                    const Endpoint& service_address, RequestProgress& request,
                    TimePoint now);

/// Records that the upstream returned an opening. Counts as a failure only if
/// the upstream had an idle slot.
void RecordRefusedOpening(ResponseStatistics& statistics, uint32_t committed,
                          TimePoint now);

/// Share of the recent requests whose outcome looks like a failure, 0 to 1; 0
/// if there are too few outcomes to tell, and below the share from which an
/// upstream is suspected if there are too few failures.
double SuspectedFailures(const ResponseStatistics& statistics, TimePoint now);

/// Medians of the recent responses of each route, without the time that
/// requests were queued.
std::vector<RouteResponses> SummarizeRoutes(
    const ResponseStatistics& statistics, TimePoint now);

/// Sets the suspected failures of `load`, and its routes if these are due.
void ReportOutcomes(const ResponseStatistics& statistics, TimePoint now,
                    AgentLoad& load);

}  // namespace medlarwinch
