// The faults that a soak run injects.
#include <csignal>

#include "medlarwinch/platform_side/soak_run.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kMaxRestoredAgeMs = 10'000;

}  // namespace

void SoakRun::InjectFault() {
  // A quarter of the faults hit up to four random targets at once.
  const uint64_t repeats = random_() % 4 == 0 ? 1 + random_() % 4 : 1;
  const uint64_t kind = random_() % 10;
  for (uint64_t count = 0; count < repeats; ++count) {
    if (kind < 5) InjectDaemonFault(*daemons_[random_() % daemons_.size()]);
    if (kind == 5 || kind == 6) {
      InjectUpstreamFault(*vms_[random_() % vms_.size()]);
    }
    if (kind == 7 || kind == 8) InjectStoreFault();
    if (kind == 9) ChangeConfiguration();
  }
}

void SoakRun::InjectDaemonFault(Daemon& daemon) {
  RecordDisruption(daemon);
  const uint64_t kind = random_() % 5;
  if (daemon.is_paused || kind == 0) {
    LogEvent("continue " + daemon.name);
    daemon.process->Signal(SIGCONT);
    daemon.is_paused = false;
  } else if (kind == 1) {
    LogEvent("pause " + daemon.name);
    daemon.process->Signal(SIGSTOP);
    daemon.is_paused = true;
  } else if (kind == 2) {
    LogEvent("terminate " + daemon.name);
    daemon.process->Signal(SIGTERM);
  } else if (kind == 3) {
    LogEvent("reload " + daemon.name);
    daemon.process->Signal(SIGHUP);
  } else {
    LogEvent("kill " + daemon.name);
    daemon.process->Signal(SIGKILL);
  }
}

void SoakRun::InjectUpstreamFault(UpstreamVm& vm) {
  if (vm.upstream == nullptr) return;
  const std::string& agent = daemons_[vm.daemon]->name;
  const TimePoint now = MonotonicNow();
  if (vm.upstream->is_drain_acknowledged()) {
    LogEvent("deregister upstream of " + agent);
    UpstreamVm* raw = &vm;
    vm.upstream->Deregister([raw] {
      raw->upstream.reset();
      raw->upstream_restart_at = MonotonicNow() + Millis{800};
    });
  } else if (random_() % 2 == 0) {
    LogEvent("drain upstream of " + agent);
    vm.upstream->Drain();
  } else {
    LogEvent("crash upstream of " + agent);
    vm.upstream.reset();
    vm.upstream_restart_at =
        now + Millis{static_cast<int64_t>(100 + random_() % 3'000)};
  }
}

void SoakRun::InjectStoreFault() {
  store_disrupted_at_ = MonotonicNow();
  if (random_() % 4 == 0) {
    LogEvent("store discards its event history");
    store_.Compact();
    return;
  }
  if (random_() % 4 == 0) {
    const Millis age{static_cast<int64_t>(random_() % kMaxRestoredAgeMs)};
    LogEvent("store is restored from a copy " + std::to_string(age.value) +
             " ms old");
    store_.Restore(age, MonotonicNow());
    WriteConfiguration();
    if (settings_.evacuations) RewriteEvacuations();
    return;
  }
  const StoreFault fault = static_cast<StoreFault>(random_() % 5);
  const bool affects_all = random_() % 3 == 0;
  LogEvent("store fault " + std::to_string(static_cast<int>(fault)) +
           (affects_all ? " for all daemons" : ""));
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (affects_all || random_() % 3 == 0) daemon->fault = fault;
  }
}

}  // namespace medlarwinch
