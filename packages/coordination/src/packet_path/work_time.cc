#include "medlarwinch/coordination/packet_path/work_time.h"

#include <algorithm>

namespace medlarwinch {
namespace {

// The average follows a change of an upstream's speed within this number of
// requests.
constexpr uint32_t kAveragedRequests = 40;
// Fewer requests give no average. Service times vary by as much as their mean,
// and with 4 requests the order of classes after a cold start was lost.
constexpr uint32_t kMinRequests = 10;
// Bounds of one measurement in milliseconds. Clocks count whole milliseconds,
// and a request that hangs must not dominate the average.
constexpr double kMinWorkMs = 0.5;
constexpr double kMaxWorkMs = 5'000;

void AddSample(WorkAverage& average, double work_ms) {
  average.samples = std::min(average.samples + 1, kAveragedRequests);
  average.mean_ms += (work_ms - average.mean_ms) / average.samples;
}

double MeanIfKnown(const WorkAverage& average) {
  return average.samples >= kMinRequests ? average.mean_ms : 0;
}

}  // namespace

void RecordWork(WorkTime& work, const MeasuredRequest& request,
                uint32_t slots) {
  if (request.requests_at_start > slots) return;
  const double slowdown = request.was_cold ? kColdSlowdown : 1;
  const double work_ms =
      std::clamp(static_cast<double>(request.duration.value) / slowdown,
                 kMinWorkMs, kMaxWorkMs);
  AddSample(work.all, work_ms);
  AddSample(work.by_kind[static_cast<size_t>(request.kind)], work_ms);
}

double KnownWorkMs(const WorkTime& work) { return MeanIfKnown(work.all); }

double KnownWorkMs(const WorkTime& work, RequestKind kind) {
  const double of_kind = MeanIfKnown(work.by_kind[static_cast<size_t>(kind)]);
  return of_kind > 0 ? of_kind : KnownWorkMs(work);
}

}  // namespace medlarwinch
