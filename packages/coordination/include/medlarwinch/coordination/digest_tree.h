#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/coordination/member_table.h"
#include "medlarwinch/coordination/random.h"
#include "medlarwinch/coordination/record_store.h"

namespace medlarwinch {

/// Differing buckets that one digest leads to at most, by level. With these an
/// exchange over three levels, which hold 16^3 leaves, takes at most
/// 4 + 4 * 2 descents.
inline constexpr size_t kMaxRootBuckets = 4;
inline constexpr size_t kMaxInnerBuckets = 2;

/// Bytes of the facts of one delta at most, so that with its headers it fits an
/// unfragmented datagram.
inline constexpr size_t kMaxDeltaBytes = 1'200;

/// One fact in the tree: where its identity stands, and a hash of all of it.
struct DigestItem {
  uint64_t position = 0;
  uint64_t content = 0;
};

/// Members that are not withdrawn. Withdrawn ones are left out because the
/// balancers drop them at different times.
std::vector<DigestItem> MemberItems(const MemberTable& table);

/// Record versions in force.
std::vector<DigestItem> RecordItems(const RecordStore& store);

/// Hash over all items; independent of their order.
uint64_t HashItems(const std::vector<DigestItem>& items);

/// Computes the node of the tree at `level` and `path`.
Digest ComputeDigest(const std::vector<DigestItem>& items, DigestScope scope,
                     uint8_t level, uint64_t path);

/// The answer to a digest of another balancer.
struct DigestReply {
  std::vector<Digest> digests;
  std::vector<MemberEntry> members;
  std::vector<RecordVersion> records;
};

/// Compares a digest with what this process holds. Buckets that differ are
/// answered with their content when it fits one delta, and with a digest of the
/// next level otherwise; their number is bounded and their choice is random, so
/// that repeated exchanges reach all.
DigestReply MakeDigestReply(const Digest& digest, const MemberTable& table,
                            const RecordStore& store, Random& random);

/// Splits news into deltas within the bounds of a datagram.
std::vector<Delta> SplitIntoDeltas(const std::vector<MemberEntry>& members,
                                   const std::vector<RecordVersion>& records,
                                   const std::vector<ServiceMean>& means);

}  // namespace medlarwinch
