#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/key_state.h"

namespace medlarwinch {

/// Agents that keep the record of one key.
inline constexpr size_t kKeyHomes = 3;

/// Returns the home agents of `key` among the data addresses of the agents of
/// the service that are ready, best first. Two rosters that differ by one agent
/// share at least two of three homes.
std::vector<Endpoint> ChooseKeyHomes(const KeyHash& key,
                                     const std::vector<Endpoint>& ready);

/// Who holds a key, and until when the home remembers it.
struct KeyHomeRecord {
  KeyHolder holder;
  TimePoint expires;

  friend bool operator==(const KeyHomeRecord&, const KeyHomeRecord&) = default;
};

/// The keys whose home this agent is.
struct KeyHome {
  std::map<KeyHash, KeyHomeRecord> records;
  /// Time of the oldest possible expiry; nothing expires before it.
  TimePoint next_expiry{INT64_MAX};
};

struct KeyHomeLimits {
  Millis retention{600'000};
  size_t max_keys = 100'000;
};

struct ReserveStep {
  KeyHome home;
  ReserveState state = ReserveState::kFull;
  /// The holder on record when the state is kHeldElsewhere.
  KeyHolder holder;
};

/// Records that `holder` is about to run `key`. A key of another holder is
/// refused, unless that holder is `superseded`: one that has said that it never
/// runs the key. Records are never evicted early; a full home refuses.
ReserveStep ReserveKey(KeyHome home, const KeyHash& key,
                       const KeyHolder& holder,
                       const std::optional<KeyHolder>& superseded,
                       const KeyHomeLimits& limits, TimePoint now);

/// A record on its way to another home.
struct TransferredKey {
  KeyHash key;
  KeyHolder holder;
  Millis remaining{0};

  friend bool operator==(const TransferredKey&,
                         const TransferredKey&) = default;
};

/// Takes the records of a home that drains. A record that this home has already
/// is kept: its holder was refused or granted here.
KeyHome ImportKeys(KeyHome home, const std::vector<TransferredKey>& keys,
                   const KeyHomeLimits& limits, TimePoint now);

/// Returns, by receiver, the records that a change of the ready agents from
/// `before` to `after` gives a new home, ordered by key.
std::map<Endpoint, std::vector<TransferredKey>> PlanKeyTransfers(
    const KeyHome& home, const std::vector<Endpoint>& before,
    const std::vector<Endpoint>& after, TimePoint now);

/// Drops the records whose retention has passed.
KeyHome ExpireKeys(KeyHome home, TimePoint now);

}  // namespace medlarwinch
