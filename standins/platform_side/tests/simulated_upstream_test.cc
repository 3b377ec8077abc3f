#include "medlarwinch/platform_side/simulated_upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

#include "medlarwinch/platform_side/flow_packets.h"
#include "medlarwinch/platform_side/soak_configuration.h"

namespace medlarwinch {
namespace {

constexpr uint32_t kUpstreamIp = 0x7f4f0001;

struct RunningUpstream {
  RunningUpstream() {
    SimulatedUpstreamSettings settings;
    settings.service = kHubService;
    settings.failure_domain = "d1";
    settings.ip = kUpstreamIp;
    upstream = std::make_unique<SimulatedUpstream>(
        loop, settings, RouteAddresses(kHubService), 1,
        [](const std::string& what) { BOOST_ERROR(what); },
        [](const FlowTuple& /*flow*/) {},
        [this](const FlowTuple& flow) { foreign.push_back(flow); });
    BOOST_REQUIRE(IsOk(upstream->Start()));
  }

  // Returns the status of a status check, or nullopt if it fails.
  std::optional<int> CheckStatus() {
    HttpRequest request;
    request.method = "GET";
    request.target = "/health";
    std::optional<Result<HttpResponse>> result;
    AsyncHttpClient client(loop, Endpoint{kUpstreamIp, kUpstreamPacketPort});
    client.Send(
        request, Millis{300}, Millis{300},
        [&](Result<HttpResponse> received) { result = std::move(received); });
    while (!result.has_value()) loop.run_one();
    if (!IsOk(*result)) return std::nullopt;
    return ValueOf(*result).status;
  }

  boost::asio::io_context loop{1};
  std::unique_ptr<SimulatedUpstream> upstream;
  std::vector<FlowTuple> foreign;
};

BOOST_FIXTURE_TEST_SUITE(SimulatedUpstreamWhenRunning, RunningUpstream)

// The soak's upstreams had no listener, so that every check of an agent found
// its upstream absent.
BOOST_AUTO_TEST_CASE(StatusCheck_UntilUpstreamEnds_IsAnswered) {
  BOOST_TEST((CheckStatus() == 200));
  upstream->Drain();
  BOOST_TEST((CheckStatus() == 503));
  upstream.reset();
  BOOST_TEST(!CheckStatus().has_value());
}

// The soak would not notice packets of open flows that reach other upstreams.
BOOST_AUTO_TEST_CASE(Packet_OfUnknownFlow_IsReportedAsForeign) {
  FlowPacket packet;
  packet.source = Endpoint{0x64400007, 40'001};
  packet.destination = *RouteAddresses(kHubService).begin();
  packet.is_ack = true;
  std::unique_ptr<AsyncUdpSocket> agent;
  BOOST_REQUIRE(IsOk(AsyncUdpSocket::OpenInto(
      agent, loop, Endpoint{kUpstreamIp, kOutboundPort},
      [](const Endpoint& /*from*/, std::span<uint8_t> /*datagram*/) {})));
  agent->Send(Endpoint{kUpstreamIp, kUpstreamPacketPort},
              EncodePacket(packet, "data"));
  while (foreign.empty()) loop.run_one();
  BOOST_TEST((foreign.front() == FlowFromCaller(packet)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
