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

/// Number of agents that store the record of a key.
inline constexpr size_t kKeyHomes = 3;

/// Returns the home agents of `key`, best first, chosen among the data
/// addresses of the ready agents of the service. Two rosters that differ by one
/// agent share at least two of the three homes.
std::vector<Endpoint> ChooseKeyHomes(const KeyHash& key,
                                     const std::vector<Endpoint>& ready);

/// The holder of a key and the expiry time of the record.
struct KeyHomeRecord {
  KeyHolder holder;
  TimePoint expires;

  friend bool operator==(const KeyHomeRecord&, const KeyHomeRecord&) = default;
};

/// The keys for which this agent is a home.
struct KeyHome {
  std::map<KeyHash, KeyHomeRecord> records;
  /// Time of the next removal of expired records; none is removed before it.
  TimePoint next_expiry{INT64_MAX};
};

struct KeyHomeLimits {
  Millis retention{600'000};
  size_t max_keys = 100'000;
};

struct ReserveStep {
  KeyHome home;
  ReserveState state = ReserveState::kFull;
  /// The recorded holder when the state is kHeldElsewhere.
  KeyHolder holder;
};

/// Records that `holder` is about to run `key`. Refuses a key of another holder
/// unless that holder is `superseded`, that is, has guaranteed never to run the
/// key. Records are never evicted early; a full home refuses new keys.
ReserveStep ReserveKey(KeyHome home, const KeyHash& key,
                       const KeyHolder& holder,
                       const std::optional<KeyHolder>& superseded,
                       const KeyHomeLimits& limits, TimePoint now);

/// A record that is being transferred to another home.
struct TransferredKey {
  KeyHash key;
  KeyHolder holder;
  Millis remaining{0};

  friend bool operator==(const TransferredKey&,
                         const TransferredKey&) = default;
};

/// Imports the records of a draining home. An existing record stays, because
/// its holder was already granted or refused here.
KeyHome ImportKeys(KeyHome home, const std::vector<TransferredKey>& keys,
                   const KeyHomeLimits& limits, TimePoint now);

/// Returns, by receiver, the records that need a new home after the ready
/// agents change from `before` to `after`, ordered by key.
std::map<Endpoint, std::vector<TransferredKey>> PlanKeyTransfers(
    const KeyHome& home, const std::vector<Endpoint>& before,
    const std::vector<Endpoint>& after, TimePoint now);

/// Removes the records whose retention has passed.
KeyHome ExpireKeys(KeyHome home, TimePoint now);

}  // namespace medlarwinch
