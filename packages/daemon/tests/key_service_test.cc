#include "medlarwinch/daemon/key_service.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "../../coordination/tests/property_check.h"

namespace medlarwinch {
namespace {

constexpr const char* kService = "probe-hub";
constexpr size_t kAgentCount = 4;
constexpr int kSimulationSteps = 600;

struct Datagram {
  size_t from = 0;
  size_t to = 0;
  DataMessage message;
};

// One attempt of the caller at one agent. Its packet may arrive at any time
// after it was sent, at most once.
struct Attempt {
  size_t agent = 0;
  int64_t boot = 0;
  uint32_t highest_not_run_attempt = 0;
  bool is_delivered = false;
  bool is_answered = false;
  Verdict verdict = Verdict::kMayHaveRun;
  int runs = 0;
};

// Agents that exchange key messages over a network that loses, duplicates and
// reorders messages, and a caller that retries one request.
class Simulation {
 public:
  explicit Simulation(uint32_t seed) : random_(seed), keys_(FleetKey{}, {}) {
    for (size_t index = 0; index < kAgentCount; ++index) {
      shared_states_[index].keys = std::make_shared<KeySet>(keys_);
      shared_states_[index].ready_agents = Ready(false);
      shared_states_[index].is_roster_settled = true;
      StartAgent(index);
    }
  }

  void Run() {
    SendAttempt();
    for (int step = 0; step < kSimulationSteps; ++step) RunRandomStep();
    for (size_t index = 0; index < 2'000 && !network_.empty(); ++index) {
      DeliverOneMessage();
    }
  }

  int runs() const {
    int sum = 0;
    for (const Attempt& attempt : attempts_) sum += attempt.runs;
    return sum;
  }

  // Returns true if an attempt was answered "not run" although it or an earlier
  // one ran.
  bool HasFalseNotRun() const {
    int runs = 0;
    for (const Attempt& attempt : attempts_) {
      runs += attempt.runs;
      const bool is_not_run =
          attempt.is_answered && attempt.verdict == Verdict::kNotRun;
      if (is_not_run && runs > 0) return true;
    }
    return false;
  }

