#include "medlarwinch/coordination/control_plane/digest_tree.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "property_check.h"

namespace medlarwinch {
namespace {

// Maximum number of messages in one exchange: 12 descents, each with its
// content, the digest that requests the other side's content, and that content.
constexpr size_t kMaxExchangeMessages = 2 + 4 * 12;

struct Peer {
  MemberTable table;
  RecordStore store;
};

MemberEntry MakeEntry(uint32_t number, uint32_t incarnation,
                      MemberPhase phase) {
  MemberEntry entry;
  entry.id = Endpoint{number, 7'000};
  entry.version = MemberVersion{1, incarnation, phase};
  entry.service = "probe-hub";
  return entry;
}

void MergeInto(Peer& peer, const std::vector<MemberEntry>& entries) {
  peer.table = MergeEntries(std::move(peer.table), entries, TimePoint{1}).table;
}

void Apply(Peer& peer, const RecordVersion& version) {
  peer.store =
      ApplyRecord(std::move(peer.store),
                  Record{version.name, version.version, "x"}, {}, "test")
          .store;
}

// Runs one exchange started by `a` and returns the number of messages.
size_t Exchange(Peer& a, Peer& b, Random& random) {
  struct SentDigest {
    bool to_a;
    Digest digest;
  };
  Digest root =
      ComputeDigest(MemberItems(a.table), DigestScope::kMembers, 0, 0);
  root.records_hash = HashItems(RecordItems(a.store));
  root.reply_requested = true;
  std::deque<SentDigest> waiting = {SentDigest{false, root}};
  size_t messages = 1;
  while (!waiting.empty()) {
    const SentDigest sent = waiting.front();
    waiting.pop_front();
    Peer& receiver = sent.to_a ? a : b;
    Peer& sender = sent.to_a ? b : a;
    const DigestReply reply =
        MakeDigestReply(sent.digest, receiver.table, receiver.store, random);
    const std::vector<Delta> deltas =
        SplitIntoDeltas(reply.members, reply.records, {});
    messages += deltas.size() + reply.digests.size();
    for (const Delta& delta : deltas) {
      MergeOutcome merged =
          MergeEntries(std::move(sender.table), delta.members, TimePoint{1});
      sender.table = std::move(merged.table);
      MergeInto(receiver, merged.newer);
      for (const RecordVersion& version : delta.records) Apply(sender, version);
    }
    for (const Digest& digest : reply.digests) {
      waiting.push_back(SentDigest{!sent.to_a, digest});
    }
  }
  return messages;
}

bool AreEqual(const Peer& a, const Peer& b) {
  return HashItems(MemberItems(a.table)) == HashItems(MemberItems(b.table)) &&
         HashItems(RecordItems(a.store)) == HashItems(RecordItems(b.store));
}

BOOST_AUTO_TEST_SUITE(DigestExchangeOfTwoTables)

// Guards against tables that stay different after updates were lost, and
// against an exchange that sends whole tables.
BOOST_AUTO_TEST_CASE(AnyDifferences_Exchanged_ConvergeInBoundedMessages) {
  CheckProperty("two tables converge", [] {
    Random random(static_cast<uint64_t>(AnyNumber(0, 1'000)));
    Peer a;
    Peer b;
    const int64_t shared = AnyNumber(0, 1) == 0 ? AnyNumber(0, 20) : 2'000;
    std::vector<MemberEntry> entries;
    for (int64_t number = 1; number <= shared; ++number) {
      entries.push_back(
          MakeEntry(static_cast<uint32_t>(number), 0, MemberPhase::kReady));
    }
    MergeInto(a, entries);
    MergeInto(b, entries);
    const int64_t differences = AnyNumber(1, 12);
    for (int64_t index = 0; index < differences; ++index) {
      const uint32_t number = static_cast<uint32_t>(AnyNumber(1, 4'000));
      MergeInto(AnyNumber(0, 1) == 0 ? a : b,
                {MakeEntry(number, static_cast<uint32_t>(AnyNumber(0, 2)),
                           static_cast<MemberPhase>(AnyNumber(0, 4)))});
      Apply(AnyNumber(0, 1) == 0 ? a : b,
            RecordVersion{"config/" + std::to_string(number),
                          static_cast<uint64_t>(AnyNumber(1, 9))});
    }
    // Each exchange resolves at least one difference of each kind.
    for (int64_t round = 0; round < 2 * differences; ++round) {
      RC_ASSERT(Exchange(a, b, random) <= 2 * kMaxExchangeMessages);
    }
    RC_ASSERT(AreEqual(a, b));
  });
}

BOOST_AUTO_TEST_CASE(EqualTables_Exchanged_OneMessage) {
  Random random(1);
  Peer a;
  MergeInto(a, {MakeEntry(1, 0, MemberPhase::kReady)});
  Peer b = a;
  BOOST_TEST(Exchange(a, b, random) == 1U);
}

// Guards against balancers that find a difference in every exchange because
// only one of them has purged a withdrawn member.
BOOST_AUTO_TEST_CASE(WithdrawnEntryPurged_Exchanged_OneMessage) {
  Random random(1);
  Peer a;
  MergeInto(a, {MakeEntry(1, 0, MemberPhase::kFailed)});
  Peer b;
  BOOST_TEST(Exchange(a, b, random) == 1U);
}

// Guards against deltas that do not fit a datagram.
BOOST_AUTO_TEST_CASE(ManyItemsWithLongNames_Split_StayWithinBounds) {
  MemberEntry entry = MakeEntry(1, 0, MemberPhase::kReady);
  entry.service = std::string(128, 's');
  entry.failure_domain = std::string(128, 'd');
  const std::vector<MemberEntry> members(100, entry);
  const std::vector<RecordVersion> records(
      100, RecordVersion{"config/" + std::string(100, 'n'), 1});
  const std::vector<ServiceMean> means(100, ServiceMean{"s", 1, {}, 1});
  size_t items = 0;
  for (const Delta& delta : SplitIntoDeltas(members, records, means)) {
    BOOST_TEST(delta.members.size() <= kMaxDeltaMembers);
    BOOST_TEST(delta.records.size() <= kMaxDeltaRecords);
    BOOST_TEST(delta.means.size() <= kMaxDeltaMeans);
    BOOST_TEST(delta.members.size() * 304 + delta.records.size() * 119 +
                   delta.means.size() * 27 <=
               kMaxDeltaBytes);
    items += delta.members.size() + delta.records.size() + delta.means.size();
  }
  BOOST_TEST(items == 300U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
