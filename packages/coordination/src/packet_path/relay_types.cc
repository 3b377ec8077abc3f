#include "medlarwinch/coordination/packet_path/relay_types.h"

#include <xxhash.h>

#include <algorithm>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {

ServiceId MakeServiceId(std::string_view name) {
  return ServiceId{HashKey(name)};
}

bool Contains(std::span<const ServiceId> services, ServiceId service) {
  return std::find(services.begin(), services.end(), service) != services.end();
}

uint64_t HashFlow(const FlowTuple& flow) {
  const uint32_t input[3] = {flow.caller.ip, flow.service_address.ip,
                             static_cast<uint32_t>(flow.caller.port) << 16 |
                                 flow.service_address.port};
  return XXH3_64bits(input, sizeof(input));
}

const char* UpstreamPhaseName(UpstreamPhase phase) {
  switch (phase) {
    case UpstreamPhase::kUnknown:
      return "unknown";
    case UpstreamPhase::kReady:
      return "ready";
    case UpstreamPhase::kDraining:
      return "draining";
    case UpstreamPhase::kAbsent:
      return "absent";
    case UpstreamPhase::kAgentRestarting:
      return "agent_restarting";
  }
  return "invalid";
}

}  // namespace medlarwinch
