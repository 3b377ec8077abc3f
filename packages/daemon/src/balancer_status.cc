#include "medlarwinch/daemon/balancer_status.h"

#include <nlohmann/json.hpp>

namespace medlarwinch {

std::string BalancerStatusJson(const ControlView& view,
                               const std::string& control, TimePoint now) {
  nlohmann::json status;
  status["id"] = ToString(view.self.id);
  status["phase"] = MemberPhaseName(view.self.version.phase);
  status["boot"] = view.self.version.boot;
  status["incarnation"] = view.self.version.incarnation;
  status["key_ring_version"] = view.key_ring_version;
  status["documents"] = nlohmann::json::object();
  for (const auto& [service, versioned] : view.documents) {
    status["documents"][service] = versioned.version;
  }
  status["members"] = nlohmann::json::object();
  for (const auto& [id, member] : view.members) {
    nlohmann::json& count = status["members"][MemberKindName(member.kind)]
                                  [MemberPhaseName(member.version.phase)];
    count = count.is_null() ? 1 : count.get<int>() + 1;
  }
  status["doubtful"] = nlohmann::json::array();
  for (const Endpoint& id : view.doubtful) {
    status["doubtful"].push_back(ToString(id));
  }
  status["platform_age_ms"] = nullptr;
  if (view.last_platform_response.value >= 0) {
    status["platform_age_ms"] = (now - view.last_platform_response).value;
  }
  status["control"] = nlohmann::json::parse(control, nullptr, false);
  if (status["control"].is_discarded()) status["control"] = nullptr;
  return status.dump();
}

}  // namespace medlarwinch
