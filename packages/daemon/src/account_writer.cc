#include "medlarwinch/daemon/account_writer.h"

#include <algorithm>
#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <mutex>
#include <utility>
#include <vector>

#include "medlarwinch/coordination/control_plane/account_log.h"
#include "medlarwinch/transport/account_json.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/platform_client.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

using TickAtom = caf::atom_constant<caf::atom("acc_tick")>;
using StopAtom = caf::atom_constant<caf::atom("acc_stop")>;

constexpr std::chrono::milliseconds kTickInterval{200};
constexpr int64_t kMillisPerMinute = 60'000;
// A later tick repeats a failed write, so the client itself retries for a short
// time only. This also bounds how long a stop waits for a write.
constexpr Millis kPlatformCallTimeout{400};
constexpr Millis kFlushTimeout{2'000};
// A lost response costs the timeout of the write and that of the read that
// checks it.
constexpr Millis kMaxWriteDuration{900};
constexpr AccountLimits kAccountLimits;

PlatformClientOptions ClientOptions(const Settings& settings) {
  PlatformClientOptions options;
  options.server = settings.platform;
  options.timeout = kPlatformCallTimeout;
  options.retry_for = kPlatformCallTimeout;
  options.calls_per_second = settings.platform_calls_per_second;
  options.seed = (static_cast<uint64_t>(settings.control.ip) << 16) |
                 settings.control.port;
  return options;
}

AccountLine ToAccountLine(const AccountEntry& entry) {
  return AccountLine{entry.service, entry.time.value / kMillisPerMinute,
                     FormatAccountLine(entry)};
}

}  // namespace

// Shared by the callers of Record() and the actor.
struct AccountWriter::State {
  State(const Settings& settings, Metrics& process_metrics)
      : process((settings.agent.has_value() ? "agent/" : "balancer/") +
                ToString(settings.control)),
        metrics(process_metrics),
        client(ClientOptions(settings)) {}

  // The functions below run on the actor's thread only.
  void AppendInboxToLog();
  void RecordDroppedCounts();
  bool WriteNext(bool is_stopping);
  void Flush(TimePoint deadline);

  const std::string process;
  Metrics& metrics;
  std::atomic<size_t> daemon_count{1};
  std::mutex mutex;
  // Entries since the last tick, bounded like the ring buffer; guarded by
  // `mutex`.
  std::vector<AccountEntry> inbox;
  std::map<std::string, uint64_t> inbox_dropped;
  TimePoint flush_deadline{0};

  PlatformClient client;
  AccountLog log;
  uint64_t write_count = 0;
  bool last_write_failed = false;
  caf::actor actor;
};

void AccountWriter::State::AppendInboxToLog() {
  std::vector<AccountEntry> entries;
  std::map<std::string, uint64_t> dropped;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    std::swap(entries, inbox);
    std::swap(dropped, inbox_dropped);
  }
  for (const AccountEntry& entry : entries) {
    log =
        AppendAccountLine(std::move(log), ToAccountLine(entry), kAccountLimits);
    metrics.Add("medlarwinch_account_entries_total",
                {{"service", entry.service}});
  }
  for (const auto& [service, count] : dropped) log.dropped[service] += count;
}

void AccountWriter::State::RecordDroppedCounts() {
  auto [next, counts] = TakeDroppedCounts(std::move(log), kAccountLimits);
  log = std::move(next);
  for (const auto& [service, count] : counts) {
    AccountEntry entry;
    entry.time = WallNow();
    entry.process = process;
    entry.action = "account_entries_dropped";
    entry.service = service;
    entry.subject = process;
    entry.reason.rule = "account_ring_full";
    entry.reason.facts["dropped"] = std::to_string(count);
    log =
        AppendAccountLine(std::move(log), ToAccountLine(entry), kAccountLimits);
    metrics.Add("medlarwinch_account_dropped_total", {{"service", service}},
                static_cast<double>(count));
    Log(LogLevel::kWarning, "account_entries_dropped",
        {{"service", service}, {"dropped", static_cast<int64_t>(count)}});
  }
}

