#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "medlarwinch/coordination/packet_path/ack_pacing.h"
#include "medlarwinch/coordination/packet_path/upload_flows.h"
#include "relay_fixture.h"

namespace medlarwinch {

/// Uploads of 80,000 bytes through one balancer, whose link has a rate, a short
/// queue and other traffic. The agents and the balancer decide with the
/// functions of the product.
struct UploadModel {
  static constexpr int64_t kPacketBytes = 1'200;
  static constexpr int64_t kPackets = 67;
  static constexpr int64_t kWindow = 16;
  static constexpr int64_t kLinkPacketBytes = 1'300;
  static constexpr int64_t kQueueBytes = 32'000;
  static constexpr int64_t kMaxTimeoutUs = 1'600'000;
  /// From the caller over the balancer to the agent, or back.
  static constexpr int64_t kOneWayUs = 5'000;

  struct Upload {
    FlowPacket from_caller;
    int64_t started_us = 0;
    int64_t done_us = 0;
    int64_t sent = 0;
    int64_t acknowledged = 0;
    /// Next packet that the upstream expects, and those that came early.
    int64_t expected = 0;
    std::set<int64_t> early;
    int64_t timeout_us = 200'000;
    uint64_t timer = 0;
  };

  bool is_paced = true;
  uint32_t link_kbps = 10'000;
  /// Part of the link that other traffic uses.
  double other_traffic = 0.33;
  int64_t now_us = 1'000'000;
  std::multimap<int64_t, std::function<void()>> events;
  std::vector<Upload> uploads;
  std::vector<AckPacing> agents = std::vector<AckPacing>(10);
  UploadFlows balancer;
  /// Time at which the link has sent its queue.
  int64_t link_free_us = 0;
  uint64_t lost = 0;

