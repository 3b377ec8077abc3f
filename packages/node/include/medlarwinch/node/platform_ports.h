#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "medlarwinch/coordination/relay_routes.h"
#include "medlarwinch/coordination/upstream_directory.h"
#include "medlarwinch/coordination/upstream_host.h"
#include "medlarwinch/node/node_settings.h"
#include "medlarwinch/node/store_connection.h"
#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// An upstream's notice that it is gone.
struct UpstreamDeregistration {
  std::string id;

  friend bool operator==(const UpstreamDeregistration&,
                         const UpstreamDeregistration&) = default;
};

/// What an upstream sends to its agent.
using UpstreamNotice = std::variant<UpstreamHeartbeat, UpstreamDeregistration>;

/// Everything that a node needs of the platform it runs on, in the project's
/// own types. The folder `platform/` fills it in.
struct PlatformPorts {
  /// Reads the header of a packet; nothing for bytes that are none.
  std::function<std::optional<FlowPacket>(std::span<const uint8_t>)>
      decode_packet;
  /// Restores a packet that an upstream returned to what its sender wrote.
  std::function<void(std::span<uint8_t>)> restore_bounced;
  /// Returns the packet that ends a flow at its caller.
  std::function<Bytes(const FlowTuple&, uint32_t sequence)> make_reset;
  /// Where packets for a caller are sent.
  std::function<Endpoint(const Endpoint& caller)> caller_gateway;
  /// Reads what an upstream sent; kNotFound for any other request.
  std::function<Result<UpstreamNotice>(const HttpRequest&)> decode_notice;
  /// Opens a connection to the store.
  std::function<std::unique_ptr<StoreConnection>()> open_store;
  /// Kind and name of the object that holds the desired state.
  std::string configuration_kind;
  std::string configuration_name;
  std::function<Result<RelayConfiguration>(const std::string& content)>
      decode_configuration;
  /// Reads this node's settings again; fails as at the start.
  std::function<Result<NodeSettings>()> read_settings;
  /// Changes with every change of the settings file.
  std::function<uint64_t()> settings_stamp;
  /// Path of the readiness checks.
  std::string readiness_path;
};

}  // namespace medlarwinch
