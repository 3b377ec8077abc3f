#include <boost/test/unit_test.hpp>

#include "agent_fixture.h"

namespace medlarwinch {
namespace {

FlowRequest Get(const std::string& path) {
  FlowRequest request;
  request.path = path;
  return request;
}

FlowRequest Upload(const std::string& path, const std::string& key) {
  FlowRequest request;
  request.method = "POST";
  request.path = path;
  request.is_idempotent = false;
  request.idempotency_key = key;
  return request;
}

struct OneAgent : AgentsBehindRelay {
  OneAgent() : AgentsBehindRelay(1) {}
};

struct ThreeAgents : AgentsBehindRelay {
  ThreeAgents() : AgentsBehindRelay(3) {}
};

BOOST_FIXTURE_TEST_SUITE(AgentEngineWithOneAgent, OneAgent)

// Guards against response parts that are lost, duplicated or reordered, and
// against a send window that stalls a response for good.
BOOST_AUTO_TEST_CASE(LossyPath_LargeReport_ArrivesComplete) {
  uint32_t count = 0;
  should_drop = [&count](const FabricPacket&) { return ++count % 7 == 0; };
  std::string body;
  const FlowRequestOutcome outcome =
      SendAndWait(Open(), Get("/report?bytes=400000&token=t1"), &body);
  BOOST_CHECK(outcome.verdict == Verdict::kRan);
  BOOST_TEST(outcome.complete);
  BOOST_TEST(outcome.status == 200);
  BOOST_TEST(body.size() == outcome.body_bytes);
  BOOST_TEST(body.size() > 400'000U);
}

// Guards against a feed whose lines are held back until the end of the
// response.
BOOST_AUTO_TEST_CASE(EndlessFeed_Sent_PartsArriveAsTheyAreWritten) {
  std::atomic<uint64_t> bytes{0};
  std::atomic<bool> ended{false};
  FlowRequestEvents events;
  events.on_part = [&](uint64_t, ByteView data) { bytes += data.size(); };
  events.on_end = [&](const FlowRequestOutcome&) { ended = true; };
  const FlowRequestHandle feed =
      client->SendRequest(Open(), Get("/feed?interval_ms=20"), events);
  BOOST_TEST(WaitFor([&] { return bytes > 500; }));
  BOOST_TEST(!ended);
  client->Cancel(feed);
  BOOST_TEST(WaitFor(
      [&] { return ended && agents[0]->upstream->state().feeds == 0; }));
}

// Guards against a retransmitted Request packet that runs the request again.
BOOST_AUTO_TEST_CASE(SlowUpload_PacketRepeated_RunsOnce) {
  const FlowRequestOutcome outcome =
      SendAndWait(Open(), Upload("/samples?work_ms=900", "k1"));
  BOOST_CHECK(outcome.verdict == Verdict::kRan);
  BOOST_TEST(client->counters().requests_resent > 0U);
  BOOST_TEST(executed_request_count() == 1U);
}

// Guards against an idempotency key that runs a second time on another flow.
BOOST_AUTO_TEST_CASE(CompletedUpload_SameKeyOnOtherFlow_IsAnsweredFromLedger) {
  std::string first;
  std::string second;
  SendAndWait(Open(), Upload("/samples?token=a", "k1"), &first);
  const FlowRequestOutcome outcome =
      SendAndWait(Open(), Upload("/samples?token=a", "k1"), &second);
  BOOST_CHECK(outcome.verdict == Verdict::kRan);
  BOOST_TEST(second == first);
  BOOST_TEST(executed_request_count() == 1U);
}

BOOST_AUTO_TEST_CASE(AddressOnlyCaller_RequestSent_IsAnswered) {
  std::string body;
  const FlowRequestOutcome outcome =
      SendAndWait(Open(true), Get("/echo"), &body);
  BOOST_CHECK(outcome.verdict == Verdict::kRan);
  BOOST_TEST(!body.empty());
}

// Guards against a shed request that is reported as "may have run".
BOOST_AUTO_TEST_CASE(TenantWithoutTokens_RequestSent_IsNotRunWithReason) {
  document.limits.tenants = {TenantLimit{"acme", 0.001, 1}};
  version = 2;
  PublishViews();
  const FlowHandle flow = Open();
  FlowRequest request = Get("/echo");
  request.tenant = "acme";
  request.max_attempts = 1;
  BOOST_CHECK(SendAndWait(flow, request).verdict == Verdict::kRan);
  const FlowRequestOutcome outcome = SendAndWait(flow, request);
  BOOST_CHECK(outcome.verdict == Verdict::kNotRun);
  BOOST_TEST(outcome.status == 429);
  BOOST_TEST(agents[0]->HasEntry("shed_request", "tenant_rate"));
}

// Guards against an agent that leaves before its requests in progress have
// ended, and against one that never leaves.
BOOST_AUTO_TEST_CASE(RequestInProgress_Drained_EndsBeforeAgentLeaves) {
  const FlowHandle flow = Open();
  std::atomic<bool> ended{false};
  FlowRequestOutcome outcome;
  FlowRequestEvents events;
  events.on_end = [&](const FlowRequestOutcome& result) {
    outcome = result;
    ended = true;
  };
  client->SendRequest(flow, Get("/report?work_ms=600&bytes=50000"), events);
  BOOST_TEST(
      WaitFor([&] { return agents[0]->upstream->state().in_progress == 1; }));
  agents[0]->engine->DrainBySignal();
  agents[0]->engine->DrainBySignal();
  BOOST_TEST(WaitFor([&] { return ended.load(); }));
  BOOST_CHECK(outcome.verdict == Verdict::kRan);
  BOOST_TEST(WaitFor([&] { return agents[0]->engine->HasLeft(); }));
  BOOST_TEST(agents[0]->HasEntry("start_drain", "drain_by_signal"));
}

// Guards against a "not run" of the upstream that does not reach the caller.
BOOST_AUTO_TEST_CASE(UpstreamSheds_UploadSent_IsNotRun) {
  const FlowHandle flow = Open();
  BOOST_CHECK(SendAndWait(flow, Get("/echo")).verdict == Verdict::kRan);
  FlowRequestEvents events;
  std::atomic<int> ended{0};
  events.on_end = [&](const FlowRequestOutcome&) { ++ended; };
  client->SendRequest(flow, Get("/echo?work_ms=800"), events);
  BOOST_TEST(
      WaitFor([&] { return agents[0]->upstream->state().in_progress == 1; }));
  const_cast<UpstreamServerState&>(agents[0]->upstream->state()).shed_above = 1;
  FlowRequest upload = Upload("/samples", "k9");
  upload.max_attempts = 1;
  const FlowRequestOutcome outcome = SendAndWait(flow, upload);
  BOOST_CHECK(outcome.verdict == Verdict::kNotRun);
  BOOST_TEST(executed_request_count() == 0U);
  BOOST_TEST(WaitFor([&] { return ended == 1; }));
}

// Guards against a deadline that is enforced by the caller only.
BOOST_AUTO_TEST_CASE(DeadlinePasses_SlowReport_EndsAsMayHaveRun) {
  FlowRequest request = Get("/report?work_ms=5000");
  request.deadline = Millis{300};
  request.max_attempts = 1;
  // The deadline must not pass before the request is sent.
  const FlowHandle flow = Open();
  BOOST_REQUIRE(WaitFor([&] { return client->IsOpen(flow); }));
  const FlowRequestOutcome outcome = SendAndWait(flow, request);
  BOOST_CHECK(outcome.verdict != Verdict::kNotRun);
  BOOST_TEST(
      WaitFor([&] { return agents[0]->upstream->state().in_progress == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AgentEngineWithThreeAgents, ThreeAgents)

// Guards against an established flow that breaks when its agent drains, and
// against an upload that is lost in the drain.
BOOST_AUTO_TEST_CASE(OwnerDrains_UploadsContinue_RunOnceElsewhere) {
  const FlowHandle flow = Open();
  BOOST_CHECK(SendAndWait(flow, Upload("/samples", "u0")).verdict ==
              Verdict::kRan);
  TestAgent* owner = OwnerOf(flow);
  BOOST_REQUIRE(owner != nullptr);
  owner->engine->DrainBySignal();
  for (int index = 1; index <= 20; ++index) {
    const FlowRequestOutcome outcome =
        SendAndWait(flow, Upload("/samples", "u" + std::to_string(index)));
    BOOST_TEST_CONTEXT("upload " << index << " status " << outcome.status
                                 << " attempts " << outcome.attempts) {
      BOOST_TEST(VerdictName(outcome.verdict) == std::string("ran"));
    }
  }
  BOOST_TEST(executed_request_count() == 21U);
  BOOST_TEST(client->counters().flows_broken == 0U);
  BOOST_TEST((OwnerOf(flow) != owner));
  BOOST_TEST(WaitFor([&] { return owner->engine->HasLeft(); }));
}

// Guards against a retry that runs a key while another agent runs it.
BOOST_AUTO_TEST_CASE(KeyRunsElsewhere_SameKeyAtOtherAgent_GetsStoredResponse) {
  document.limits.max_flows_per_slot = 0;
  const FlowHandle first = Open();
  BOOST_TEST(WaitFor([&] { return client->IsOpen(first); }));
  TestAgent* owner = OwnerOf(first);
  owner->PublishView({}, 2, document);
  const FlowHandle second = Open();
  BOOST_TEST(WaitFor([&] { return client->IsOpen(second); }));
  BOOST_REQUIRE(OwnerOf(second) != owner);
  document.limits.max_flows_per_slot = 100;
  version = 3;
  PublishViews();
  std::atomic<bool> ended{false};
  FlowRequestEvents events;
  events.on_end = [&](const FlowRequestOutcome&) { ended = true; };
  client->SendRequest(first, Upload("/samples?work_ms=500", "k"), events);
  BOOST_TEST(WaitFor([&] { return executed_request_count() == 1; }));
  std::string body;
  const FlowRequestOutcome outcome =
      SendAndWait(second, Upload("/samples", "k"), &body);
  BOOST_CHECK(outcome.verdict == Verdict::kRan);
  BOOST_TEST(!body.empty());
  BOOST_TEST(executed_request_count() == 1U);
  BOOST_TEST(WaitFor([&] { return ended.load(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
