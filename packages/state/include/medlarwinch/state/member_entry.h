#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

enum class MemberKind : uint8_t { kBalancer = 0, kAgent = 1 };

/// The life cycle of a member within one incarnation. A later phase replaces an
/// earlier one.
enum class MemberPhase : uint8_t {
  kStarting = 0,
  kReady = 1,
  kDraining = 2,
  kLeft = 3,
  kFailed = 4,
};

const char* MemberKindName(MemberKind kind);
const char* MemberPhaseName(MemberPhase phase);

/// Orders the statements about one member: the higher version is the newer one.
struct MemberVersion {
  /// Wall-clock start time of the process in milliseconds. A new process at the
  /// same address takes a value above the recorded one.
  int64_t boot = 0;
  /// Incremented each time the member refutes a record of its failure.
  uint32_t incarnation = 0;
  MemberPhase phase = MemberPhase::kStarting;

  friend auto operator<=>(const MemberVersion&, const MemberVersion&) = default;
};

/// What every balancer knows of a daemon.
struct MemberEntry {
  /// Address of the control socket, which identifies the member.
  Endpoint id;
  MemberVersion version;
  MemberKind kind = MemberKind::kAgent;
  /// Service name of an agent; empty for a balancer.
  std::string service;
  std::string failure_domain;
  /// Capacity of the upstream in slots; 0 for a balancer.
  uint32_t slots = 0;
  /// Address that receives forwarded packets (agent) or packets from the fabric
  /// (balancer).
  Endpoint data;
  /// Address of the upstream's own listener, as listed in a document's
  /// `drain.upstreams`; zero for a balancer.
  Endpoint upstream;

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

}  // namespace medlarwinch
