#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/packet_path/relay_types.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// The presumed owner of a flow.
struct CachedFlow {
  FlowTuple flow;
  Endpoint agent;
  /// Time of the last packet, in milliseconds of the balancer's clock truncated
  /// to 32 bits.
  uint32_t last_used_ms = 0;
  /// False while several agents may have accepted the opening, so that the next
  /// packet has to establish which of them the caller chose.
  bool is_owner_confirmed = false;
  /// Copies of the flow's opening that passed this balancer, and those of them
  /// that no upstream has taken, as bits by the number of the copy.
  uint8_t relayed_copies = 0;
  uint8_t declined_copies = 0;

  friend bool operator==(const CachedFlow&, const CachedFlow&) = default;
};

/// Flows that recently passed a balancer, in an open-addressing hash table with
/// slots of sizeof(CachedFlow) bytes and a load factor of at most 3/4. The
/// cache only avoids searches: the owner of a missing flow is found again by
/// querying the agents.
class FlowCache {
 public:
  /// Holds at most `max_flows`. When it is full, the flow that was idle longest
  /// among a small sample is evicted.
  explicit FlowCache(size_t max_flows);

  /// Returns the entry of `flow` or null. The pointer is invalidated by Put(),
  /// Remove() and RemoveIdle().
  CachedFlow* Find(const FlowTuple& flow);

  /// Adds or replaces the entry of `flow`.
  void Put(const FlowTuple& flow, const Endpoint& agent,
           bool is_owner_confirmed, TimePoint now);

  void Remove(const FlowTuple& flow);

  /// Returns the time since the last use of the entry.
  static Millis IdleTime(const CachedFlow& entry, TimePoint now);

  /// Sets the time of last use of the entry to `now`.
  static void Touch(CachedFlow& entry, TimePoint now);

  /// Removes flows that were idle for at least `idle` from the next `slots`
  /// slots of the table. Repeated calls sweep the whole table.
  void RemoveIdle(TimePoint now, Millis idle, size_t slots);

  size_t size() const { return size_; }
  /// Number of entries evicted because the table was full.
  uint64_t evictions() const { return evictions_; }

 private:
  struct Slot {
    CachedFlow entry;
    bool is_used = false;
  };

  size_t HomeOf(const FlowTuple& flow) const;
  size_t IndexOf(const FlowTuple& flow) const;
  void RemoveAt(size_t index);
  void Grow();
  void EvictOne(TimePoint now);

  std::vector<Slot> slots_;
  size_t size_ = 0;
  size_t max_flows_;
  size_t sweep_position_ = 0;
  uint64_t evictions_ = 0;
};

}  // namespace medlarwinch
