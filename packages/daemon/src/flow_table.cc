#include "medlarwinch/daemon/flow_table.h"

#include <algorithm>
#include <cstring>
#include <string_view>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr size_t kHashInputBytes = 12 + 1 + kCallerIdentifierBytes;

size_t AppendEndpoint(const Endpoint& endpoint, char* out) {
  std::memcpy(out, &endpoint.ip, sizeof(endpoint.ip));
  std::memcpy(out + sizeof(endpoint.ip), &endpoint.port, sizeof(endpoint.port));
  return sizeof(endpoint.ip) + sizeof(endpoint.port);
}

}  // namespace

std::optional<CallerIdentifier> CallerIdentifier::From(ByteView view) {
  if (view.size() > kCallerIdentifierBytes) return std::nullopt;
  CallerIdentifier identifier;
  identifier.size = static_cast<uint8_t>(view.size());
  std::copy(view.begin(), view.end(), identifier.bytes.begin());
  return identifier;
}

size_t CallerKeyHash::operator()(const CallerKey& key) const {
  std::array<char, kHashInputBytes> input{};
  size_t offset = AppendEndpoint(key.service_address, input.data());
  offset += AppendEndpoint(key.caller, input.data() + offset);
  input[offset++] = static_cast<char>(key.identifier.size);
  std::memcpy(input.data() + offset, key.identifier.bytes.data(),
              kCallerIdentifierBytes);
  return HashKey(std::string_view(input.data(), input.size()));
}

uint32_t FlowTable::Add(const CallerKey& key, const Endpoint& fabric,
                        TimePoint now) {
  while (flows_.contains(next_flow_number_)) ++next_flow_number_;
  const uint32_t number = next_flow_number_++;
  Flow flow;
  flow.key = key;
  flow.fabric = fabric;
  flow.last_received = now;
  flows_.emplace(number, flow);
  number_by_caller_.emplace(key, number);
  return number;
}

Flow* FlowTable::Find(uint32_t number) {
  const auto found = flows_.find(number);
  return found == flows_.end() ? nullptr : &found->second;
}

std::optional<uint32_t> FlowTable::FindNumber(const CallerKey& key) const {
  const auto found = number_by_caller_.find(key);
  if (found == number_by_caller_.end()) return std::nullopt;
  return found->second;
}

void FlowTable::Remove(uint32_t number) {
  const auto found = flows_.find(number);
  if (found == flows_.end()) return;
  number_by_caller_.erase(found->second.key);
  flows_.erase(found);
}

void FlowTable::UpdateCallerAddress(uint32_t number, const Endpoint& caller) {
  const auto found = flows_.find(number);
  if (found == flows_.end()) return;
  CallerKey updated_key = found->second.key;
  updated_key.caller = caller;
  if (number_by_caller_.contains(updated_key)) return;
  number_by_caller_.erase(found->second.key);
  number_by_caller_.emplace(updated_key, number);
  found->second.key = updated_key;
}

bool FlowTable::AllOf(const std::function<bool(const Flow&)>& predicate) const {
  return std::all_of(flows_.begin(), flows_.end(), [&](const auto& entry) {
    return predicate(entry.second);
  });
}

void FlowTable::VisitSlice(size_t slices,
                           const std::function<void(uint32_t, Flow&)>& visit) {
  const size_t buckets = flows_.bucket_count();
  next_slice_ = (next_slice_ + 1) % slices;
  const size_t first = buckets * next_slice_ / slices;
  const size_t last = buckets * (next_slice_ + 1) / slices;
  for (size_t bucket = first; bucket < last; ++bucket) {
    for (auto entry = flows_.begin(bucket); entry != flows_.end(bucket);
         ++entry) {
      visit(entry->first, entry->second);
    }
  }
}

}  // namespace medlarwinch
