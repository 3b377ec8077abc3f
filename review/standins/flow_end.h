#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/flow_packet.h"

namespace medlarwinch::review {

/// One end of an open flow, as PROTOCOL.md describes it: packets of up to 1,200
/// bytes, at most 16 in flight, an acknowledgement for every second packet and
/// for each one that arrives out of order, and retransmission of the oldest
/// missing packet after 200 ms with intervals that double up to 1.6 s.
class FlowEnd {
 public:
  using Sender =
      std::function<void(const FlowPacket& packet, std::string_view data)>;

  FlowEnd(const Endpoint& local, const Endpoint& remote, uint32_t next_sequence,
          uint32_t expected_sequence, Sender sender);

  /// Sends data as far as the window allows, and the rest later.
  void Write(std::string_view data, TimePoint now);

  /// Sends a FIN after all data.
  void Finish(TimePoint now);

  /// Returns the data that is now in order.
  std::string HandlePacket(const FlowPacket& packet, std::string_view data,
                           TimePoint now);

  /// To be called about every 10 ms.
  void Tick(TimePoint now);

  /// True once the other end has finished and all of its data has arrived.
  bool is_remote_finished() const { return is_remote_finished_; }
  /// True while data is not acknowledged.
  bool has_unacknowledged() const { return !segments_.empty(); }
  /// Number of consecutive retransmissions without progress.
  int retransmissions() const { return retransmissions_; }
  uint32_t next_sequence() const { return next_sequence_; }

 private:
  struct Segment {
    uint32_t sequence = 0;
    std::string data;
    bool is_fin = false;
    bool is_sent = false;
  };

  void SendWindow(TimePoint now);
  void SendSegment(const Segment& segment);
  void SendAcknowledgement();

  Endpoint local_;
  Endpoint remote_;
  Sender sender_;
  /// Sequence number after the last queued byte.
  uint32_t next_sequence_;
  uint32_t expected_sequence_;
  std::deque<Segment> segments_;
  std::map<uint32_t, std::string> out_of_order_;
  TimePoint retransmit_at_;
  Millis interval_;
  int retransmissions_ = 0;
  int unacknowledged_packets_ = 0;
  bool is_recovering_ = false;
  bool is_remote_finished_ = false;
};

}  // namespace medlarwinch::review
