#include "medlarwinch/coordination/packet_path/flow_cache.h"

#include <algorithm>
#include <utility>

namespace medlarwinch {
namespace {

constexpr size_t kInitialSlots = 256;
// Number of entries examined for an eviction. A larger sample finds an older
// entry.
constexpr size_t kEvictionSample = 16;

uint32_t TruncateTime(TimePoint now) {
  return static_cast<uint32_t>(now.value);
}

}  // namespace

FlowCache::FlowCache(size_t max_flows)
    : slots_(kInitialSlots), max_flows_(std::max<size_t>(max_flows, 1)) {}

size_t FlowCache::HomeOf(const FlowTuple& flow) const {
  return HashFlow(flow) & (slots_.size() - 1);
}

// Returns the slot of `flow`, or the free slot where it would be inserted.
size_t FlowCache::IndexOf(const FlowTuple& flow) const {
  size_t index = HomeOf(flow);
  while (slots_[index].is_used && slots_[index].entry.flow != flow) {
    index = (index + 1) & (slots_.size() - 1);
  }
  return index;
}

CachedFlow* FlowCache::Find(const FlowTuple& flow) {
  Slot& slot = slots_[IndexOf(flow)];
  return slot.is_used ? &slot.entry : nullptr;
}

void FlowCache::Put(const FlowTuple& flow, const Endpoint& agent,
                    bool is_owner_confirmed, TimePoint now) {
  size_t index = IndexOf(flow);
  if (!slots_[index].is_used) {
    if (size_ >= max_flows_) {
      EvictOne(now);
    } else if ((size_ + 1) * 4 > slots_.size() * 3) {
      Grow();
    }
    index = IndexOf(flow);
    slots_[index].is_used = true;
    ++size_;
  }
  slots_[index].entry =
      CachedFlow{flow, agent, TruncateTime(now), is_owner_confirmed};
}

Millis FlowCache::IdleTime(const CachedFlow& entry, TimePoint now) {
  return Millis{TruncateTime(now) - entry.last_used_ms};
}

void FlowCache::Touch(CachedFlow& entry, TimePoint now) {
  entry.last_used_ms = TruncateTime(now);
}

void FlowCache::Remove(const FlowTuple& flow) {
  const size_t index = IndexOf(flow);
  if (slots_[index].is_used) RemoveAt(index);
}

// Closes the gap by moving back the entries that were displaced past it.
void FlowCache::RemoveAt(size_t index) {
  const size_t mask = slots_.size() - 1;
  size_t gap = index;
  size_t next = (gap + 1) & mask;
  while (slots_[next].is_used) {
    const size_t home = HomeOf(slots_[next].entry.flow);
    const size_t distance_to_home = (next - home) & mask;
    const size_t distance_to_gap = (next - gap) & mask;
    if (distance_to_home >= distance_to_gap) {
      slots_[gap] = slots_[next];
      gap = next;
    }
    next = (next + 1) & mask;
  }
  slots_[gap].is_used = false;
  --size_;
}

void FlowCache::Grow() {
  std::vector<Slot> old(slots_.size() * 2);
  std::swap(old, slots_);
  for (const Slot& slot : old) {
    if (!slot.is_used) continue;
    slots_[IndexOf(slot.entry.flow)] = slot;
  }
}

void FlowCache::EvictOne(TimePoint now) {
  const size_t mask = slots_.size() - 1;
  size_t oldest = slots_.size();
  uint32_t oldest_age = 0;
  size_t seen = 0;
  for (size_t step = 0; step < slots_.size() && seen < kEvictionSample;
       ++step) {
    const size_t index = (sweep_position_ + step) & mask;
    if (!slots_[index].is_used) continue;
    ++seen;
    const uint32_t age = TruncateTime(now) - slots_[index].entry.last_used_ms;
    if (oldest != slots_.size() && age <= oldest_age) continue;
    oldest = index;
    oldest_age = age;
  }
  sweep_position_ = (sweep_position_ + kEvictionSample) & mask;
  if (oldest == slots_.size()) return;
  RemoveAt(oldest);
  ++evictions_;
}

void FlowCache::RemoveIdle(TimePoint now, Millis idle, size_t slots) {
  const size_t mask = slots_.size() - 1;
  for (size_t step = 0; step < std::min(slots, slots_.size()); ++step) {
    sweep_position_ = (sweep_position_ + 1) & mask;
    // Removal may move the next entry into this slot, so check it again.
    while (slots_[sweep_position_].is_used &&
           TruncateTime(now) - slots_[sweep_position_].entry.last_used_ms >=
               static_cast<uint32_t>(idle.value)) {
      RemoveAt(sweep_position_);
    }
  }
}

}  // namespace medlarwinch
