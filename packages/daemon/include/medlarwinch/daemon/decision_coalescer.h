#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/clock.h"

namespace medlarwinch {

/// Coalesces decisions of the same kind: an overloaded agent sheds thousands of
/// requests per second for one reason, and the account and the log need one
/// entry with the count. Not thread-safe.
class DecisionCoalescer {
 public:
  using EmitFunction = std::function<void(AccountEntry entry)>;

  DecisionCoalescer(std::string service, EmitFunction emit);

  /// Records a decision. The first one of its kind is emitted at once; Flush()
  /// emits later ones as one entry with the fact `count`.
  void Record(const std::string& action, const std::string& subject,
              const Reason& reason, TimePoint now);

  /// Emits decisions that have been held for at least a second.
  void Flush(TimePoint now);

 private:
  // Action, rule and document version.
  using Kind = std::tuple<std::string, std::string, uint64_t>;
  struct HeldDecisions {
    AccountEntry entry;
    uint64_t count = 0;
    TimePoint since;
  };

  std::string service_;
  EmitFunction emit_;
  std::map<Kind, HeldDecisions> held_;
};

}  // namespace medlarwinch
