#include "medlarwinch/coordination/control_plane/record_store.h"

#include <boost/test/unit_test.hpp>

#include "property_check.h"
#include "simulated_cluster.h"

namespace medlarwinch {
namespace {

const std::string kName = "config/probe-hub";
const Error kInvalid{ErrorCode::kInvalidInput, "config/probe-hub:1: bad"};

BOOST_AUTO_TEST_SUITE(RecordVersions)

// Guards against a document that reverts because an old copy arrives late.
BOOST_AUTO_TEST_CASE(AnyRecords_Applied_VersionNeverDecreases) {
  CheckProperty("versions never go down", [] {
    RecordStore store;
    uint64_t highest_valid = 0;
    const int64_t attempts = AnyNumber(1, 20);
    for (int64_t index = 0; index < attempts; ++index) {
      const uint64_t version = static_cast<uint64_t>(AnyNumber(1, 9));
      // The text of a given version is always valid or always invalid.
      const bool is_valid = version % 3 != 0;
      const uint64_t before = ActiveVersion(store, kName);
      ApplyRecordOutcome outcome = ApplyRecord(
          std::move(store), Record{kName, version, std::to_string(version)},
          is_valid ? std::nullopt : std::optional<Error>(kInvalid), "peer");
      store = std::move(outcome.store);
      if (is_valid) highest_valid = std::max(highest_valid, version);
      const uint64_t after = ActiveVersion(store, kName);
      RC_ASSERT(after >= before);
      RC_ASSERT(outcome.accepted == (after > before));
      RC_ASSERT(after <= highest_valid);
      if (after > 0) {
        RC_ASSERT(*store.records.at(kName).text == std::to_string(after));
      }
    }
  });
}

// Guards against an invalid document that replaces the valid one, is fetched
// again and again, or fills the account with entries.
BOOST_AUTO_TEST_CASE(InvalidText_Applied_ReportedOnceAndNotActive) {
  ApplyRecordOutcome outcome =
      ApplyRecord({}, Record{kName, 4, "good"}, std::nullopt, "platform");
  BOOST_TEST(outcome.accepted);
  outcome = ApplyRecord(std::move(outcome.store), Record{kName, 5, "bad"},
                        kInvalid, "platform");
  BOOST_TEST(!outcome.accepted);
  BOOST_REQUIRE(outcome.decisions.size() == 1U);
  const AccountEntry& entry = outcome.decisions[0];
  BOOST_TEST(entry.action == "reject_record");
  BOOST_TEST(entry.service == "probe-hub");
  BOOST_TEST(entry.reason.document_version == 5U);
  BOOST_TEST(entry.reason.facts.at("error") == kInvalid.message);
  BOOST_TEST(ActiveVersion(outcome.store, kName) == 4U);
  BOOST_TEST(!ShouldFetch(outcome.store, RecordVersion{kName, 5}));
  BOOST_TEST(ShouldFetch(outcome.store, RecordVersion{kName, 6}));
  outcome = ApplyRecord(std::move(outcome.store), Record{kName, 5, "bad"},
                        kInvalid, "platform");
  BOOST_TEST(outcome.decisions.empty());
}

// Guards against peers that inject objects of other kinds.
BOOST_AUTO_TEST_CASE(OtherObjects_Announced_AreNotFetched) {
  BOOST_TEST(ShouldFetch({}, RecordVersion{"keys/ring", 1}));
  BOOST_TEST(!ShouldFetch({}, RecordVersion{"account/x", 1}));
  BOOST_TEST(!ShouldFetch({}, RecordVersion{"config/", 1}));
  BOOST_TEST(!ShouldFetch({}, RecordVersion{kName, 0}));
}

// Guards against a version that reaches only the balancers to which it was
// pushed.
BOOST_AUTO_TEST_CASE(VersionAcceptedAtOneBalancer_TimePasses_ActiveAtAll) {
  SimulatedCluster cluster(4);
  for (uint32_t number = 1; number <= 3; ++number) cluster.AddBalancer(number);
  cluster.Run(Millis{3'000});
  cluster.loss_percent = 30;
  BalancerControl& first =
      cluster.balancers.at(SimulatedCluster::BalancerId(1));
  ReceivedRecord received{Record{kName, 7, "x"}, {}, {}, "platform", true};
  Random random(1);
  BalancerStep step =
      HandleReceivedRecords(std::move(first), {received}, cluster.now, random);
  BOOST_REQUIRE(step.actions.decisions.size() == 1U);
  BOOST_TEST(step.actions.decisions[0].is_accounted);
  // The gossip message is dropped; only the digest exchange can deliver the
  // version.
  first = std::move(step.state);
  cluster.Run(Millis{8'000});
  for (const auto& [id, state] : cluster.balancers) {
    BOOST_TEST(ActiveVersion(state.records, kName) == 7U);
  }
  // A new balancer has the version as soon as it has joined.
  cluster.AddBalancer(4);
  cluster.Run(Millis{1'000});
  const BalancerControl& joined =
      cluster.balancers.at(SimulatedCluster::BalancerId(4));
  BOOST_TEST(ActiveVersion(joined.records, kName) == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
