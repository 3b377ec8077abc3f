#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>

#include "medlarwinch/coordination/request_path/request_window.h"
#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/packet_header.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Identifier chosen by the caller; length 0 for a caller that is known by its
/// address pair only.
struct CallerIdentifier {
  uint8_t size = 0;
  std::array<uint8_t, kCallerIdentifierBytes> bytes{};

  /// Returns nothing if `view` is longer than kCallerIdentifierBytes.
  static std::optional<CallerIdentifier> From(ByteView view);
  ByteView view() const { return ByteView(bytes.data(), size); }

  friend bool operator==(const CallerIdentifier&,
                         const CallerIdentifier&) = default;
};

/// Key of a flow until the caller knows the flow's identifier.
struct CallerKey {
  Endpoint service_address;
  Endpoint caller;
  CallerIdentifier identifier;

  friend bool operator==(const CallerKey&, const CallerKey&) = default;
};

struct CallerKeyHash {
  size_t operator()(const CallerKey& key) const;
};

/// One open flow. A process holds hundreds of thousands of them, so state that
/// only flows with requests in progress need is kept elsewhere.
struct Flow {
  CallerKey key;
  /// Address to which responses are sent, each as a FabricPacket.
  Endpoint fabric;
  /// Time of the last packet from the caller.
  TimePoint last_received;
  RequestWindow requests;
  uint16_t requests_in_progress = 0;
  /// Number of GoAway packets sent; above 0 the flow accepts no more requests.
  uint8_t go_aways_sent = 0;
  TimePoint last_go_away;
};

/// The flows of one agent, indexed by flow number and by caller. Not
/// thread-safe.
class FlowTable {
 public:
  /// Flow numbers are assigned in increasing order from `first_number`.
  explicit FlowTable(uint32_t first_number) : next_flow_number_(first_number) {}

  size_t size() const { return flows_.size(); }

  /// Adds a flow and returns its number. `key` must not be in the table yet.
  uint32_t Add(const CallerKey& key, const Endpoint& fabric, TimePoint now);

  /// Returns nullptr if there is no such flow. The pointer is valid until the
  /// flow is removed.
  Flow* Find(uint32_t number);

  /// Returns the number of the caller's flow, or nothing if there is none.
  std::optional<uint32_t> FindNumber(const CallerKey& key) const;

  void Remove(uint32_t number);

  /// Changes the address of the flow's caller, for example after a NAT
  /// rebinding. Does nothing if another flow has the resulting key.
  void UpdateCallerAddress(uint32_t number, const Endpoint& caller);

  /// Returns true if `predicate` holds for every flow.
  bool AllOf(const std::function<bool(const Flow&)>& predicate) const;

  /// Visits about 1/`slices` of the flows, a different slice in each of
  /// `slices` consecutive calls. `visit` must not add or remove flows.
  void VisitSlice(size_t slices,
                  const std::function<void(uint32_t, Flow&)>& visit);

 private:
  std::unordered_map<uint32_t, Flow> flows_;
  std::unordered_map<CallerKey, uint32_t, CallerKeyHash> number_by_caller_;
  uint32_t next_flow_number_;
  size_t next_slice_ = 0;
};

}  // namespace medlarwinch
