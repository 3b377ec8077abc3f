// The faults that a soak injects.
#include <csignal>

#include "medlarwinch/platform_side/soak_world.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

void SoakWorld::InjectFault() {
  // Series: the same kind of fault at several places at once.
  const uint64_t repeats = random_() % 4 == 0 ? 1 + random_() % 4 : 1;
  const uint64_t kind = random_() % 10;
  for (uint64_t count = 0; count < repeats; ++count) {
    if (kind < 5) FaultOfDaemon(*daemons_[random_() % daemons_.size()]);
    if (kind == 5 || kind == 6) {
      FaultOfHost(*machines_[random_() % machines_.size()]);
    }
    if (kind == 7 || kind == 8) FaultOfStore();
    if (kind == 9) ChangeConfiguration();
  }
}

void SoakWorld::FaultOfDaemon(Daemon& daemon) {
  Disturb(daemon);
  const uint64_t kind = random_() % 5;
  if (daemon.is_paused || kind == 0) {
    Note("continue " + daemon.name);
    daemon.process->Signal(SIGCONT);
    daemon.is_paused = false;
  } else if (kind == 1) {
    Note("pause " + daemon.name);
    daemon.process->Signal(SIGSTOP);
    daemon.is_paused = true;
  } else if (kind == 2) {
    Note("terminate " + daemon.name);
    daemon.process->Signal(SIGTERM);
  } else if (kind == 3) {
    Note("reload " + daemon.name);
    daemon.process->Signal(SIGHUP);
  } else {
    Note("kill " + daemon.name);
    daemon.process->Signal(SIGKILL);
  }
}

void SoakWorld::FaultOfHost(Machine& machine) {
  if (machine.host == nullptr) return;
  const std::string& agent = daemons_[machine.daemon]->name;
  const TimePoint now = MonotonicNow();
  if (machine.host->is_drain_acknowledged()) {
    Note("end of the host at " + agent);
    Machine* raw = &machine;
    machine.host->Deregister([raw] {
      raw->host.reset();
      raw->host_restart_at = MonotonicNow() + Millis{800};
    });
  } else if (random_() % 2 == 0) {
    Note("drain of the host at " + agent);
    machine.host->Drain();
  } else {
    Note("crash of the host at " + agent);
    machine.host.reset();
    machine.host_restart_at =
        now + Millis{static_cast<int64_t>(100 + random_() % 3'000)};
  }
}

void SoakWorld::FaultOfStore() {
  store_disturbed_ = MonotonicNow();
  if (random_() % 4 == 0) {
    Note("store forgets its history");
    store_.Compact();
    return;
  }
  const StoreFault fault = static_cast<StoreFault>(random_() % 5);
  const bool is_for_all = random_() % 3 == 0;
  Note("store fault " + std::to_string(static_cast<int>(fault)) +
       (is_for_all ? " for all" : ""));
  for (const std::unique_ptr<Daemon>& daemon : daemons_) {
    if (is_for_all || random_() % 3 == 0) daemon->fault = fault;
  }
}

}  // namespace medlarwinch
