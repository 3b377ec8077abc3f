#include "medlarwinch/coordination/control_plane/change_checks.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

struct ServiceOfFourUpstreams {
  ServiceOfFourUpstreams() {
    before.service = "kiosk-desk";
    before.owner = "bagmati";
    for (uint16_t index = 0; index < 4; ++index) {
      MemberEntry member;
      member.id = Endpoint{0x0a020000U + index, 7'100};
      member.service = before.service;
      member.slots = 3;
      member.version.phase = MemberPhase::kReady;
      member.upstream = Endpoint{0x0a020000U + index, 9'000};
      members.push_back(member);
    }
    after = before;
  }

  void Drain(size_t count) {
    for (size_t index = 0; index < count; ++index) {
      after.drain.upstreams.push_back(members[index].upstream);
    }
  }
  std::string Refusals() const {
    std::string text;
    for (const ChangeRefusal& refusal :
         AssessChange(before, after, members).refusals) {
      text += refusal.path + ": " + refusal.message + "\n";
    }
    return text;
  }

  ServiceDocument before;
  ServiceDocument after;
  std::vector<MemberEntry> members;
};

BOOST_FIXTURE_TEST_SUITE(ChangeOfDocument, ServiceOfFourUpstreams)

BOOST_AUTO_TEST_CASE(FieldsChanged_Listed_InTableOrderWithValues) {
  before.limits.tenants = {TenantLimit{"a", 1, 1}, TenantLimit{"b", 2, 2}};
  after.limits.tenants = {TenantLimit{"b", 3, 2}, TenantLimit{"c", 1, 1}};
  after.balance.margin_percent = 2;
  const std::vector<FieldChange> expected = {
      {"balance.margin_percent", "0.5", "2"},
      {"limits.tenants[a]", "{name: \"a\", requests_per_s: 1, burst: 1}", ""},
      {"limits.tenants[b]", "{name: \"b\", requests_per_s: 2, burst: 2}",
       "{name: \"b\", requests_per_s: 3, burst: 2}"},
      {"limits.tenants[c]", "", "{name: \"c\", requests_per_s: 1, burst: 1}"}};
  BOOST_CHECK(ListChanges(before, after) == expected);
  BOOST_CHECK(ListChanges(before, before).empty());
}

BOOST_AUTO_TEST_CASE(HalfDrained_Assessed_IsAllowed) {
  Drain(2);
  const ChangeAssessment assessment = AssessChange(before, after, members);
  BOOST_TEST(assessment.moved_percent == 50U);
  BOOST_TEST(assessment.known_upstreams == 4U);
  BOOST_CHECK(assessment.refusals.empty());
}

// Guards against a change that moves most flows by mistake.
BOOST_AUTO_TEST_CASE(MostDrained_Assessed_NeedsConfirmedShare) {
  Drain(3);
  BOOST_TEST(Refusals() ==
             "drain.upstreams: the change moves about 75 percent of new flows "
             "to other upstreams, more than balance.max_moved_percent (50); to "
             "confirm, set confirm.moved_percent to 75\n");
  after.confirm.moved_percent = 74;
  BOOST_TEST(!Refusals().empty());
  after.confirm.moved_percent = 75;
  BOOST_TEST(Refusals().empty());
}

// Guards against a document that raises the limit and exceeds the old one in
// the same change.
BOOST_AUTO_TEST_CASE(LimitRaisedInSameChange_Assessed_OldLimitApplies) {
  Drain(3);
  after.balance.max_moved_percent = 100;
  BOOST_TEST(!Refusals().empty());
}

// Guards against a service that is left without upstreams by mistake.
BOOST_AUTO_TEST_CASE(AllDrained_Assessed_NeedsBothConfirmations) {
  Drain(4);
  after.confirm.moved_percent = 100;
  BOOST_TEST(Refusals() ==
             "drain.upstreams: drain.upstreams names all 4 known upstreams, so "
             "the service would have none; to confirm, set "
             "confirm.empty_service to true\n");
  after.confirm.empty_service = true;
  BOOST_TEST(Refusals().empty());
}

// Guards against counting members of other services, or withdrawn and draining
// ones, as remaining upstreams.
BOOST_AUTO_TEST_CASE(NoOtherReadyUpstream_LastDrained_IsRefused) {
  Drain(1);
  members[1].service = "depot-manifest";
  members[2].version.phase = MemberPhase::kFailed;
  members[3].version.phase = MemberPhase::kDraining;
  BOOST_TEST(Refusals().find("confirm.empty_service") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(DrainedUpstreamsReturn_Assessed_CountAsMoved) {
  Drain(3);
  std::swap(before, after);
  BOOST_TEST(AssessChange(before, after, members).moved_percent == 75U);
}

BOOST_AUTO_TEST_CASE(NameOrOwnerChanged_Assessed_IsRefused) {
  after.owner = "trinacria";
  BOOST_TEST(Refusals() ==
             "owner: the service belongs to another owner; set owner to "
             "\"bagmati\"\n");
  after.service = "depot-manifest";
  BOOST_TEST(Refusals() ==
             "service: a service cannot be renamed; set service to "
             "\"kiosk-desk\"\n");
}

BOOST_AUTO_TEST_CASE(MembersUnknown_AllDrained_IsNotChecked) {
  Drain(4);
  members.clear();
  BOOST_TEST(Refusals().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
