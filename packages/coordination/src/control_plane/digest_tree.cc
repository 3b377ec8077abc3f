#include "medlarwinch/coordination/control_plane/digest_tree.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kPositionSeed = 11;
constexpr int kBitsPerLevel = 4;

uint64_t MemberPosition(const Endpoint& id) {
  return HashKeyWithNode(kPositionSeed, id);
}

uint64_t RecordPosition(const std::string& name) {
  return HashKey(name, kPositionSeed);
}

uint64_t HashNumbers(uint64_t a, uint64_t b, uint64_t c) {
  const uint64_t numbers[3] = {a, b, c};
  return HashKey(
      std::string_view(reinterpret_cast<const char*>(numbers), sizeof(numbers)),
      kPositionSeed);
}

// Returns the path of the node at `level` that contains `position`.
uint64_t PathPrefix(uint64_t position, uint8_t level) {
  if (level == 0) return 0;
  return position >> (64 - kBitsPerLevel * level);
}

bool IsInSubtree(uint64_t position, uint8_t level, uint64_t path) {
  return PathPrefix(position, level) == path;
}

std::vector<uint64_t> SelectDifferingBuckets(const Digest& a, const Digest& b,
                                             Random& random) {
  std::vector<uint64_t> buckets;
  for (uint64_t bucket = 0; bucket < kDigestBuckets; ++bucket) {
    if (a.bucket_hashes[bucket] == b.bucket_hashes[bucket]) continue;
    buckets.push_back(bucket);
  }
  const size_t max_buckets = a.level == 0 ? kMaxRootBuckets : kMaxInnerBuckets;
  while (buckets.size() > max_buckets) {
    buckets.erase(buckets.begin() +
                  static_cast<std::ptrdiff_t>(random() % buckets.size()));
  }
  return buckets;
}

size_t CountInSubtree(const std::vector<DigestItem>& items, uint8_t level,
                      uint64_t path) {
  return static_cast<size_t>(
      std::count_if(items.begin(), items.end(), [&](const DigestItem& item) {
        return IsInSubtree(item.position, level, path);
      }));
}

void AddContent(DigestReply& reply, DigestScope scope, uint8_t level,
                uint64_t path, const MemberTable& table,
                const RecordStore& store) {
  if (scope == DigestScope::kMembers) {
    for (const auto& [id, record] : table.members) {
      if (IsWithdrawn(record.entry.version.phase)) continue;
      if (!IsInSubtree(MemberPosition(id), level, path)) continue;
      reply.members.push_back(record.entry);
    }
    return;
  }
  for (const RecordVersion& version : ActiveVersions(store)) {
    if (!IsInSubtree(RecordPosition(version.name), level, path)) continue;
    reply.records.push_back(version);
  }
}

// Packs items into deltas in order. Sizes are those of the encoded items.
struct DeltaPacker {
  template <typename Item>
  std::vector<Item>& Reserve(size_t size, size_t max_count,
                             std::vector<Item> Delta::*field) {
    const bool has_room = !deltas.empty() &&
                          used_bytes + size <= kMaxDeltaBytes &&
                          (deltas.back().*field).size() < max_count;
    if (!has_room) {
      deltas.emplace_back();
      used_bytes = 0;
    }
    used_bytes += size;
    return deltas.back().*field;
  }

  std::vector<Delta> deltas;
  size_t used_bytes = 0;
};

}  // namespace

std::vector<DigestItem> MemberItems(const MemberTable& table) {
  std::vector<DigestItem> items;
  items.reserve(table.members.size());
  for (const auto& [id, record] : table.members) {
    const MemberVersion& version = record.entry.version;
    if (IsWithdrawn(version.phase)) continue;
    const uint64_t position = MemberPosition(id);
    const uint64_t state = (static_cast<uint64_t>(version.incarnation) << 8) |
                           static_cast<uint64_t>(version.phase);
    items.push_back(DigestItem{
        position,
        HashNumbers(position, static_cast<uint64_t>(version.boot), state)});
  }
  return items;
}

