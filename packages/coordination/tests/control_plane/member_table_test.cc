#include "medlarwinch/coordination/control_plane/member_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "property_check.h"

namespace medlarwinch {
namespace {

constexpr TimePoint kNow{1'000};

MemberEntry MakeEntry(uint32_t ip, const MemberVersion& version) {
  MemberEntry entry;
  entry.id = Endpoint{ip, 7'000};
  entry.version = version;
  entry.service = "probe-hub";
  entry.slots = 4;
  entry.data = Endpoint{ip, 8'000};
  return entry;
}

MemberEntry AnyEntry() {
  return MakeEntry(
      static_cast<uint32_t>(AnyNumber(1, 4)),
      MemberVersion{AnyNumber(1, 3), static_cast<uint32_t>(AnyNumber(0, 2)),
                    static_cast<MemberPhase>(AnyNumber(0, 4))});
}

std::vector<MemberEntry> AnyEntries() {
  std::vector<MemberEntry> entries;
  const int64_t count = AnyNumber(0, 8);
  for (int64_t index = 0; index < count; ++index) entries.push_back(AnyEntry());
  return entries;
}

MemberTable Merge(MemberTable table, const std::vector<MemberEntry>& entries) {
  return MergeEntries(std::move(table), entries, kNow).table;
}

std::vector<MemberEntry> EntriesOf(const MemberTable& table) {
  std::vector<MemberEntry> entries;
  for (const auto& [id, record] : table.members)
    entries.push_back(record.entry);
  return entries;
}

BOOST_AUTO_TEST_SUITE(MemberTableMerge)

// Guards against copies of the table that never converge.
BOOST_AUTO_TEST_CASE(AnyTables_Merged_OrderAndRepetitionDoNotMatter) {
  CheckProperty("merge is commutative, associative and idempotent", [] {
    const MemberTable a = Merge({}, AnyEntries());
    const MemberTable b = Merge({}, AnyEntries());
    const MemberTable c = Merge({}, AnyEntries());
    const std::vector<MemberEntry> ab = EntriesOf(Merge(a, EntriesOf(b)));
    RC_ASSERT(ab == EntriesOf(Merge(b, EntriesOf(a))));
    const MemberTable bc = Merge(b, EntriesOf(c));
    RC_ASSERT(EntriesOf(Merge(Merge({}, ab), EntriesOf(c))) ==
              EntriesOf(Merge(a, EntriesOf(bc))));
    RC_ASSERT(EntriesOf(Merge(a, EntriesOf(a))) == EntriesOf(a));
  });
}

// Guards against a withdrawn upstream that gets traffic again because an old
// message arrives late, twice, or after its entry was purged.
BOOST_AUTO_TEST_CASE(WithdrawnMember_OutdatedEntriesReceived_StaysWithdrawn) {
  CheckProperty("a withdrawn entry needs a higher incarnation", [] {
    const MemberVersion failed{2, 1, MemberPhase::kFailed};
    MemberTable table = Merge({}, {MakeEntry(1, failed)});
    TimePoint now = kNow;
    const int64_t steps = AnyNumber(1, 20);
    for (int64_t step = 0; step < steps; ++step) {
      now = now + Millis{AnyNumber(0, 400'000)};
      if (AnyNumber(0, 1) == 0)
        table = PurgeWithdrawnEntries(std::move(table), now);
      MemberEntry stale = AnyEntry();
      stale.id = Endpoint{1, 7'000};
      if (std::tie(stale.version.boot, stale.version.incarnation) >
          std::tie(failed.boot, failed.incarnation)) {
        continue;
      }
      MergeOutcome merged = MergeEntries(std::move(table), {stale}, now);
      table = std::move(merged.table);
      const auto found = table.members.find(stale.id);
      const bool is_in_service =
          found != table.members.end() &&
          !IsWithdrawn(found->second.entry.version.phase);
      RC_ASSERT(!is_in_service);
      // The sender of an outdated entry gets the newer version.
      if (stale.version < failed) {
        RC_ASSERT(merged.newer.size() == 1U);
        RC_ASSERT(merged.newer[0].version == failed);
      }
    }
  });
}

// Guards against a live member that stays withdrawn.
BOOST_AUTO_TEST_CASE(LiveProcess_AnyRecordSeen_TakesHigherVersion) {
  CheckProperty("the version after a record is above it", [] {
    const MemberVersion own = AnyEntry().version;
    const MemberVersion recorded = AnyEntry().version;
    const MemberVersion next = RefutingVersion(own, recorded);
    RC_ASSERT(next.phase == own.phase);
    const bool has_left = IsWithdrawn(own.phase);
    const bool is_refuted = has_left ? next == own : next >= recorded;
    RC_ASSERT(is_refuted);
    const bool is_unchanged = recorded > own || next == own;
    RC_ASSERT(is_unchanged);
  });
}

BOOST_AUTO_TEST_CASE(OldWithdrawnEntry_Purged_ReturnsWithHigherIncarnation) {
  MemberTable table = Merge({}, {MakeEntry(1, {5, 0, MemberPhase::kFailed}),
                                 MakeEntry(2, {5, 0, MemberPhase::kReady})});
  table = PurgeWithdrawnEntries(std::move(table),
                                kNow + kWithdrawnRetention + Millis{1});
  BOOST_TEST(table.members.size() == 1U);
  BOOST_TEST(table.tombstones.size() == 1U);
  table = Merge(std::move(table), {MakeEntry(1, {5, 1, MemberPhase::kReady})});
  BOOST_TEST(table.members.size() == 2U);
  BOOST_TEST(table.tombstones.empty());
}

// Guards against a table that grows without bound with the addresses in
// received messages.
BOOST_AUTO_TEST_CASE(TooManyMembers_Merged_RestIsRefused) {
  std::vector<MemberEntry> entries;
  for (uint32_t ip = 1; ip <= kMaxTableMembers + 5; ++ip) {
    entries.push_back(MakeEntry(ip, {1, 0, MemberPhase::kReady}));
  }
  const MemberTable table = Merge({}, entries);
  BOOST_TEST(table.members.size() == kMaxTableMembers);
  BOOST_TEST(table.refused == 5U);
  BOOST_TEST(table.history.size() == kMaxMemberChanges);
}

// Guards against an agent that reserves idempotency keys at an upstream that
// has been withdrawn.
BOOST_AUTO_TEST_CASE(MembersInAllPhases_RosterBuilt_ListsThoseInService) {
  const MemberTable table =
      Merge({}, {MakeEntry(1, {1, 0, MemberPhase::kReady}),
                 MakeEntry(2, {1, 0, MemberPhase::kDraining}),
                 MakeEntry(3, {1, 0, MemberPhase::kLeft}),
                 MakeEntry(4, {1, 0, MemberPhase::kFailed})});
  const std::vector<RosterEntry> roster = RosterOf(table, "probe-hub");
  BOOST_REQUIRE(roster.size() == 2U);
  BOOST_TEST(roster[0].data.ip == 1U);
  BOOST_TEST(roster[1].data.ip == 2U);
  std::vector<RosterEntry> other = roster;
  other[1].phase = MemberPhase::kReady;
  BOOST_TEST(HashRoster(roster) != HashRoster(other));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