  TimePoint Now() const { return TimePoint{now_us / 1'000}; }

  void At(int64_t time_us, std::function<void()> event) {
    events.emplace(time_us, std::move(event));
  }

  AckPacing& AgentOf(size_t index) { return agents[index % agents.size()]; }

  void Poll(AckPacing& agent) {
    RefreshUploadFlows(balancer, Now());
    RecordBalancerLink(agent, kBalancerAddress, link_kbps,
                       CountUploads(balancer, Now()), Now());
  }

  // Lets the balancer record a packet. Agents are polled only when the uploads
  // change, not at regular intervals.
  UploadPacketEffect PassPacket(size_t index, const FlowPacket& packet) {
    if (!is_paced) return {};
    const UploadPacketEffect effect =
        RecordUploadPacket(balancer, packet, link_kbps, Now());
    if (effect.starts_upload) Poll(AgentOf(index));
    for (const FlowTuple& flow : TakeFlowsToReport(balancer, Now())) {
      Poll(AgentOf(flow.caller.port - 2'000U));
    }
    return effect;
  }

  // Starts an upload at `time_us`.
  void Start(int64_t time_us) {
    const size_t index = uploads.size();
    Upload upload;
    upload.from_caller = CallerPacket(static_cast<uint16_t>(2'000 + index), 1);
    upload.started_us = time_us;
    uploads.push_back(upload);
    At(time_us, [this, index] { Open(index); });
  }

  // Sends a copy of the opening, and the next one later.
  void Open(size_t index, uint32_t copy = 0) {
    if (uploads[index].sent > 0) return;
    FlowPacket opening = uploads[index].from_caller;
    opening.is_syn = true;
    opening.acknowledged = copy;
    const UploadPacketEffect effect = PassPacket(index, opening);
    if (copy < 2) {
      const int64_t interval_us = copy == 0 ? 200'000 : 400'000;
      At(now_us + interval_us, [=, this] { Open(index, copy + 1); });
    }
    if (effect.action == UploadPacketAction::kDrop) return;
    if (effect.action == UploadPacketAction::kRenewHeld) return;
    const bool is_held = effect.action == UploadPacketAction::kHold;
    const int64_t relayed_us = is_held ? effect.due.value * 1'000 : now_us;
    At(relayed_us + kOneWayUs, [this, index] { Answer(index); });
  }

  void Answer(size_t index) {
    if (uploads[index].sent > 0) return;
    RecordUploadOpened(AgentOf(index),
                       FlowFromCaller(uploads[index].from_caller),
                       kBalancerAddress, {}, Now());
    At(now_us + kOneWayUs, [this, index] { SendWindow(index); });
  }

  void SendWindow(size_t index) {
    Upload& upload = uploads[index];
    while (upload.sent < std::min(kPackets, upload.acknowledged + kWindow)) {
      SendPacket(index, upload.sent++);
    }
    StartTimer(index);
  }

  void StartTimer(size_t index) {
    Upload& upload = uploads[index];
    const uint64_t timer = ++upload.timer;
    if (upload.acknowledged == upload.sent) return;
    At(now_us + upload.timeout_us, [this, index, timer] {
      Upload& late = uploads[index];
      if (late.timer != timer || late.done_us != 0) return;
      late.timeout_us = std::min(2 * late.timeout_us, kMaxTimeoutUs);
      SendPacket(index, late.acknowledged);
      StartTimer(index);
    });
  }

  void SendPacket(size_t index, int64_t number) {
    const double bytes_per_us = link_kbps / 8'000.0 * (1 - other_traffic);
    link_free_us = std::max(link_free_us, now_us);
    const double queued =
        static_cast<double>(link_free_us - now_us) * bytes_per_us;
    if (queued + kLinkPacketBytes > kQueueBytes) {
      ++lost;
      return;
    }
    link_free_us += static_cast<int64_t>(kLinkPacketBytes / bytes_per_us);
    At(link_free_us, [this, index, number] { PassBalancer(index, number); });
  }

  void PassBalancer(size_t index, int64_t number) {
    FlowPacket packet = uploads[index].from_caller;
    packet.data_bytes = kPacketBytes;
    PassPacket(index, packet);
    At(now_us + kOneWayUs, [this, index, number, packet] {
      RelayActions none;
      RecordUploadPath(AgentOf(index), packet, kBalancerAddress, Now(), none);
      Receive(index, number);
    });
  }

  void Receive(size_t index, int64_t number) {
    Upload& upload = uploads[index];
    const bool is_in_order = number == upload.expected;
    upload.early.insert(number);
    while (upload.early.count(upload.expected) != 0) ++upload.expected;
    if (upload.expected == kPackets && upload.done_us == 0) {
      upload.done_us = now_us;
    }
    const bool is_answered =
        !is_in_order || upload.expected % 2 == 0 || upload.expected == kPackets;
    if (is_answered) Acknowledge(index);
  }

  void Acknowledge(size_t index) {
    Upload& upload = uploads[index];
    const int64_t acknowledged = upload.expected;
    FlowPacket packet;
    packet.source = upload.from_caller.destination;
    packet.destination = upload.from_caller.source;
    packet.is_ack = true;
    packet.acknowledged = static_cast<uint32_t>(acknowledged * kPacketBytes);
    RelayActions actions;
    AddDelivery(AgentOf(index), packet, false, Now(), actions);
    int64_t sent_us = now_us;
    for (const HoldPacket& hold : ActionsOf<HoldPacket>(actions)) {
      sent_us = std::max(sent_us, hold.due.value * 1'000);
    }
    // Acknowledgements that this one replaces arrive too late to count.
    At(sent_us + kOneWayUs, [this, index, acknowledged] {
      Upload& sender = uploads[index];
      if (acknowledged <= sender.acknowledged) return;
      sender.acknowledged = acknowledged;
      sender.timeout_us = 200'000;
      SendWindow(index);
    });
  }

  /// Runs until all uploads are complete or `limit` has passed. Returns the
  /// longest time of an upload, `limit` if one is not complete.
  Millis Run(Millis limit) {
    const int64_t end_us = now_us + limit.value * 1'000;
    while (!events.empty() && events.begin()->first < end_us) {
      const auto first = events.begin();
      now_us = first->first;
      const std::function<void()> event = std::move(first->second);
      events.erase(first);
      event();
    }
    int64_t longest_us = 0;
    for (const Upload& upload : uploads) {
      if (upload.done_us == 0) return limit;
      longest_us = std::max(longest_us, upload.done_us - upload.started_us);
    }
    return Millis{longest_us / 1'000};
  }
};

}  // namespace medlarwinch
