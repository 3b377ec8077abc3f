#pragma once

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "medlarwinch/protocol/codec.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/flow_identifier.h"
#include "medlarwinch/state/member_entry.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// Maximum length of the name of a service, failure domain or tenant, in bytes.
inline constexpr uint32_t kMaxNameBytes = 128;

template <typename Archive>
void serialize(Archive& archive, Endpoint& endpoint) {
  archive(endpoint.ip, endpoint.port);
}

template <typename Archive>
void serialize(Archive& archive, MemberVersion& version) {
  archive(version.boot, version.incarnation,
          BoundedEnum(version.phase, MemberPhase::kFailed));
}

template <typename Archive>
void serialize(Archive& archive, MemberEntry& entry) {
  archive(entry.id, entry.version, BoundedEnum(entry.kind, MemberKind::kAgent),
          Bounded(entry.service, kMaxNameBytes),
          Bounded(entry.failure_domain, kMaxNameBytes), entry.slots, entry.data,
          entry.upstream);
}

}  // namespace medlarwinch
