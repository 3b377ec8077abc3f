#include "medlarwinch/coordination/request_path/key_homes.h"

#include <algorithm>

#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

// Records expire in batches at this interval, so that a busy home does not scan
// all its records for each expiry.
constexpr Millis kExpiryInterval{5'000};

void PutRecord(KeyHome& home, const KeyHash& key, const KeyHomeRecord& record) {
  home.records[key] = record;
  home.next_expiry =
      std::min(home.next_expiry, record.expires + kExpiryInterval);
}

}  // namespace

std::vector<Endpoint> ChooseKeyHomes(const KeyHash& key,
                                     const std::vector<Endpoint>& ready) {
  std::vector<WeightedNode> nodes;
  nodes.reserve(ready.size());
  for (const Endpoint& agent : ready) nodes.push_back(WeightedNode{agent, 1});
  return ChooseByRendezvous(key.high, nodes, kKeyHomes);
}

ReserveStep ReserveKey(KeyHome home, const KeyHash& key,
                       const KeyHolder& holder,
                       const std::optional<KeyHolder>& superseded,
                       const KeyHomeLimits& limits, TimePoint now) {
  home = ExpireKeys(std::move(home), now);
  ReserveStep step;
  const auto found = home.records.find(key);
  if (found != home.records.end() && found->second.holder != holder &&
      found->second.holder != superseded) {
    step.state = ReserveState::kHeldElsewhere;
    step.holder = found->second.holder;
  } else if (found != home.records.end() ||
             home.records.size() < limits.max_keys) {
    PutRecord(home, key, KeyHomeRecord{holder, now + limits.retention});
    step.state = ReserveState::kGranted;
  }
  step.home = std::move(home);
  return step;
}

KeyHome ImportKeys(KeyHome home, const std::vector<TransferredKey>& keys,
                   const KeyHomeLimits& limits, TimePoint now) {
  home = ExpireKeys(std::move(home), now);
  for (const TransferredKey& transfer : keys) {
    if (transfer.remaining.value <= 0 || home.records.contains(transfer.key))
      continue;
    if (home.records.size() >= limits.max_keys) break;
    const Millis remaining = std::min(transfer.remaining, limits.retention);
    PutRecord(home, transfer.key,
              KeyHomeRecord{transfer.holder, now + remaining});
  }
  return home;
}

std::map<Endpoint, std::vector<TransferredKey>> PlanKeyTransfers(
    const KeyHome& home, const std::vector<Endpoint>& before,
    const std::vector<Endpoint>& after, TimePoint now) {
  std::map<Endpoint, std::vector<TransferredKey>> transfers;
  for (const auto& [key, record] : home.records) {
    const Millis remaining = record.expires - now;
    if (remaining.value <= 0) continue;
    const std::vector<Endpoint> old_homes = ChooseKeyHomes(key, before);
    for (const Endpoint& receiver : ChooseKeyHomes(key, after)) {
      const bool is_old = std::find(old_homes.begin(), old_homes.end(),
                                    receiver) != old_homes.end();
      if (is_old) continue;
      transfers[receiver].push_back(
          TransferredKey{key, record.holder, remaining});
    }
  }
  return transfers;
}

KeyHome ExpireKeys(KeyHome home, TimePoint now) {
  if (now < home.next_expiry) return home;
  home.next_expiry = TimePoint{INT64_MAX};
  std::erase_if(home.records, [&](const auto& entry) {
    if (entry.second.expires <= now) return true;
    home.next_expiry =
        std::min(home.next_expiry, entry.second.expires + kExpiryInterval);
    return false;
  });
  return home;
}

}  // namespace medlarwinch
