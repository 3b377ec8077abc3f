#include "medlarwinch/coordination/packet_path/response_statistics.h"

#include <algorithm>
#include <cmath>

namespace medlarwinch {
namespace {

using Stage = RequestProgress::Stage;

// A response is suspected if both its time and its length are below these
// fractions of the route's baseline. With times of spread 0.5 and lengths of
// spread 0.6, one regular response in 5,000 of the fastest upstreams is.
constexpr double kEarlyFraction = 0.25;
constexpr double kShortFraction = 0.25;
// Error responses are not always a quarter as long as short regular responses.
// A response that comes at once is suspected if it is below half the length.
constexpr double kImmediateFraction = 0.1;
constexpr double kShorterFraction = 0.5;

// A request is unanswered after kUnansweredMedians times the median time of its
// route and at least kMinUnansweredTime. When the caller leaves it, the shorter
// minimum applies.
constexpr int64_t kUnansweredMedians = 5;
constexpr Millis kMinUnansweredTime{1'000};
constexpr Millis kMinAbandonedTime{300};
// A request longer than the caller's 16 packets in flight may be incomplete:
// the caller retransmits a lost packet up to 1.6 s later, and its next packets
// only then.
constexpr uint32_t kLongRequestBytes = 16 * 1'200;
constexpr Millis kMinLongUnansweredTime{4'000};

// An upstream with this many requests for each slot may refuse further ones,
// which is no failure. Upstreams refuse from 20 requests at 4 slots.
constexpr uint32_t kCrowdedPerSlot = 3;

// Outcomes that count in the share of failures: those of the last
// kOutcomeWindow, and at least the last kMinWindowOutcomes. An upstream that
// gets few requests is judged by those, not by none.
constexpr Millis kOutcomeWindow{3'000};
constexpr Millis kMaxOutcomeAge{20'000};
constexpr uint32_t kMinWindowOutcomes = 8;
// Fewer outcomes show nothing. Fewer failures do not show that the upstream
// fails, but that it does not work well enough yet to be trusted again.
constexpr uint32_t kMinOutcomes = 5;
constexpr uint32_t kMinFailures = 3;
constexpr double kInconclusiveShare = 0.15;
// An upstream that fails half of its last requests has just begun to fail, and
// is not judged by its earlier ones.
constexpr uint32_t kLastOutcomes = 10;
constexpr uint32_t kLastFailures = 5;

// Part of each kRouteReportInterval in which reports have routes. Every
// balancer polls in it, also if its polls are late.
constexpr Millis kRouteReportWindow{300};

bool IsBefore(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) < 0;
}

const RouteBaseline* FindBaseline(const ResponseStatistics& statistics,
                                  const Endpoint& service_address,
                                  TimePoint now) {
  for (const ResponseStatistics::ReceivedBaseline& known :
       statistics.baselines) {
    if (known.baseline.service_address != service_address) continue;
    return now - known.received_at <= kBaselineAge ? &known.baseline : nullptr;
  }
  return nullptr;
}

void RecordOutcome(ResponseStatistics& statistics, RequestOutcome outcome,
                   TimePoint now) {
  ++statistics.totals[static_cast<size_t>(outcome)];
  statistics.outcomes[statistics.recorded_outcomes++ % kRequestOutcomes] = {
      now, outcome != RequestOutcome::kAnswered};
}

RouteSamples& SamplesOf(ResponseStatistics& statistics,
                        const Endpoint& service_address) {
  for (RouteSamples& route : statistics.routes) {
    if (route.service_address == service_address) return route;
  }
  if (statistics.routes.size() < kMaxReportedRoutes) {
    statistics.routes.emplace_back();
    statistics.routes.back().service_address = service_address;
    return statistics.routes.back();
  }
  RouteSamples& replaced =
      *std::min_element(statistics.routes.begin(), statistics.routes.end(),
                        [](const RouteSamples& a, const RouteSamples& b) {
                          return a.last_used < b.last_used;
                        });
  replaced = RouteSamples{};
  replaced.service_address = service_address;
  return replaced;
}

bool IsEarlyAndShort(const RequestProgress& request,
                     const RouteBaseline& baseline) {
  const auto time = static_cast<double>(request.response_time.value);
  const double bytes = request.response_bytes;
  const double usual_time = baseline.median_ms;
  const double usual_bytes = baseline.median_bytes;
  if (time < usual_time * kEarlyFraction &&
      bytes < usual_bytes * kShortFraction) {
    return true;
  }
  return time < usual_time * kImmediateFraction &&
         bytes < usual_bytes * kShorterFraction;
}

void CompleteResponse(ResponseStatistics& statistics,
                      const Endpoint& service_address, RequestProgress& request,
                      TimePoint now) {
  request.stage = Stage::kNone;
  if (request.is_recorded) return;
  const RouteBaseline* baseline =
      FindBaseline(statistics, service_address, now);
  const bool is_suspected =
      baseline != nullptr && IsEarlyAndShort(request, *baseline);
  // An upstream whose queue is full refuses with a short response.
  if (is_suspected && request.was_crowded) return;
  RecordOutcome(
      statistics,
      is_suspected ? RequestOutcome::kEarlyAndShort : RequestOutcome::kAnswered,
      now);
  if (request.was_cold) return;
  RouteSamples& route = SamplesOf(statistics, service_address);
  route.last_used = now;
  const double time =
      static_cast<double>(request.response_time.value) / request.queue_factor;
  route.samples[route.recorded++ % kResponseSamples] = ResponseSample{
      now, static_cast<uint32_t>(std::lround(time)), request.response_bytes};
}

void RecordFailure(ResponseStatistics& statistics, RequestProgress& request,
                   RequestOutcome outcome, TimePoint now) {
  if (!request.is_recorded && !request.was_crowded) {
    RecordOutcome(statistics, outcome, now);
  }
  request.is_recorded = true;
}

// Returns true if others of the route are answered, and in a much shorter time
// than this request has waited.
bool IsUnanswered(const ResponseStatistics& statistics,
                  const Endpoint& service_address,
                  const RequestProgress& request, Millis minimum,
                  TimePoint now) {
  const TimePoint since =
      std::max(request.last_data, statistics.condition.agent_late_until);
  const Millis waited = now - since;
  if (waited < minimum) return false;
  const RouteBaseline* baseline =
      FindBaseline(statistics, service_address, now);
  if (baseline == nullptr) return false;
  const double usual =
      static_cast<double>(baseline->median_ms) * request.queue_factor;
  return static_cast<double>(waited.value) >= usual * kUnansweredMedians;
}

void BeginRequest(const ResponseStatistics& statistics,
                  RequestProgress& request, uint32_t outstanding) {
  const uint32_t slots = std::max<uint32_t>(statistics.condition.slots, 1);
  request = RequestProgress{};
  request.stage = Stage::kWaiting;
  request.was_cold = statistics.condition.is_cold;
  request.was_crowded = outstanding >= slots * kCrowdedPerSlot;
  request.queue_factor = std::max(
      1.0F, static_cast<float>(outstanding + 1) / static_cast<float>(slots));
}

uint32_t MedianOf(std::vector<uint32_t>& values) {
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>(values.size()) / 2;
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

const char* RequestOutcomeName(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kEarlyAndShort:
      return "early_and_short";
    case RequestOutcome::kReset:
      return "reset";
    case RequestOutcome::kClosed:
      return "closed";
    case RequestOutcome::kUnanswered:
      return "unanswered";
    case RequestOutcome::kOpeningRefused:
      return "opening_refused";
  }
  return "invalid";
}

void ApplyBaselines(ResponseStatistics& statistics,
                    std::span<const RouteBaseline> baselines, TimePoint now) {
  std::erase_if(statistics.baselines, [now](const auto& known) {
    return now - known.received_at > kBaselineAge;
  });
  for (const RouteBaseline& baseline : baselines) {
    if (baseline.median_ms == 0 || baseline.median_bytes == 0) continue;
    const auto known = std::find_if(
        statistics.baselines.begin(), statistics.baselines.end(),
        [&](const auto& entry) {
          return entry.baseline.service_address == baseline.service_address;
        });
    if (known != statistics.baselines.end()) {
      *known = {baseline, now};
    } else if (statistics.baselines.size() < kMaxReportedRoutes) {
      statistics.baselines.push_back({baseline, now});
    }
  }
}

void ForgetOutcomes(ResponseStatistics& statistics) {
  statistics.routes.clear();
  statistics.recorded_outcomes = 0;
}

void RecordRequestData(ResponseStatistics& statistics,
                       const Endpoint& service_address,
                       RequestProgress& request, const FlowPacket& packet,
                       uint32_t outstanding, TimePoint now) {
  if (request.stage == Stage::kResponding) {
    // The caller sends its next request when it has the whole response; other
    // data is the rest of a request that was answered early.
    if (IsBefore(packet.acknowledged, request.response_end)) return;
    CompleteResponse(statistics, service_address, request, now);
  }
  if (request.stage == Stage::kNone) {
    BeginRequest(statistics, request, outstanding);
  }
  request.request_bytes += packet.data_bytes;
  request.last_data = now;
}

void RecordCallerEnd(ResponseStatistics& statistics,
                     const Endpoint& service_address, RequestProgress& request,
                     TimePoint now) {
  if (request.stage == Stage::kResponding) {
    CompleteResponse(statistics, service_address, request, now);
  }
  if (request.stage == Stage::kWaiting &&
      request.request_bytes <= kLongRequestBytes &&
      IsUnanswered(statistics, service_address, request, kMinAbandonedTime,
                   now)) {
    RecordFailure(statistics, request, RequestOutcome::kUnanswered, now);
  }
  request.stage = Stage::kNone;
}

void RecordResponsePacket(ResponseStatistics& statistics,
                          const Endpoint& service_address,
                          RequestProgress& request, const FlowPacket& packet,
                          bool is_opening_seen, TimePoint now) {
  if (request.stage == Stage::kNone) return;
  const uint32_t end = packet.sequence + packet.data_bytes;
  if (packet.data_bytes > 0) {
    const bool is_first = request.stage == Stage::kWaiting;
    if (is_first) {
      request.stage = Stage::kResponding;
      request.response_time = now - request.last_data;
      request.response_end = packet.sequence;
    }
    if (IsBefore(request.response_end, end)) {
      request.response_bytes += packet.data_bytes;
      request.response_end = end;
      request.last_data = now;
    }
  }
  if (!packet.is_reset && !packet.is_fin) return;
  if (packet.is_fin && request.stage == Stage::kResponding) {
    CompleteResponse(statistics, service_address, request, now);
    return;
  }
  if (is_opening_seen) {
    RecordFailure(
        statistics, request,
        packet.is_reset ? RequestOutcome::kReset : RequestOutcome::kClosed,
        now);
  }
  request.stage = Stage::kNone;
}

void AdvanceRequest(ResponseStatistics& statistics,
                    const Endpoint& service_address, RequestProgress& request,
                    TimePoint now) {
  if (request.stage == Stage::kResponding &&
      now - request.last_data >= kResponsePause) {
    CompleteResponse(statistics, service_address, request, now);
    return;
  }
  if (request.stage != Stage::kWaiting || request.is_recorded) return;
  const bool is_long = request.request_bytes > kLongRequestBytes;
  const Millis minimum = is_long ? kMinLongUnansweredTime : kMinUnansweredTime;
  if (!IsUnanswered(statistics, service_address, request, minimum, now)) return;
  RecordFailure(statistics, request, RequestOutcome::kUnanswered, now);
}

void RecordRefusedOpening(ResponseStatistics& statistics, uint32_t committed,
                          TimePoint now) {
  if (committed >= statistics.condition.slots) return;
  RecordOutcome(statistics, RequestOutcome::kOpeningRefused, now);
}

double SuspectedFailures(const ResponseStatistics& statistics, TimePoint now) {
  const uint32_t kept =
      std::min<uint32_t>(statistics.recorded_outcomes, kRequestOutcomes);
  uint32_t counted = 0;
  uint32_t failures = 0;
  for (uint32_t back = 1; back <= kept; ++back) {
    const ResponseStatistics::Outcome& outcome =
        statistics
            .outcomes[(statistics.recorded_outcomes - back) % kRequestOutcomes];
    const Millis age = now - outcome.at;
    if (age > kMaxOutcomeAge) break;
    if (age > kOutcomeWindow && counted >= kMinWindowOutcomes) break;
    ++counted;
    if (outcome.is_failure) ++failures;
    if (counted == kLastOutcomes && failures >= kLastFailures) break;
  }
  if (counted < kMinOutcomes) return 0;
  const double share = static_cast<double>(failures) / counted;
  return failures < kMinFailures ? std::min(share, kInconclusiveShare) : share;
}

std::vector<RouteResponses> SummarizeRoutes(
    const ResponseStatistics& statistics, TimePoint now) {
  std::vector<RouteResponses> summary;
  std::vector<uint32_t> times;
  std::vector<uint32_t> lengths;
  for (const RouteSamples& route : statistics.routes) {
    times.clear();
    lengths.clear();
    const size_t kept = std::min<size_t>(route.recorded, kResponseSamples);
    for (const ResponseSample& sample : std::span(route.samples).first(kept)) {
      if (now - sample.at > kResponseSampleAge) continue;
      times.push_back(sample.time_ms);
      lengths.push_back(sample.bytes);
    }
    if (times.empty()) continue;
    summary.push_back(RouteResponses{route.service_address,
                                     static_cast<uint32_t>(times.size()),
                                     MedianOf(times), MedianOf(lengths)});
  }
  return summary;
}

void ReportOutcomes(const ResponseStatistics& statistics, TimePoint now,
                    AgentLoad& load) {
  load.suspected_failures = SuspectedFailures(statistics, now);
  if (now.value % kRouteReportInterval.value >= kRouteReportWindow.value) {
    return;
  }
  load.routes = SummarizeRoutes(statistics, now);
}

}  // namespace medlarwinch
