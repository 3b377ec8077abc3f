#include "medlarwinch/coordination/packet_path/upload_flows.h"

#include <algorithm>
#include <array>

namespace medlarwinch {
namespace {

// A flow is in progress for this long after each data packet. The gaps of a
// paced flow are shorter on links that carry a few uploads at once; a longer
// time counts uploads that have ended, and slows down the others.
constexpr Millis kUploadActiveTime{50};
// Time from the relayed opening to the first data packet at most.
constexpr Millis kFirstDataTimeout{200};
// A flow is forgotten this long after its upload, so that packets that were
// retransmitted count for the same upload.
constexpr Millis kIdleFlowRetention{2'000};
// Bounds the memory; flows beyond this number are not counted.
constexpr size_t kMaxUploadFlows = 1'024;
// Longest hold of an opening by its copy number. The first two copies are
// relayed before the caller sends the third one, 600 ms after the first. The
// third is never dropped; its attempt ends 800 ms later.
constexpr std::array<Millis, 3> kMaxOpeningHold = {Millis{550}, Millis{350},
                                                   Millis{600}};
// Part of the link by which openings are spaced. Other traffic takes about a
// third of a narrow link; with a smaller part, waiting openings pile up to the
// caller's last copy.
constexpr double kOpeningLinkShare = 0.63;
constexpr double kMeanBytesWeight = 1.0 / 8;
// Bounds on the polls outside the usual interval, of some 300 bytes with their
// reply: 20 % of a link of 10 Mbit/s in a flood of openings.
constexpr size_t kMaxReportedFlows = 16;
constexpr Millis kMinReportInterval{20};
constexpr int64_t kMicrosPerMilli = 1'000;
constexpr double kBitsPerByte = 8;

// Returns the time in which the uploads' share of the link carries one upload.
int64_t UploadMicros(const UploadFlows& uploads, uint32_t link_kbps) {
  const double bytes = std::max<double>(uploads.mean_bytes, kUploadWindowBytes);
  const double bits = bytes * kLinkBytesPerDataByte * kBitsPerByte;
  return static_cast<int64_t>(bits * kMicrosPerMilli /
                              (link_kbps * kOpeningLinkShare));
}

void RecordUploadEnd(UploadFlows& uploads, const PassingUpload& upload) {
  // What came before is unknown if the opening was not seen.
  if (!upload.relayed_at.has_value() || upload.bytes == 0) return;
  uploads.mean_bytes +=
      (static_cast<double>(upload.bytes) - uploads.mean_bytes) *
      kMeanBytesWeight;
}

bool IsInProgress(const PassingUpload& upload, TimePoint now) {
  return upload.relayed_at.value_or(now) <= now && now < upload.active_until;
}

// Returns the entry of a flow, which is added if there is room.
PassingUpload* FindOrAdd(UploadFlows& uploads, const FlowTuple& flow,
                         TimePoint now) {
  const auto known = uploads.flows.find(flow);
  if (known != uploads.flows.end()) return &known->second;
  if (uploads.flows.size() >= kMaxUploadFlows) {
    RefreshUploadFlows(uploads, now);
  }
  if (uploads.flows.size() >= kMaxUploadFlows) return nullptr;
  return &uploads.flows[flow];
}

UploadPacketEffect RecordOpening(UploadFlows& uploads, const FlowPacket& packet,
                                 uint32_t link_kbps, TimePoint now) {
  UploadPacketEffect effect;
  const FlowTuple flow = FlowFromCaller(packet);
  const auto known = uploads.flows.find(flow);
  const bool is_copy = packet.acknowledged > 0;
  if (is_copy && known != uploads.flows.end()) {
    const bool is_held = known->second.relayed_at.value_or(now) > now;
    if (is_held) effect.action = UploadPacketAction::kRenewHeld;
    return effect;
  }
  const size_t last = kMaxOpeningHold.size() - 1;
  const size_t copy = std::min<size_t>(packet.acknowledged, last);
  const int64_t now_us = now.value * kMicrosPerMilli;
  const int64_t latest_us =
      now_us + kMaxOpeningHold[copy].value * kMicrosPerMilli;
  if (uploads.link_free_at_us > latest_us && copy < last) {
    ++uploads.dropped_openings;
    effect.action = UploadPacketAction::kDrop;
    return effect;
  }
  PassingUpload* upload = FindOrAdd(uploads, flow, now);
  if (upload == nullptr) return effect;
  const int64_t start_us =
      std::clamp(uploads.link_free_at_us, now_us, latest_us);
  uploads.link_free_at_us = start_us + UploadMicros(uploads, link_kbps);
  effect.due = TimePoint{start_us / kMicrosPerMilli};
  *upload = PassingUpload{effect.due, effect.due + kFirstDataTimeout, 0};
  if (effect.due <= now) return effect;
  ++uploads.held_openings;
  effect.action = UploadPacketAction::kHold;
  return effect;
}

}  // namespace

UploadPacketEffect RecordUploadPacket(UploadFlows& uploads,
                                      const FlowPacket& packet,
                                      uint32_t link_kbps, TimePoint now) {
  if (packet.is_syn) return RecordOpening(uploads, packet, link_kbps, now);
  UploadPacketEffect effect;
  const FlowTuple flow = FlowFromCaller(packet);
  if (packet.is_reset || packet.is_fin) {
    const auto known = uploads.flows.find(flow);
    if (known == uploads.flows.end()) return effect;
    RecordUploadEnd(uploads, known->second);
    uploads.flows.erase(known);
    return effect;
  }
  if (packet.data_bytes == 0) return effect;
  PassingUpload* upload = FindOrAdd(uploads, flow, now);
  if (upload == nullptr) return effect;
  effect.starts_upload = upload->bytes == 0;
  upload->bytes += packet.data_bytes;
  upload->active_until = now + kUploadActiveTime;
  return effect;
}

std::vector<FlowTuple> TakeFlowsToReport(UploadFlows& uploads, TimePoint now) {
  if (now - uploads.reported_at < kMinReportInterval) return {};
  const uint32_t count = CountUploads(uploads, now);
  if (count == uploads.reported) return {};
  uploads.reported = count;
  uploads.reported_at = now;
  std::vector<FlowTuple> flows;
  for (const auto& [tuple, upload] : uploads.flows) {
    if (upload.bytes == 0 || !IsInProgress(upload, now)) continue;
    flows.push_back(tuple);
    if (flows.size() >= kMaxReportedFlows) break;
  }
  return flows;
}

void RefreshUploadFlows(UploadFlows& uploads, TimePoint now) {
  std::erase_if(uploads.flows, [&](const auto& entry) {
    const PassingUpload& upload = entry.second;
    if (now - upload.active_until < kIdleFlowRetention) return false;
    RecordUploadEnd(uploads, upload);
    return true;
  });
}

uint32_t CountUploads(const UploadFlows& uploads, TimePoint now) {
  return static_cast<uint32_t>(std::count_if(
      uploads.flows.begin(), uploads.flows.end(),
      [now](const auto& entry) { return IsInProgress(entry.second, now); }));
}

bool HasUploadRoute(const RelayConfiguration& configuration) {
  return std::any_of(configuration.routes.begin(), configuration.routes.end(),
                     [](const auto& entry) {
                       return entry.second.terms.kind == RequestKind::kUpload;
                     });
}

}  // namespace medlarwinch
