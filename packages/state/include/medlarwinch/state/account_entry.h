#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Why an action was taken: the rule that fired and the part of the document
/// that set it.
struct Reason {
  /// Name of the rule, such as "missed_heartbeats".
  std::string rule;
  /// Name of the document, which is the service name; empty when no document
  /// was involved.
  std::string document;
  /// Version of the document that was in force.
  uint64_t document_version = 0;
  /// Path in the document, such as "health.fail_after_ms".
  std::string path;
  /// The facts acted on, such as "heartbeat_age_ms" -> "3120".
  std::map<std::string, std::string> facts;

  friend bool operator==(const Reason&, const Reason&) = default;
};

/// One action in the record that `medlarwinch explain` reads.
struct AccountEntry {
  /// Wall-clock time of the action.
  TimePoint time;
  /// Identifier of the process that decided, "balancer/127.0.1.1:7100".
  std::string process;
  /// What was done, such as "withdraw_upstream".
  std::string action;
  std::string service;
  /// The upstream, flow or request acted on.
  std::string subject;
  Reason reason;

  friend bool operator==(const AccountEntry&, const AccountEntry&) = default;
};

}  // namespace medlarwinch
