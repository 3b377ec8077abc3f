#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "medlarwinch/coordination/packet_path/opening_admission.h"
#include "medlarwinch/coordination/shared/random.h"

namespace medlarwinch {

/// What the callers of one kind of request got.
struct KindOutcome {
  double calls = 0, in_time = 0, late = 0, refusals = 0;
  double InTime() const { return in_time / calls; }
  double Unanswered() const { return 1 - (in_time + late) / calls; }
};

/// Calls of one request each at upstreams with four slots and a queue, in steps
/// of 1 ms. A refused call is tried at most three times.
struct OpeningModel {
  struct Call {
    RouteTerms terms;
    int64_t began = 0;
    double work_ms = 0;
    int attempt = 1;
    uint32_t copy = 0;
  };
  struct Host {
    std::array<int64_t, 4> free_at{};
    std::multiset<int64_t> ends;
    UpstreamRoom room{4, 0, 0, 0, false};
    WorkTime work;
    AdmissionHistory history;
    uint32_t reported = 0;
  };

  using Decision =
      std::function<OpeningDecision(Host&, const OfferedOpening&, TimePoint)>;

  OpeningModel(size_t count, Decision decision)
      : decide(std::move(decision)), hosts(count) {}

  void Add(const RouteTerms& terms, double mean_work_ms) {
    const double uniform = (static_cast<double>(random() % 100'000) + 1) / 1e5;
    ++outcome[terms.kind].calls;
    Offer(Call{terms, now, -std::log(uniform) * mean_work_ms});
  }
  void Offer(Call call) {
    std::array<Host*, 4> asked{};
    for (Host*& host : asked) host = &hosts[random() % hosts.size()];
    std::sort(asked.begin(), asked.end(), [](const Host* a, const Host* b) {
      return a->reported < b->reported;
    });
    for (uint8_t hops = 0; hops < 4; ++hops) {
      Host& host = *asked[hops];
      const OpeningDecision decision =
          decide(host, {call.terms, call.copy, hops, hops < 3, false}, {now});
      RecordDecision(host.history, decision);
      if (decision.verdict == OpeningVerdict::kTake) return Serve(host, call);
      if (decision.verdict == OpeningVerdict::kPassOn) continue;
      const bool is_refused = decision.verdict == OpeningVerdict::kRefuse;
      const int64_t delay = is_refused ? 1 : call.copy == 0 ? 200 : 400;
      call.copy = is_refused ? 0 : call.copy + 1;
      if (is_refused) ++outcome[call.terms.kind].refusals;
      if (is_refused && ++call.attempt > 3) return;
      later.emplace(now + delay, call);
    }
  }
  void Serve(Host& host, const Call& call) {
    auto slot = std::min_element(host.free_at.begin(), host.free_at.end());
    const double work = call.work_ms * (host.room.is_cold ? kColdSlowdown : 1);
    *slot = std::max(*slot, now) + std::llround(work);
    host.ends.insert(*slot);
    host.room.committed = static_cast<uint32_t>(host.ends.size());
    RecordWork(host.work,
               {call.terms.kind, Millis{std::llround(work)},
                host.room.committed, host.room.is_cold},
               4);
    const Millis latency{*slot - call.began};
    KindOutcome& kind = outcome[call.terms.kind];
    ++(latency <= call.terms.latency_objective ? kind.in_time : kind.late);
  }
  void Step() {
    ++now;
    for (Host& host : hosts) {
      host.ends.erase(host.ends.begin(), host.ends.upper_bound(now));
      host.room.committed = static_cast<uint32_t>(host.ends.size());
      host.room.mean_outstanding +=
          (host.room.committed - host.room.mean_outstanding) / 1'000;
      if (now % 250 == 0) host.reported = host.room.committed;
    }
    while (!later.empty() && later.begin()->first <= now) {
      Offer(later.extract(later.begin()).mapped());
    }
  }

  Decision decide;
  int64_t now = 1;
  Random random{20'261'206};
  std::vector<Host> hosts;
  std::multimap<int64_t, Call> later;
  std::map<RequestKind, KindOutcome> outcome;
};

}  // namespace medlarwinch
