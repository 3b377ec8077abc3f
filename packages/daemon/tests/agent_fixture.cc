#include "agent_fixture.h"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <future>
#include <stdexcept>

#include "medlarwinch/standins/upstream_settings.h"

namespace medlarwinch {
namespace {

constexpr const char* kService = "probe-hub";

template <typename T>
T Require(Result<T> result) {
  if (!IsOk(result)) throw std::runtime_error(ErrorOf(result).message);
  return TakeValue(std::move(result));
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition) {
  for (int count = 0; count < 500; ++count) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

TestAgent::TestAgent(uint16_t upstream_port) {
  work_guard = std::make_unique<
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>(
      boost::asio::make_work_guard(context));
  UpstreamSettings settings;
  settings.listen = Endpoint{0x7f000001, upstream_port};
  settings.service = kService;
  settings.name = "upstream-" + std::to_string(upstream_port);
  settings.execution_log = "/tmp/medlarwinch-agent-test-" +
                           std::to_string(getpid()) + "-" +
                           std::to_string(upstream_port) + ".tmp";
  upstream = Require(UpstreamServer::Start(settings));
  std::remove(settings.execution_log.c_str());
  socket = Require(UdpSocket::Bind(Endpoint{0x7f000001, 0}));
  AgentEngineOptions options;
  options.identity = AgentIdentity{kService, socket->local(), 1'000};
  options.upstream = settings.listen;
  options.slots = 4;
  options.roster_settling_time = Millis{0};
  options.certificate = Require(MakeSelfSignedCertificate(kService));
  AgentEngineCallbacks callbacks;
  callbacks.send = [this](const Endpoint& to, ByteView datagram) {
    socket->Send(to, datagram);
  };
  callbacks.set_phase = [this](MemberPhase phase) {
    const std::lock_guard<std::mutex> lock(mutex);
    phases.push_back(phase);
  };
  callbacks.record_account_entry = [this](AccountEntry entry) {
    const std::lock_guard<std::mutex> lock(mutex);
    entries.push_back(std::move(entry));
  };
  engine = std::make_unique<AgentEngine>(options, callbacks, context, metrics);
  io_thread = std::thread([this] { context.run(); });
  tick_thread = std::thread([this] {
    while (!stopping) {
      engine->Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  });
  socket->Start([this](const Endpoint& from, ByteView datagram) {
    engine->OnDatagram(from, datagram);
  });
}

TestAgent::~TestAgent() {
  stopping = true;
  tick_thread.join();
  socket->Stop();
  context.stop();
  io_thread.join();
}

void TestAgent::PublishView(const std::vector<Endpoint>& agents,
                            uint64_t version, const ServiceDocument& document) {
  ControlView view;
  view.documents[kService] = VersionedDocument{version, document};
  for (const Endpoint& agent : agents) {
    view.roster.push_back(RosterEntry{agent, 1'000, MemberPhase::kReady, 4});
  }
  engine->OnView(view);
}

bool TestAgent::HasEntry(const std::string& action, const std::string& rule) {
  const std::lock_guard<std::mutex> lock(mutex);
  for (const AccountEntry& entry : entries) {
    if (entry.action == action && entry.reason.rule == rule) return true;
  }
  return false;
}

AgentsBehindRelay::AgentsBehindRelay(size_t count)
    : keys(FleetKey{}, KeyRing{}) {
  document.service = kService;
  // Test programs of several checkouts may run at the same time, so the ports
  // depend on the process id.
  const uint16_t first_port =
      static_cast<uint16_t>(18'000 + getpid() * 7 % 14'000);
  for (size_t index = 0; index < count; ++index) {
    agents.push_back(
        std::make_unique<TestAgent>(static_cast<uint16_t>(first_port + index)));
  }
  PublishViews();
  relay = Require(UdpSocket::Bind(Endpoint{0x7f000001, 0}));
  relay->Start([this](const Endpoint& from, ByteView datagram) {
    Relay(from, datagram);
  });
  FlowClientOptions options;
  options.targets = {relay->local()};
  options.initial_resend_delay = Millis{100};
  client = Require(FlowClient::Start(options));
}

AgentsBehindRelay::~AgentsBehindRelay() {
  client.reset();
  relay->Stop();
}

void AgentsBehindRelay::PublishViews() {
  std::vector<Endpoint> all;
  for (const std::unique_ptr<TestAgent>& agent : agents) {
    all.push_back(agent->data());
  }
  for (const std::unique_ptr<TestAgent>& agent : agents) {
    agent->PublishView(all, version, document);
  }
}

void AgentsBehindRelay::Relay(const Endpoint& from, ByteView datagram) {
  const Result<FabricPacket> packet = DecodeFabricPacket(datagram);
  if (!IsOk(packet)) return;
  if (should_drop && should_drop(ValueOf(packet))) return;
  const Result<PacketHeader> header =
      ParsePacketHeader(ValueOf(packet).payload);
  if (!IsOk(header)) return;
  ForwardedPacket forwarded;
  forwarded.service = kService;
  forwarded.service_address = ValueOf(packet).service_address;
  forwarded.caller = ValueOf(packet).caller;
  forwarded.fabric_address = from;
  forwarded.payload = ValueOf(packet).payload;
  const std::optional<FlowIdentifier> identifier =
      VerifyFlowIdentifier(keys, kService, ValueOf(header).destination);
  Endpoint to;
  if (identifier.has_value()) {
    to = identifier->agent;
  } else {
    for (const std::unique_ptr<TestAgent>& agent : agents) {
      forwarded.candidates.push_back(agent->data());
    }
    forwarded.accepting_candidates =
        static_cast<uint8_t>(forwarded.candidates.size());
    to = forwarded.candidates.front();
  }
  relay->Send(to, EncodeDataMessage(keys.mac_key(), forwarded));
}

FlowHandle AgentsBehindRelay::Open(bool address_only) {
  FlowOptions options;
  options.service_address = kTestServiceAddress;
  options.address_only = address_only;
  return client->OpenFlow(options);
}

FlowRequestOutcome AgentsBehindRelay::SendAndWait(FlowHandle flow,
                                                  FlowRequest request,
                                                  std::string* body) {
  std::promise<FlowRequestOutcome> promise;
  FlowRequestEvents events;
  events.on_part = [body](uint64_t offset, ByteView data) {
    if (body == nullptr) return;
    body->resize(offset);
    body->append(data.begin(), data.end());
  };
  events.on_end = [&](const FlowRequestOutcome& outcome) {
    promise.set_value(outcome);
  };
  std::future<FlowRequestOutcome> future = promise.get_future();
  if (client->SendRequest(flow, std::move(request), events) == 0) {
    throw std::runtime_error("the client refused the request");
  }
  if (future.wait_for(std::chrono::seconds(20)) != std::future_status::ready) {
    throw std::runtime_error("the request did not end within 20 s");
  }
  return future.get();
}

uint64_t AgentsBehindRelay::executed_request_count() const {
  uint64_t sum = 0;
  for (const std::unique_ptr<TestAgent>& agent : agents) {
    sum += agent->upstream->state().executed;
  }
  return sum;
}

TestAgent* AgentsBehindRelay::OwnerOf(FlowHandle flow) {
  const std::optional<FlowIdentifier> identifier =
      VerifyFlowIdentifier(keys, kService, client->CurrentIdentifier(flow));
  for (const std::unique_ptr<TestAgent>& agent : agents) {
    if (identifier.has_value() && agent->data() == identifier->agent) {
      return agent.get();
    }
  }
  return nullptr;
}

}  // namespace medlarwinch
