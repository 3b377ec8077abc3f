#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/coordination/control_plane/member_table.h"
#include "medlarwinch/coordination/control_plane/record_store.h"
#include "medlarwinch/coordination/shared/random.h"

namespace medlarwinch {

/// Maximum number of differing buckets that a reply to one digest descends
/// into, at the root and below it. With these limits an exchange over three
/// levels, which hold 16^3 leaves, takes at most 4 + 4 * 2 descents.
inline constexpr size_t kMaxRootBuckets = 4;
inline constexpr size_t kMaxInnerBuckets = 2;

/// Maximum size of the items in one delta, in bytes. With its headers, a delta
/// then fits an unfragmented datagram.
inline constexpr size_t kMaxDeltaBytes = 1'200;

/// One item in the tree: its position, derived from its key, and a hash of its
/// key and version.
struct DigestItem {
  uint64_t position = 0;
  uint64_t content = 0;
};

/// Items of the members that are not withdrawn. Withdrawn members are left out
/// because balancers purge them at different times.
std::vector<DigestItem> MemberItems(const MemberTable& table);

/// Items of the active record versions.
std::vector<DigestItem> RecordItems(const RecordStore& store);

/// Hash over all items, independent of their order.
uint64_t HashItems(const std::vector<DigestItem>& items);

/// Computes the node of the tree at `level` and `path`.
Digest ComputeDigest(const std::vector<DigestItem>& items, DigestScope scope,
                     uint8_t level, uint64_t path);

/// The reply to another balancer's digest.
struct DigestReply {
  std::vector<Digest> digests;
  std::vector<MemberEntry> members;
  std::vector<RecordVersion> records;
};

/// Compares a digest with the local data. A differing bucket is answered with
/// its items when they fit one delta, and with the digest of its subtree
/// otherwise. The number of buckets is limited and the choice is random, so
/// that repeated exchanges cover all of them.
DigestReply MakeDigestReply(const Digest& digest, const MemberTable& table,
                            const RecordStore& store, Random& random);

/// Splits updates into deltas that each fit a datagram.
std::vector<Delta> SplitIntoDeltas(const std::vector<MemberEntry>& members,
                                   const std::vector<RecordVersion>& records,
                                   const std::vector<ServiceMean>& means);

}  // namespace medlarwinch
