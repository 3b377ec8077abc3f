#include "medlarwinch/node/held_packet_queue.h"

#include <boost/test/unit_test.hpp>

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

struct QueueOnLoop {
  void Hold(uint16_t port, Millis delay) {
    queue.Hold(FlowTuple{{1, port}, {2, 443}}, MonotonicNow() + delay, {});
  }

  boost::asio::io_context loop;
  std::vector<uint16_t> sent;
  TimePoint last_sent_at;
  HeldPacketQueue queue{loop, [this](const HeldPacket& packet) {
                          sent.push_back(packet.flow.caller.port);
                          last_sent_at = MonotonicNow();
                        }};
};

BOOST_FIXTURE_TEST_SUITE(HeldPacketQueueTest, QueueOnLoop)

// Guards against packets that wait for a later one or are sent early.
BOOST_AUTO_TEST_CASE(EarlierPacketAddedLater_Loop_SendsEachWhenDue) {
  const TimePoint start = MonotonicNow();
  Hold(1, Millis{20});
  Hold(2, Millis{5});
  loop.run();
  BOOST_TEST(sent == (std::vector<uint16_t>{2, 1}),
             boost::test_tools::per_element());
  BOOST_TEST((last_sent_at - start).value >= 20);
}

// Guards against acknowledgements that are lost when the process stops.
BOOST_AUTO_TEST_CASE(HeldPackets_ReleaseAll_AreSentAtOnceExceptDiscarded) {
  for (uint16_t port = 1; port <= 3; ++port) Hold(port, Millis{60'000});
  queue.Discard(FlowTuple{{1, 2}, {2, 443}});
  queue.ReleaseAll();
  BOOST_TEST(sent == (std::vector<uint16_t>{1, 3}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
