#include "medlarwinch/coordination/packet_path/arrival_delay.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

struct TickingLoop {
  TickingLoop() { Tick(Millis{0}); }

  void Tick(Millis after) {
    now = now + after;
    RecordLoopTick(ticks, interval, now);
    RecordBacklog(backlog, ticks, drains);
  }

  Millis DelayAfter(Millis after) const {
    return MaxArrivalDelay(ticks, backlog, drains, interval, now + after);
  }

  const Millis interval{100};
  TimePoint now{1'000};
  LoopTicks ticks;
  SocketBacklog backlog;
  // How often the socket was read until it was empty.
  uint64_t drains = 0;
};

BOOST_FIXTURE_TEST_SUITE(ArrivalDelay, TickingLoop)

BOOST_AUTO_TEST_CASE(LoopOnTime_Datagram_HasNotWaited) {
  Tick(interval);
  BOOST_CHECK(DelayAfter(Millis{30}) == Millis{0});
  BOOST_CHECK(DelayAfter(interval) == Millis{0});
}

// Guards against datagrams that are taken for new after the process was
// suspended or busy.
BOOST_AUTO_TEST_CASE(LateLoop_Datagram_MayHaveWaitedSinceLastTick) {
  Tick(interval);
  BOOST_CHECK(DelayAfter(Millis{900}) == Millis{900});
  Tick(Millis{900});
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{920});
  ++drains;
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{0});
  Tick(interval);
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{0});
}

// Guards against datagrams that are taken for new because a tick was on time
// again while the socket still held what had arrived before.
BOOST_AUTO_TEST_CASE(LateLoop_BacklogOutlastsTicks_DatagramMayBeOld) {
  Tick(interval);
  Tick(Millis{900});
  Tick(interval);
  Tick(interval);
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{1'120});
  ++drains;
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{0});
  Tick(Millis{400});
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{420});
}

// Guards against openings that count as late on a loop that is not busy.
BOOST_AUTO_TEST_CASE(TimersSlightlyLate_Datagram_HasNotWaited) {
  Tick(interval);
  Tick(interval + Millis{5});
  BOOST_CHECK(DelayAfter(Millis{20}) == Millis{0});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
