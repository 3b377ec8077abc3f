#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

enum class MemberKind : uint8_t { kBalancer = 0, kAgent = 1 };

/// The life of a member within one incarnation; a later phase replaces an
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

/// Orders what is said about one member: the higher value is the newer one.
struct MemberVersion {
  /// Wall-clock milliseconds at the start of the process; a newcomer at the
  /// same address takes a value above the one on record.
  int64_t boot = 0;
  /// Counts the member's answers to being recorded as failed.
  uint32_t incarnation = 0;
  MemberPhase phase = MemberPhase::kStarting;

  friend auto operator<=>(const MemberVersion&, const MemberVersion&) = default;
};

/// What every balancer knows of a daemon.
struct MemberEntry {
  /// Address of the control socket; it identifies the member.
  Endpoint id;
  MemberVersion version;
  MemberKind kind = MemberKind::kAgent;
  /// Name of the service of an agent; empty for a balancer.
  std::string service;
  std::string failure_domain;
  /// Capacity of the upstream in slots; 0 for a balancer.
  uint32_t slots = 0;
  /// Address that takes forwarded packets (agent) or fabric packets (balancer).
  Endpoint data;
  /// Address of the upstream's own listener, as a document's drain list names
  /// it; zero for a balancer.
  Endpoint upstream;

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

}  // namespace medlarwinch
