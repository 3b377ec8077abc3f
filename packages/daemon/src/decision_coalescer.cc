#include "medlarwinch/daemon/decision_coalescer.h"

#include <utility>

namespace medlarwinch {
namespace {

constexpr Millis kCoalescingInterval{1'000};

}  // namespace

DecisionCoalescer::DecisionCoalescer(std::string service, EmitFunction emit)
    : service_(std::move(service)), emit_(std::move(emit)) {}

void DecisionCoalescer::Record(const std::string& action,
                               const std::string& subject, const Reason& reason,
                               TimePoint now) {
  AccountEntry entry;
  entry.action = action;
  entry.service = service_;
  entry.subject = subject;
  entry.reason = reason;
  const Kind kind(action, reason.rule, reason.document_version);
  const auto [held, is_first] = held_.try_emplace(kind);
  if (is_first) {
    held->second.since = now;
    emit_(std::move(entry));
    return;
  }
  ++held->second.count;
  held->second.entry = std::move(entry);
}

void DecisionCoalescer::Flush(TimePoint now) {
  for (auto entry = held_.begin(); entry != held_.end();) {
    HeldDecisions& held = entry->second;
    if (now - held.since < kCoalescingInterval) {
      ++entry;
      continue;
    }
    if (held.count == 0) {
      entry = held_.erase(entry);
      continue;
    }
    held.entry.reason.facts["count"] = std::to_string(held.count);
    emit_(std::move(held.entry));
    held.count = 0;
    held.since = now;
    ++entry;
  }
}

}  // namespace medlarwinch
