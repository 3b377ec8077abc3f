#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Bytes of a flow identifier on the wire.
inline constexpr size_t kFlowIdentifierBytes = 20;

/// A connection identifier as it stands in a packet.
using FlowIdentifierBytes = std::array<uint8_t, kFlowIdentifierBytes>;

/// The verified content of an identifier that an agent issued.
struct FlowIdentifier {
  uint8_t key_epoch = 0;
  /// Data address of the agent that owns the flow.
  Endpoint agent;
  /// 16-bit hash of the agent's boot time; tells a restarted agent apart.
  uint16_t boot_tag = 0;
  uint32_t flow_number = 0;

  friend bool operator==(const FlowIdentifier&,
                         const FlowIdentifier&) = default;
};

}  // namespace medlarwinch
