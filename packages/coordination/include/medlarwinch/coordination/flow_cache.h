#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "medlarwinch/coordination/relay_types.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Which agent a balancer believes to hold a flow.
struct CachedFlow {
  FlowTuple flow;
  Endpoint agent;
  /// When the last packet passed, in milliseconds of the balancer's clock cut
  /// to 32 bits.
  uint32_t last_used_ms = 0;
  /// False while several agents may have accepted the opening, so that the next
  /// packet has to find out which of them the caller chose.
  bool is_owner_confirmed = false;

  friend bool operator==(const CachedFlow&, const CachedFlow&) = default;
};

/// The flows that passed a balancer recently, in an open-addressing hash table
/// of sizeof(CachedFlow) bytes a slot that is at most three quarters full. It
/// only saves searches: an entry that is lost is found again at the agents.
class FlowCache {
 public:
  /// Holds at most `max_flows`; above that the flow that was idle longest among
  /// a few is evicted.
  explicit FlowCache(size_t max_flows);

  /// Returns the entry of `flow` or null; the pointer is valid until the next
  /// call of Put() or Remove() or RemoveIdle().
  CachedFlow* Find(const FlowTuple& flow);

  /// Adds or replaces the entry of `flow`.
  void Put(const FlowTuple& flow, const Endpoint& agent,
           bool is_owner_confirmed, TimePoint now);

  void Remove(const FlowTuple& flow);

  /// Marks the entry as used at `now`.
  static void Touch(CachedFlow& entry, TimePoint now);

  /// Removes the flows that were idle for `idle` or longer among the next
  /// `slots` slots of the table; repeated calls go through the whole table.
  void RemoveIdle(TimePoint now, Millis idle, size_t slots);

  size_t size() const { return size_; }
  /// Entries dropped because the table was at its bound.
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
