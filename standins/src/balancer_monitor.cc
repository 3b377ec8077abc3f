#include "medlarwinch/standins/balancer_monitor.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "medlarwinch/transport/http_client.h"

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kStatusPollInterval{50};
constexpr Millis kStatusTimeout{400};
constexpr Millis kFabricTimeout{1'000};
// A single lost poll on a busy machine must not remove a balancer from the
// fabric.
constexpr int kUnhealthyThreshold = 2;

}  // namespace

BalancerMonitor::BalancerMonitor(const MonitoredBalancer& balancer,
                                 EventLog& log)
    : balancer_(balancer), log_(log), thread_([this] { Run(); }) {}

BalancerMonitor::~BalancerMonitor() {
  stopping_ = true;
  thread_.join();
}

void BalancerMonitor::Run() {
  int failures = 0;
  while (!stopping_) {
    const bool is_ready = Poll();
    is_ready_ = is_ready;
    failures = is_ready ? 0 : failures + 1;
    if (is_ready || failures >= kUnhealthyThreshold)
      UpdateFabricMembership(is_ready);
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

bool BalancerMonitor::Poll() {
  const Result<HttpResponse> response = SendHttpRequest(
      balancer_.admin, HttpRequest{"GET", "/status", "", {}}, kStatusTimeout);
  if (!IsOk(response) || ValueOf(response).status != 200) return false;
  const Json status = Json::parse(ValueOf(response).body, nullptr, false);
  if (!status.is_object() || !status.contains("documents")) return false;
  for (const auto& [service, version] : status["documents"].items()) {
    if (!version.is_number_unsigned()) continue;
    const uint64_t number = version.get<uint64_t>();
    if (seen_versions_[service] == number) continue;
    seen_versions_[service] = number;
    log_.Write("config_seen", {{"balancer", balancer_.name},
                               {"service", service},
                               {"version", std::to_string(number)}});
  }
  const Json::json_pointer agents("/members/agent/ready");
  if (status.contains(agents) && status[agents].is_number()) {
    ready_agents_ = status[agents].get<int>();
  }
  return status.value("phase", "") == "ready" &&
         status["documents"].size() >= balancer_.required_documents;
}

void BalancerMonitor::UpdateFabricMembership(bool is_in_fabric) {
  if (is_in_fabric == is_in_fabric_) return;
  const std::string target =
      is_in_fabric ? "/control/balancers?add=" + balancer_.name +
                         "&data=" + ToString(balancer_.data) +
                         "&domain=" + balancer_.domain
                   : "/control/balancers?remove=" + balancer_.name;
  const Result<HttpResponse> response = SendHttpRequest(
      balancer_.fabric, HttpRequest{"POST", target, "", {}}, kFabricTimeout);
  if (!IsOk(response)) return;
  is_in_fabric_ = is_in_fabric;
  log_.Write(is_in_fabric ? "fabric_added" : "fabric_removed",
             {{"balancer", balancer_.name}});
}

}  // namespace medlarwinch