 private:
  static Endpoint AddressOf(size_t index) {
    return Endpoint{0x7f000001 + static_cast<uint32_t>(index), 7'000};
  }

  static std::vector<Endpoint> Ready(bool last_has_left) {
    std::vector<Endpoint> ready;
    for (size_t index = 0; index < kAgentCount - (last_has_left ? 1 : 0);
         ++index) {
      ready.push_back(AddressOf(index));
    }
    return ready;
  }

  uint32_t Any(uint32_t bound) { return random_() % bound; }

  void StartAgent(size_t index) {
    KeyServiceCallbacks callbacks;
    callbacks.send = [this, index](const Endpoint& to,
                                   const DataMessage& message) {
      const size_t receiver = to.ip - 0x7f000001;
      network_.push_back(Datagram{index, receiver, message});
    };
    callbacks.forward_to_upstream = [this](const CallerRequestId& id,
                                           bool earlier_resolved) {
      ForwardToUpstream(id, earlier_resolved);
    };
    callbacks.send_stored_response = [this](const CallerRequestId& id, uint16_t,
                                            const StoredResponse&) {
      RecordVerdict(id, Verdict::kRan);
    };
    callbacks.refuse = [this](const CallerRequestId& id, Verdict verdict,
                              const Reason&) { RecordVerdict(id, verdict); };
    services_[index] = std::make_unique<KeyService>(
        AgentIdentity{kService, AddressOf(index), boots_[index]},
        shared_states_[index], callbacks);
  }

  void RunRandomStep() {
    const uint32_t kind = Any(100);
    if (kind < 55) {
      DeliverOneMessage();
    } else if (kind < 80) {
      now_ = now_ + Millis{static_cast<int64_t>(Any(120))};
      services_[Any(kAgentCount)]->Tick(now_);
    } else if (kind < 90) {
      DeliverOneAttempt();
    } else if (kind < 94) {
      FinishOneRequest();
    } else if (kind < 97) {
      ChangeRoster(Any(kAgentCount));
    } else if (kind < 98 && !crashed_) {
      Crash(Any(kAgentCount));
    } else {
      SendAttempt();
    }
  }

  // Delivers a random message. Loses one in ten and keeps a copy of two in ten
  // in the network.
  void DeliverOneMessage() {
    if (network_.empty()) return;
    const size_t index = Any(static_cast<uint32_t>(network_.size()));
    const Datagram datagram = network_[index];
    const uint32_t delivery = Any(10);
    if (delivery > 1)
      network_.erase(network_.begin() + static_cast<ptrdiff_t>(index));
    if (delivery == 2) return;
    services_[datagram.to]->OnMessage(AddressOf(datagram.from),
                                      datagram.message, now_);
  }

  // The caller retries after "not run", or when its wait has timed out.
  void SendAttempt() {
    if (attempts_.size() >= 6) return;
    if (!attempts_.empty()) {
      const Attempt& last = attempts_.back();
      if (last.is_answered && last.verdict != Verdict::kNotRun) return;
      if (!last.is_answered && Any(3) != 0) return;
    }
    Attempt attempt;
    attempt.agent = Any(kAgentCount);
    attempt.boot = boots_[attempt.agent];
    for (size_t index = 0; index < attempts_.size(); ++index) {
      const Attempt& earlier = attempts_[index];
      const bool is_not_run =
          earlier.is_answered && earlier.verdict == Verdict::kNotRun;
      if (is_not_run)
        attempt.highest_not_run_attempt = static_cast<uint32_t>(index + 1);
    }
    attempts_.push_back(attempt);
  }

  void DeliverOneAttempt() {
    const uint32_t index = Any(static_cast<uint32_t>(attempts_.size()));
    Attempt& attempt = attempts_[index];
    if (attempt.is_delivered || attempt.boot != boots_[attempt.agent]) return;
    attempt.is_delivered = true;

    KeyedRequest request;
    request.key = HashIdempotencyKey(kService, "k");
    request.attempt = index + 1;
    request.highest_not_run_attempt = attempt.highest_not_run_attempt;
    if (index > 0) {
      const Attempt& earlier = attempts_[index - 1];
      const FlowIdentifierBytes flow =
          IssueFlowIdentifier(keys_, kService,
                              FlowIdentifier{0, AddressOf(earlier.agent),
                                             BootTag(earlier.boot), 1});
      request.earlier_flow.assign(flow.begin(), flow.end());
    }
    if (Any(5) == 0) request.refusal = Reason{};
    request.deadline = now_ + Millis{3'000};
    if (request.refusal.has_value() &&
        request.highest_not_run_attempt == index) {
      RecordVerdict(CallerRequestId{index, 0}, Verdict::kNotRun);
      return;
    }
    services_[attempt.agent]->StartKeyedRequest(CallerRequestId{index, 0},
                                                request, now_);
  }

  // The upstream either states that it shed the request, or runs it.
  void ForwardToUpstream(const CallerRequestId& id, bool earlier_resolved) {
    Attempt& attempt = attempts_[id.flow_number];
    if (Any(4) == 0) {
      const bool is_proof = services_[attempt.agent]->Withdraw(
          HashIdempotencyKey(kService, "k"), id.flow_number + 1, now_);
      RecordVerdict(id, is_proof && earlier_resolved ? Verdict::kNotRun
                                                     : Verdict::kMayHaveRun);
      return;
    }
    ++attempt.runs;
    running_.insert(id.flow_number);
  }

  void FinishOneRequest() {
    if (running_.empty()) return;
    const uint32_t index = *running_.begin();
    running_.erase(running_.begin());
    const Attempt& attempt = attempts_[index];
    if (attempt.boot != boots_[attempt.agent]) return;
    const bool ran = Any(2) == 0;
    services_[attempt.agent]->FinishKeyedRequest(
        HashIdempotencyKey(kService, "k"),
        ran ? LedgerState::kRan : LedgerState::kMayHaveRun, 200,
        std::make_shared<const std::vector<uint8_t>>(3, 'x'), now_);
    RecordVerdict(CallerRequestId{index, 0},
                  ran ? Verdict::kRan : Verdict::kMayHaveRun);
  }

  // The only roster change: the last agent drains. Each agent learns of it at a
  // different time.
  void ChangeRoster(size_t index) {
    if (agents_with_new_roster_.contains(index)) return;
    agents_with_new_roster_.insert(index);
    AgentSharedState& shared_state = shared_states_[index];
    const std::vector<Endpoint> before = shared_state.ready_agents;
    shared_state.ready_agents = Ready(true);
    shared_state.draining = index == kAgentCount - 1;
    services_[index]->OnReadyChanged(before, shared_state.ready_agents, now_);
  }

  void Crash(size_t index) {
    crashed_ = true;
    ++boots_[index];
    StartAgent(index);
  }

  void RecordVerdict(const CallerRequestId& id, Verdict verdict) {
    attempts_[id.flow_number].is_answered = true;
    attempts_[id.flow_number].verdict = verdict;
  }

  std::mt19937 random_;
  KeySet keys_;
  TimePoint now_{1'000};
  std::array<int64_t, kAgentCount> boots_{10, 20, 30, 40};
  std::array<AgentSharedState, kAgentCount> shared_states_;
  std::array<std::unique_ptr<KeyService>, kAgentCount> services_;
  std::vector<Datagram> network_;
  std::vector<Attempt> attempts_;
  std::set<uint32_t> running_;
  std::set<size_t> agents_with_new_roster_;
  bool crashed_ = false;
};

BOOST_AUTO_TEST_SUITE(KeyServicesOverLossyNetwork)

// Guards against a request that runs twice and against a false "not run" under
// losses, duplicates, delays, one roster change and one crash.
BOOST_AUTO_TEST_CASE(RetriedRequest_AnySchedule_RunsAtMostOnce) {
  CheckProperty("a non-idempotent request runs at most once", [] {
    const uint32_t seed = static_cast<uint32_t>(AnyNumber(0, 1'000'000'000));
    for (uint32_t index = 0; index < 40; ++index) {
      Simulation simulation(seed + index);
      simulation.Run();
      RC_ASSERT(simulation.runs() <= 1);
      RC_ASSERT(!simulation.HasFalseNotRun());
    }
  });
}

// Guards against a protocol that is safe only because it never runs anything.
BOOST_AUTO_TEST_CASE(RetriedRequest_ManySchedules_UsuallyRuns) {
  int runs = 0;
  for (uint32_t seed = 0; seed < 500; ++seed) {
    Simulation simulation(seed);
    simulation.Run();
    runs += simulation.runs();
  }
  BOOST_TEST(runs > 250);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