std::vector<DigestItem> RecordItems(const RecordStore& store) {
  std::vector<DigestItem> items;
  for (const RecordVersion& version : ActiveVersions(store)) {
    const uint64_t position = RecordPosition(version.name);
    items.push_back(
        DigestItem{position, HashNumbers(position, version.version, 0)});
  }
  return items;
}

uint64_t HashItems(const std::vector<DigestItem>& items) {
  uint64_t sum = 0;
  for (const DigestItem& item : items) sum += item.content;
  return sum;
}

Digest ComputeDigest(const std::vector<DigestItem>& items, DigestScope scope,
                     uint8_t level, uint64_t path) {
  Digest digest;
  digest.scope = scope;
  digest.level = level;
  digest.path = path;
  for (const DigestItem& item : items) {
    if (!IsInSubtree(item.position, level, path)) continue;
    const uint64_t bucket =
        PathPrefix(item.position, static_cast<uint8_t>(level + 1)) %
        kDigestBuckets;
    digest.bucket_hashes[bucket] += item.content;
  }
  return digest;
}

DigestReply MakeDigestReply(const Digest& digest, const MemberTable& table,
                            const RecordStore& store, Random& random) {
  DigestReply reply;
  if (digest.level > kMaxDigestLevel) return reply;
  const bool is_members = digest.scope == DigestScope::kMembers;
  const std::vector<DigestItem> records = RecordItems(store);
  const std::vector<DigestItem> items =
      is_members ? MemberItems(table) : records;
  const uint64_t records_hash = HashItems(records);
  const Digest own =
      ComputeDigest(items, digest.scope, digest.level, digest.path);
  const std::vector<uint64_t> buckets =
      SelectDifferingBuckets(digest, own, random);
  const size_t max_items = is_members ? kMaxDeltaMembers : kMaxDeltaRecords;
  const uint8_t next = static_cast<uint8_t>(digest.level + 1);
  // Requests the receiver's items in the buckets whose own items were sent. All
  // other buckets are set equal to the received ones, because the digests of
  // the next level cover them.
  Digest content_request = digest;
  bool has_content = false;
  for (const uint64_t bucket : buckets) {
    const uint64_t path = (digest.path << kBitsPerLevel) | bucket;
    const bool is_last = digest.level == kMaxDigestLevel;
    if (is_last || CountInSubtree(items, next, path) <= max_items) {
      AddContent(reply, digest.scope, next, path, table, store);
      content_request.bucket_hashes[bucket] = own.bucket_hashes[bucket];
      has_content = true;
      continue;
    }
    reply.digests.push_back(ComputeDigest(items, digest.scope, next, path));
    reply.digests.back().records_hash = records_hash;
    reply.digests.back().reply_requested = true;
  }
  if (digest.reply_requested && has_content) {
    content_request.records_hash = records_hash;
    content_request.reply_requested = false;
    reply.digests.push_back(content_request);
  }
  const bool is_root = is_members && digest.level == 0;
  if (is_root && digest.reply_requested &&
      digest.records_hash != records_hash) {
    Digest versions = ComputeDigest(records, DigestScope::kRecords, 0, 0);
    versions.records_hash = records_hash;
    versions.reply_requested = true;
    reply.digests.push_back(versions);
  }
  return reply;
}

std::vector<Delta> SplitIntoDeltas(const std::vector<MemberEntry>& members,
                                   const std::vector<RecordVersion>& records,
                                   const std::vector<ServiceMean>& means) {
  DeltaPacker packer;
  for (const MemberEntry& member : members) {
    const size_t size =
        48 + member.service.size() + member.failure_domain.size();
    packer.Reserve(size, kMaxDeltaMembers, &Delta::members).push_back(member);
  }
  for (const RecordVersion& record : records) {
    packer.Reserve(12 + record.name.size(), kMaxDeltaRecords, &Delta::records)
        .push_back(record);
  }
  for (const ServiceMean& mean : means) {
    packer.Reserve(26 + mean.service.size(), kMaxDeltaMeans, &Delta::means)
        .push_back(mean);
  }
  return std::move(packer.deltas);
}

}  // namespace medlarwinch
