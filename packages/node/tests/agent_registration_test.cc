#include "medlarwinch/node/agent_registration.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "store_fixture.h"

namespace medlarwinch {
namespace {

struct EntryOfAgent {
  EntryOfAgent() {
    directory_entry.agent = Endpoint{0x0a010008, 8'172};
    directory_entry.failure_domain = "catania";
    name = AgentEntryName(directory_entry.agent);
    entry = std::make_unique<AgentRegistration>(
        loop, std::make_unique<FakeStoreConnection>(loop, store), name,
        EncodeAgentEntry(directory_entry, "probe-hub"), 1);
  }

  void Run(int span_ms = 5) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(span_ms));
  }

  boost::asio::io_context loop;
  FakeStore store;
  DirectoryEntry directory_entry;
  std::string name;
  std::unique_ptr<AgentRegistration> entry;
};

BOOST_FIXTURE_TEST_SUITE(AgentEntryInStore, EntryOfAgent)

BOOST_AUTO_TEST_CASE(Published_Decoded_NamesAgentAndService) {
  entry->Publish();
  Run();
  BOOST_TEST(entry->is_published());
  const Result<DirectoryEntry> decoded =
      DecodeAgentEntry(store.objects.at("10.1.0.8-8172"));
  BOOST_REQUIRE(IsOk(decoded));
  BOOST_CHECK(ValueOf(decoded).service == MakeServiceId("probe-hub"));
  BOOST_TEST(ValueOf(decoded).failure_domain == "catania");
}

// Guards against traffic to the service that used the address before.
BOOST_AUTO_TEST_CASE(EntryOfPredecessor_Published_IsReplaced) {
  store.objects[name] =
      StoredObject{name, 1, EncodeAgentEntry(directory_entry, "report-desk")};
  entry->Publish();
  Run();
  BOOST_CHECK(ValueOf(DecodeAgentEntry(store.objects.at(name))).service ==
              MakeServiceId("probe-hub"));
}

BOOST_AUTO_TEST_CASE(EqualEntry_Published_IsNotWritten) {
  entry->Publish();
  Run();
  const uint64_t revision = store.revision;
  entry->Publish();
  Run();
  BOOST_TEST(store.revision == revision);
  BOOST_TEST(entry->is_published());
}

BOOST_AUTO_TEST_CASE(LostAnswer_Published_SettlesWithoutASecondWrite) {
  store.pending_errors.push_back(Error{ErrorCode::kTimeout, "lost"});
  entry->Publish();
  Run(400);
  BOOST_TEST(entry->is_published());
  BOOST_TEST(store.revision == 2U);
}

// Guards against the removal of the entry of a successor at the same address.
BOOST_AUTO_TEST_CASE(EntryOfSuccessor_Withdrawn_StaysInTheStore) {
  entry->Publish();
  Run();
  store.Put(name, EncodeAgentEntry(directory_entry, "report-desk"));
  entry->Withdraw();
  Run();
  BOOST_TEST(entry->is_in_sync());
  BOOST_TEST(store.objects.count(name) == 1U);
}

BOOST_AUTO_TEST_CASE(WishChangesDuringCall_LastWishWins) {
  entry->Publish();
  entry->Withdraw();
  Run();
  BOOST_TEST(store.objects.count(name) == 0U);
  BOOST_TEST(!entry->is_published());
}

BOOST_AUTO_TEST_CASE(MissedEntry_Polled_IsWrittenAgain) {
  entry->Publish();
  Run();
  store.objects.clear();
  const Endpoint balancer{0x0a010001, 7'000};
  entry->RecordPoll(balancer, true, TimePoint{5'000});
  Run();
  BOOST_TEST(store.objects.empty());
  entry->RecordPoll(balancer, false, TimePoint{5'000});
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
}

// Guards against an agent that is lost for good once its entry was removed
// while it was cut off: nobody polls an agent without an entry.
BOOST_AUTO_TEST_CASE(RemovedEntry_NobodyPolls_IsWrittenAgain) {
  entry->Publish();
  Run();
  TimePoint now{1'000};
  entry->RepublishIfUnpolled(now);
  store.objects.clear();
  now = now + kUnpolledCheckDelay - Millis{1};
  entry->RepublishIfUnpolled(now);
  Run();
  BOOST_TEST(store.objects.empty());
  entry->RepublishIfUnpolled(now + Millis{1});
  Run();
  BOOST_TEST(store.objects.count(name) == 1U);
}

BOOST_AUTO_TEST_CASE(EntryOfOtherWriter_Decoded_NamesNoAgent) {
  const std::vector<std::string> contents = {
      "", "[]", "{}", R"({"relay":"10.1.0.9:8172","upstream_service":"a"})",
      R"({"relay":"10.1.0.8:8172","upstream_service":4})"};
  for (const std::string& content : contents) {
    BOOST_TEST(!IsOk(DecodeAgentEntry(StoredObject{name, 1, content})));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
