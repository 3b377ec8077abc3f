#include "medlarwinch/daemon/decision_coalescer.h"

#include <utility>

namespace medlarwinch {
namespace {

constexpr Millis kCoalescingInterval{1'000};

}  // namespace

DecisionCoalescer::DecisionCoalescer(std::string service, Emit emit)
    : service_(std::move(service)), emit_(std::move(emit)) {}

void DecisionCoalescer::Record(const std::string& action,
                               const std::string& subject, const Reason& reason,
                               TimePoint now) {
  AccountEntry entry;
  entry.action = action;
  entry.service = service_;
  entry.subject = subject;
  entry.reason = reason;
  const DecisionKind kind(action, reason.rule, reason.document_version);
  const auto [group, is_first] = groups_.try_emplace(kind);
  if (is_first) {
    group->second.since = now;
    emit_(std::move(entry));
    return;
  }
  ++group->second.count;
  group->second.entry = std::move(entry);
}

void DecisionCoalescer::Flush(TimePoint now) {
  for (auto entry = groups_.begin(); entry != groups_.end();) {
    DecisionGroup& group = entry->second;
    if (now - group.since < kCoalescingInterval) {
      ++entry;
      continue;
    }
    if (group.count == 0) {
      entry = groups_.erase(entry);
      continue;
    }
    group.entry.reason.facts["count"] = std::to_string(group.count);
    emit_(std::move(group.entry));
    group.count = 0;
    group.since = now;
    ++entry;
  }
}

}  // namespace medlarwinch
