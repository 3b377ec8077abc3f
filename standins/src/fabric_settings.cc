#include "medlarwinch/standins/fabric_settings.h"

#include "medlarwinch/protocol/yaml_reader.h"

namespace medlarwinch {

Result<FabricSettings> ParseFabricSettings(const std::string& file,
                                           const std::string& text) {
  YamlReader reader(file, text);
  FabricSettings settings;
  settings.ingress = reader.RequiredEndpoint("ingress");
  settings.fabric = reader.RequiredEndpoint("fabric");
  settings.control = reader.RequiredEndpoint("control");
  settings.domains = reader.Strings("domains");
  settings.client_latency_ms = reader.Number("client_latency_ms", 0, 0, 10'000);
  settings.domain_latency_ms = reader.Number("domain_latency_ms", 0, 0, 10'000);
  settings.bind_services = reader.Boolean("bind_services", true);
  settings.seed =
      static_cast<uint64_t>(reader.Integer("seed", 1, 0, INT64_MAX));
  for (YamlReader& item : reader.List("services")) {
    settings.services.push_back(FabricService{
        item.RequiredString("name"), item.RequiredEndpoint("address")});
  }
  for (YamlReader& item : reader.List("balancers")) {
    settings.balancers.push_back(FabricBalancer{item.RequiredString("name"),
                                                item.RequiredEndpoint("data"),
                                                item.String("domain", "")});
  }
  for (YamlReader& item : reader.List("hosts")) {
    const Endpoint address = item.RequiredEndpoint("address");
    settings.host_domains[address.ip] = item.RequiredString("domain");
  }
  const Result<Ok> finished = reader.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return settings;
}

}  // namespace medlarwinch
