#include "medlarwinch/standins/settings_writer.h"

#include <algorithm>
#include <map>
#include <utility>

namespace medlarwinch {
namespace {

constexpr char kFleetKey[] =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
// Shares of a service's connections by class, in percent. Most are long-lived
// feeds; section 1 of the design gives no exact shares.
constexpr int64_t kFeedPercent = 70;
constexpr int64_t kUploadPercent = 12;
constexpr int64_t kDownloadPercent = 5;
constexpr int64_t kEchoPercent = 13;
constexpr uint32_t kFirstCallerIp = 10U << 24 | 1;
// Each service has a range of 4,096 caller addresses of its own.
constexpr uint32_t kCallerIpStride = 1U << 12;

Endpoint WithPort(Endpoint endpoint, uint16_t port) {
  endpoint.port = port;
  return endpoint;
}

}  // namespace

std::string ToFileName(const std::string& name) {
  std::string file = name;
  std::replace(file.begin(), file.end(), '/', '-');
  return file;
}

SettingsWriter::SettingsWriter(const Scenario& scenario,
                               const Topology& topology, std::string folder,
                               uint64_t seed)
    : scenario_(scenario),
      topology_(topology),
      folder_(std::move(folder)),
      seed_(seed) {}

std::string SettingsWriter::RenderPlatform() const {
  return "api: " + ToString(topology_.PlatformApi()) +
         "\ncontrol: " + ToString(topology_.PlatformControl()) + "\n";
}

std::string SettingsWriter::RenderFabric() const {
  std::string text =
      "ingress: " + ToString(topology_.FabricIngress()) +
      "\nfabric: " + ToString(topology_.FabricSocket()) +
      "\ncontrol: " + ToString(topology_.FabricControl()) +
      "\nseed: " + std::to_string(seed_) +
      "\nclient_latency_ms: " + std::to_string(topology_.client_latency_ms) +
      "\ndomain_latency_ms: " + std::to_string(topology_.domain_latency_ms) +
      "\ndomains: [";
  for (const std::string& domain : topology_.domains) text += domain + ", ";
  text += "]\nservices:\n";
  for (const TopologyService& service : topology_.services) {
    text += "  - {name: " + service.name + ", address: \"" +
            ToString(service.address) + "\"}\n";
  }
  text += "hosts:\n";
  for (size_t home_service = 0; home_service < topology_.services.size();
       ++home_service) {
    const int64_t hosts = topology_.services[home_service].hosts;
    for (uint32_t host = 1; host <= static_cast<uint32_t>(hosts); ++host) {
      text += "  - {address: \"" +
              ToString(topology_.HostAddress(home_service, host, kDataPort)) +
              "\", domain: " + topology_.DomainOf(host) + "}\n";
    }
  }
  return text;
}

std::string SettingsWriter::RenderBalancer(
    uint32_t number, const std::vector<Endpoint>& peers) const {
  return RenderDaemon("b" + std::to_string(number), topology_.DomainOf(number),
                      topology_.BalancerAddress(number, 0), peers);
}

std::string SettingsWriter::RenderAgent(
    size_t home_service, uint32_t host, size_t service,
    const std::vector<Endpoint>& peers) const {
  return RenderDaemon(UpstreamName(home_service, host),
                      topology_.DomainOf(host),
                      topology_.HostAddress(home_service, host, 0), peers) +
         "agent:\n  service: " + topology_.services[service].name +
         "\n  slots: " + std::to_string(topology_.services[service].slots) +
         "\n  upstream: " +
         ToString(topology_.HostAddress(home_service, host, kUpstreamPort)) +
         "\n";
}

std::string SettingsWriter::RenderUpstream(size_t home_service, uint32_t host,
                                           size_t service) const {
  const std::string name = UpstreamName(home_service, host);
  std::string text =
      "listen: " +
      ToString(topology_.HostAddress(home_service, host, kUpstreamPort)) +
      "\nservice: " + topology_.services[service].name + "\nname: " + name +
      "\nexecution_log: " + folder_ + "/upstream-" + ToFileName(name) +
      ".log\n";
  for (const auto& [key, value] : scenario_.upstream) {
    text += key + ": " + value + "\n";
  }
  return text;
}

std::string SettingsWriter::RenderLoadGenerator(size_t service) const {
  const TopologyService& target = topology_.services[service];
  const int64_t connections = scenario_.connections * target.hosts;
  std::map<std::string, int64_t> load{
      {"feeds", connections * kFeedPercent / 100},
      {"uploaders", connections * kUploadPercent / 100},
      {"downloaders", connections * kDownloadPercent / 100},
      {"echoers", connections * kEchoPercent / 100}};
  if (!scenario_.load.empty()) load = scenario_.load;
  std::string text =
      "targets: [\"" + ToString(topology_.FabricIngress()) + "\"]\nlocal: " +
      ToString(
          topology_.LoopbackAddress(3, static_cast<uint32_t>(service) + 1, 9)) +
      "\nservice: " + target.name +
      "\nservice_address: " + ToString(target.address) + "\nfirst_caller: " +
      ToString(Endpoint{
          kFirstCallerIp + static_cast<uint32_t>(service) * kCallerIpStride,
          1}) +
      "\nevent_log: " + folder_ + "/caller-" + target.name +
      ".log\nseed: " + std::to_string(seed_ + service) +
      "\nupload_path: " + target.upload_path +
      "\ndownload_path: " + target.download_path + "\n";
  for (const auto& [name, count] : load) {
    text += name + ": " + std::to_string(count) + "\n";
  }
  for (const auto& [key, value] : scenario_.caller) {
    text += key + ": " + value + "\n";
  }
  return text;
}

std::string SettingsWriter::UpstreamName(size_t home_service,
                                         uint32_t host) const {
  return topology_.services[home_service].name + "/" + std::to_string(host);
}

std::string SettingsWriter::RenderDaemon(
    const std::string& name, const std::string& domain, const Endpoint& address,
    const std::vector<Endpoint>& peers) const {
  std::string text =
      "name: " + name + "\nfailure_domain: " + domain + "\nfleet_key: \"" +
      kFleetKey + "\"\ncontrol: " + ToString(WithPort(address, kControlPort)) +
      "\ndata: " + ToString(WithPort(address, kDataPort)) +
      "\nadmin: " + ToString(WithPort(address, kAdminPort)) +
      "\nplatform: " + ToString(topology_.PlatformApi()) + "\npeers: [";
  for (size_t index = 0; index < peers.size(); ++index) {
    text += (index > 0 ? ", \"" : "\"") + ToString(peers[index]) + "\"";
  }
  return text + "]\n";
}

}  // namespace medlarwinch
