#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "medlarwinch/coordination/packet_path/local_upstream.h"
#include "medlarwinch/coordination/packet_path/relay_routes.h"
#include "medlarwinch/coordination/packet_path/upstream_directory.h"
#include "medlarwinch/node/node_settings.h"
#include "medlarwinch/node/store_connection.h"
#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_packet.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// Notice that an upstream sends to its agent.
using UpstreamNotice = std::variant<UpstreamHeartbeat, UpstreamDeregistration>;

/// Interface between a node and the platform it runs on, in the project's own
/// types. The folder `platform/` provides the implementation.
struct PlatformAdapter {
  /// Decodes the header of a packet; nullopt when the bytes are not a packet.
  std::function<std::optional<FlowPacket>(std::span<const uint8_t>)>
      decode_packet;
  /// Restores a packet that an upstream returned to its original bytes.
  std::function<void(std::span<uint8_t>)> restore_bounced_packet;
  /// Encodes a reset packet of a flow for its caller.
  std::function<Bytes(const FlowTuple&, uint32_t sequence)> make_reset;
  /// Returns the address to which packets for a caller are sent.
  std::function<Endpoint(const Endpoint& caller)> caller_gateway;
  /// Decodes a request of an upstream; kNotFound for any other request.
  std::function<Result<UpstreamNotice>(const HttpRequest&)> decode_notice;
  /// Opens a connection to the store.
  std::function<std::unique_ptr<StoreConnection>()> open_store;
  /// Kind and name of the store object that holds the configuration.
  std::string configuration_kind;
  std::string configuration_name;
  /// Kind of the store objects whose names are evacuated failure domains.
  std::string evacuation_kind;
  std::function<Result<RelayConfiguration>(const std::string& content)>
      decode_configuration;
  /// Reads this node's settings; fails with the same errors as at startup.
  std::function<Result<NodeSettings>()> read_settings;
  /// Returns a value that changes whenever the settings file changes.
  std::function<uint64_t()> settings_file_stamp;
  /// HTTP path of the readiness check.
  std::string readiness_path;
};

}  // namespace medlarwinch
