#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Size of a flow identifier on the wire.
inline constexpr size_t kFlowIdentifierBytes = 20;

/// A connection identifier in its wire format.
using FlowIdentifierBytes = std::array<uint8_t, kFlowIdentifierBytes>;

/// The verified content of an identifier issued by an agent.
struct FlowIdentifier {
  uint8_t key_epoch = 0;
  /// Data address of the agent that owns the flow.
  Endpoint agent;
  /// 16-bit hash of the agent's boot time. Distinguishes the agent from earlier
  /// processes at its address.
  uint16_t boot_tag = 0;
  uint32_t flow_number = 0;

  friend bool operator==(const FlowIdentifier&,
                         const FlowIdentifier&) = default;
};

}  // namespace medlarwinch
