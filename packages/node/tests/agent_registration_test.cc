#include "medlarwinch/node/agent_registration.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "store_fixture.h"

namespace medlarwinch {
namespace {

struct AgentRegistrationFixture {
  AgentRegistrationFixture() {
    directory_entry.agent = Endpoint{0x0a010008, 8'172};
    directory_entry.failure_domain = "catania";
    name = AgentEntryName(directory_entry.agent);
    registration = std::make_unique<AgentRegistration>(
        loop, std::make_unique<FakeStoreConnection>(loop, store), name,
        EncodeAgentEntry(directory_entry, "probe-hub"), 1);
  }

  void Run(int duration_ms = 5) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(duration_ms));
  }

  boost::asio::io_context loop;
  FakeStore store;
  DirectoryEntry directory_entry;
  std::string name;
  std::unique_ptr<AgentRegistration> registration;
};

// Contents that another writer may store, and that can't be parsed or only with
// a deep stack.
std::vector<std::string> OddContents() {
  constexpr size_t kLevels = 1'000'000;
  return {std::string(kLevels, '[') + std::string(kLevels, ']'),
          std::string(kLevels, '{'), R"({"relay":1e999})",
          "{\"relay\":\"\xff\"}"};
}

BOOST_FIXTURE_TEST_SUITE(AgentRegistrationTest, AgentRegistrationFixture)

BOOST_AUTO_TEST_CASE(PublishedEntry_Decoded_HasAgentAndService) {
  registration->Publish();
  Run();
  BOOST_TEST(registration->is_published());
  const Result<DirectoryEntry> decoded =
      DecodeAgentEntry(store.objects.at("10.1.0.8-8172"));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_CHECK(ValueOf(decoded).service == MakeServiceId("probe-hub"));
  BOOST_TEST(ValueOf(decoded).failure_domain == "catania");
}

// Guards against flows of the previous service at a reused address: without the
// replacement, balancers would read the old service name from the entry.
BOOST_AUTO_TEST_CASE(EntryOfPredecessor_Published_IsReplaced) {
  store.objects[name] = StoredObject{
      name, {1, 1}, EncodeAgentEntry(directory_entry, "report-desk")};
  registration->Publish();
  Run();
  BOOST_CHECK(ValueOf(DecodeAgentEntry(store.objects.at(name))).service ==
              MakeServiceId("probe-hub"));
}

BOOST_AUTO_TEST_CASE(EqualEntry_Published_IsNotWritten) {
  registration->Publish();
  Run();
  const StoreRevision revision = store.revision;
  registration->Publish();
  Run();
  BOOST_CHECK(store.revision == revision);
  BOOST_TEST(registration->is_published());
}

BOOST_AUTO_TEST_CASE(LostResponse_Published_IsNotWrittenTwice) {
  store.pending_errors.push_back(Error{ErrorCode::kTimeout, "lost"});
  registration->Publish();
  Run(400);
  BOOST_TEST(registration->is_published());
  BOOST_TEST(store.revision.number == 2U);
}

// Guards against removing the entry of another agent that has since taken over
// the address.
BOOST_AUTO_TEST_CASE(EntryOfSuccessor_Withdrawn_IsKept) {
  registration->Publish();
  Run();
  store.Put(name, EncodeAgentEntry(directory_entry, "report-desk"));
  registration->Withdraw();
  Run();
  BOOST_TEST(registration->is_in_sync());
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against searches that wait for an agent that is gone: its upstream did
// not return after a loss of power, so that its last process published nothing.
BOOST_AUTO_TEST_CASE(EntryOfEarlierProcess_WithdrawnForGood_IsRemoved) {
  store.Put(name, EncodeAgentEntry(directory_entry, "probe-hub"));
  registration->Withdraw();
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
  registration->WithdrawEarlierEntry();
  Run();
  BOOST_TEST(registration->is_in_sync());
  BOOST_TEST(store.objects.count(name) == 0U);
}

BOOST_AUTO_TEST_CASE(EntryOfAnotherService_WithdrawnForGood_IsKept) {
  store.Put(name, EncodeAgentEntry(directory_entry, "report-desk"));
  registration->WithdrawEarlierEntry();
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against openings that are accepted before the entry is stored again.
BOOST_AUTO_TEST_CASE(RemovedEntry_PublishedAgain_IsRemovedUntilAcknowledged) {
  registration->Publish();
  Run();
  BOOST_TEST(!registration->is_removed());
  registration->Withdraw();
  Run();
  BOOST_TEST(registration->is_removed());
  registration->Publish();
  BOOST_TEST(registration->is_removed());
  Run();
  BOOST_TEST(!registration->is_removed());
}

BOOST_AUTO_TEST_CASE(WithdrawDuringPublish_LastRequestWins) {
  registration->Publish();
  registration->Withdraw();
  Run();
  BOOST_TEST(store.objects.count(name) == 0U);
  BOOST_TEST(!registration->is_published());
}

BOOST_AUTO_TEST_CASE(MissingEntry_Polled_IsRewritten) {
  registration->Publish();
  Run();
  store.objects.clear();
  const Endpoint balancer{0x0a010001, 7'000};
  registration->RecordPoll(balancer, true, TimePoint{5'000});
  Run();
  BOOST_TEST(store.objects.empty());
  registration->RecordPoll(balancer, false, TimePoint{5'000});
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against an entry of a departed agent that balancers find for a minute:
// its removal is refused because the restored store has an older revision of
// it.
BOOST_AUTO_TEST_CASE(RestoredStore_OwnOlderEntry_WithdrawnIsRemoved) {
  registration->Publish();
  Run();
  const std::map<std::string, StoredObject> copy = store.objects;
  store.Put(name, EncodeAgentEntry(directory_entry, "probe-hub"));
  registration->Publish();
  Run();
  store.Restore(copy, 2);
  registration->Withdraw();
  Run();
  BOOST_TEST(registration->is_in_sync());
  BOOST_TEST(store.objects.empty());
}

// Guards against removing the entry of a successor whose write got the number
// that the removed entry had before the store was restored.
BOOST_AUTO_TEST_CASE(RestoredStore_EntryOfSuccessor_WithdrawnIsKept) {
  registration->Publish();
  Run();
  store.Restore({}, 1);
  store.Put(name, EncodeAgentEntry(directory_entry, "report-desk"));
  registration->Withdraw();
  Run();
  BOOST_TEST(registration->is_in_sync());
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against an entry that stays listed because the store has lost its
// removal.
BOOST_AUTO_TEST_CASE(RestoredStore_RemovalLost_EntryIsRemovedAgain) {
  registration->Publish();
  Run();
  const std::map<std::string, StoredObject> copy = store.objects;
  registration->Withdraw();
  Run();
  BOOST_TEST(store.objects.empty());
  store.Restore(copy, 2);
  const Endpoint balancer{0x0a010001, 7'000};
  registration->RecordPoll(balancer, true, TimePoint{5'000});
  registration->RecordPoll(balancer, true, TimePoint{6'000});
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
  registration->RecordPoll(balancer, true, TimePoint{7'000});
  Run();
  BOOST_TEST(store.objects.empty());
  BOOST_TEST(registration->is_in_sync());
}

// Guards against an agent that removes the entry of its previous process while
// its upstream is still starting.
BOOST_AUTO_TEST_CASE(EntryOfPreviousProcess_PolledAsListed_IsKept) {
  store.objects[name] = StoredObject{
      name, {1, 1}, EncodeAgentEntry(directory_entry, "probe-hub")};
  registration->Withdraw();
  Run();
  const Endpoint balancer{0x0a010001, 7'000};
  registration->RecordPoll(balancer, true, TimePoint{5'000});
  registration->RecordPoll(balancer, true, TimePoint{9'000});
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against an agent that stays unreachable for good after its entry was
// removed while it was partitioned: balancers don't poll an agent without an
// entry, so no poll reports to it that the entry is missing.
BOOST_AUTO_TEST_CASE(RemovedEntry_WithoutPolls_IsRewritten) {
  registration->Publish();
  Run();
  TimePoint now{1'000};
  registration->RepublishIfUnpolled(now);
  store.objects.clear();
  now = now + kUnpolledCheckDelay - Millis{1};
  registration->RepublishIfUnpolled(now);
  Run();
  BOOST_TEST(store.objects.empty());
  registration->RepublishIfUnpolled(now + Millis{1});
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against an agent that is never listed again after another writer has
// overwritten its entry, and against one that never ends its withdrawal.
BOOST_AUTO_TEST_CASE(OddEntry_PublishedAndWithdrawn_EndsInSync) {
  // Contents of 2 MB are copied; ends earlier once the write is done.
  constexpr int kLongRunMs = 5'000;
  for (const std::string& odd : OddContents()) {
    store.Put(name, odd);
    registration->Publish();
    Run(kLongRunMs);
    BOOST_TEST(registration->is_published());
    BOOST_TEST(IsOk(DecodeAgentEntry(store.objects.at(name))));
    store.Put(name, odd);
    registration->Withdraw();
    Run(kLongRunMs);
    BOOST_TEST(registration->is_in_sync());
    BOOST_TEST(!registration->is_published());
  }
}

// Guards against a balancer that takes the removal of another writer's entry
// for that of the agent's own.
BOOST_AUTO_TEST_CASE(NameInOtherForm_Parsed_IsRejected) {
  BOOST_CHECK(ValueOf(ParseAgentEntryName(name)) == directory_entry.agent);
  for (const char* other :
       {"", "10.1.0.8", "10.1.0.8:8172", "010.1.0.8-8172", "10.1.0.8-08172",
        "10.1.0.8-70000", "10.1.0.8--1", "10.1.0.8-0", "10.1.0.8-99999999999",
        "10-1.0.8-8172", " 10.1.0.8-8172"}) {
    BOOST_TEST(!IsOk(ParseAgentEntryName(other)), other);
  }
}

BOOST_AUTO_TEST_CASE(InvalidEntry_Decoded_IsRejected) {
  std::vector<std::string> contents = {
      "", "[]", "{}", R"({"relay":"10.1.0.9:8172","upstream_service":"a"})",
      R"({"relay":"10.1.0.8:8172","upstream_service":4})"};
  for (const char* port : {"70000", "-1", "0", "99999999999", "", "8172.0",
                           "8172 ", "+8172", "1e3"}) {
    contents.push_back(std::string(R"({"relay":"10.1.0.8:)") + port +
                       R"(","upstream_service":"a"})");
  }
  for (const std::string& odd : OddContents()) {
    contents.push_back(odd);
    contents.push_back(
        R"({"relay":"10.1.0.8:8172","upstream_service":"a","x":)" + odd + "}");
  }
  for (const std::string& content : contents) {
    BOOST_TEST(!IsOk(DecodeAgentEntry(StoredObject{name, {1, 1}, content})));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
