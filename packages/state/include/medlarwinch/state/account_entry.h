#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Why an action was taken: the rule that fired, and the document setting that
/// it applied.
struct Reason {
  /// Name of the rule, such as "missed_heartbeats".
  std::string rule;
  /// Name of the document, which is the service name; empty when no document
  /// was involved.
  std::string document;
  /// Version of the document that was active.
  uint64_t document_version = 0;
  /// Path in the document, such as "health.fail_after_ms".
  std::string path;
  /// Observed values that led to the action, such as "heartbeat_age_ms" ->
  /// "3120".
  std::map<std::string, std::string> facts;

  friend bool operator==(const Reason&, const Reason&) = default;
};

/// An action recorded for `medlarwinch explain`.
struct AccountEntry {
  /// Wall-clock time of the action.
  TimePoint time;
  /// Identifier of the process that decided, such as "balancer/127.0.1.1:7100".
  std::string process;
  /// Name of the action, such as "withdraw_upstream".
  std::string action;
  std::string service;
  /// The affected upstream, flow or request.
  std::string subject;
  Reason reason;

  friend bool operator==(const AccountEntry&, const AccountEntry&) = default;
};

}  // namespace medlarwinch