// Returns true if a write succeeded or conflicted, so that another write should
// be tried.
bool AccountWriter::State::WriteNext(bool is_stopping) {
  auto [next, write] = NextAccountWrite(std::move(log), MonotonicNow(),
                                        is_stopping, kAccountLimits);
  log = std::move(next);
  if (!write.has_value()) return false;
  const std::string key =
      AccountKey(process, write->object, write->part.number);
  const std::string operation = process + "/" +
                                std::to_string(WallNow().value) + "/" +
                                std::to_string(++write_count);
  const Result<uint64_t> version =
      client.Put(key, write->part.text, write->part.version, operation);
  AccountWriteResult result = AccountWriteResult::kWritten;
  if (!IsOk(version)) {
    const bool is_conflict = ErrorOf(version).code == ErrorCode::kConflict;
    result = is_conflict ? AccountWriteResult::kConflict
                         : AccountWriteResult::kFailed;
  }
  const bool has_failed = result == AccountWriteResult::kFailed;
  metrics.Add("medlarwinch_account_writes_total",
              {{"result", has_failed ? "failed" : "ok"}});
  // Logs once per outage instead of once per attempt.
  if (has_failed && !last_write_failed) {
    Log(LogLevel::kWarning, "account_write_failed",
        {{"key", key}, {"error", ErrorOf(version).message}});
  }
  last_write_failed = has_failed;
  log = CompleteAccountWrite(
      std::move(log), std::move(*write), result,
      IsOk(version) ? ValueOf(version) : 0,
      MonotonicNow() + AccountWriteInterval(daemon_count), kAccountLimits);
  return !has_failed;
}

void AccountWriter::State::Flush(TimePoint deadline) {
  AppendInboxToLog();
  while (MonotonicNow() + kMaxWriteDuration < deadline) {
    // A full ring buffer has no room for the entry about dropped entries until
    // a write has succeeded.
    RecordDroppedCounts();
    if (!WriteNext(true)) break;
  }
  if (log.ring.empty()) return;
  Log(LogLevel::kWarning, "account_entries_lost_at_stop",
      {{"entries", static_cast<int64_t>(log.ring.size())}});
}

AccountWriter::AccountWriter(caf::actor_system& system,
                             const Settings& settings, Metrics& metrics)
    : state_(std::make_unique<State>(settings, metrics)) {
  State* state = state_.get();
  state->actor =
      system.spawn<caf::detached>([state](caf::event_based_actor* self) {
        self->send(self, TickAtom::value);
        return caf::behavior{
            [state, self](TickAtom) {
              state->AppendInboxToLog();
              state->RecordDroppedCounts();
              state->WriteNext(false);
              state->metrics.Set("medlarwinch_account_waiting", {},
                                 static_cast<double>(state->log.ring.size()));
              self->delayed_send(self, kTickInterval, TickAtom::value);
            },
            [state, self](StopAtom) {
              state->Flush(state->flush_deadline);
              self->quit();
            },
        };
      });
}

AccountWriter::~AccountWriter() {
  state_->flush_deadline = MonotonicNow() + kFlushTimeout;
  caf::scoped_actor self(state_->actor.home_system());
  self->send<caf::message_priority::high>(state_->actor, StopAtom::value);
  self->wait_for(state_->actor);
}

void AccountWriter::Record(AccountEntry entry) {
  entry.process = state_->process;
  if (entry.time == TimePoint{0}) entry.time = WallNow();
  const std::lock_guard<std::mutex> lock(state_->mutex);
  if (state_->inbox.size() >= kAccountLimits.ring_capacity) {
    ++state_->inbox_dropped[entry.service];
    return;
  }
  state_->inbox.push_back(std::move(entry));
}

void AccountWriter::SetDaemonCount(size_t count) {
  state_->daemon_count = std::max<size_t>(count, 1);
}

}  // namespace medlarwinch
