#include "medlarwinch/coordination/packet_path/evacuation.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

BOOST_AUTO_TEST_SUITE(Evacuation)

// Guards against a late message that ends an evacuation, or begins one again.
BOOST_AUTO_TEST_CASE(KnownView_OlderOrUnknownView_IsKept) {
  EvacuationView known = MakeEvacuationView({"d1"}, {2, 10});
  const EvacuationView before = known;
  for (const EvacuationView& other :
       {MakeEvacuationView({}, {2, 9}), MakeEvacuationView({"d2"}, {1, 50}),
        EvacuationView{}}) {
    BOOST_TEST(!MergeEvacuations(known, other));
    BOOST_CHECK(known == before);
  }
}

// Guards against a restored store, which gives out lower revisions, whose
// evacuations are never applied.
BOOST_AUTO_TEST_CASE(KnownView_LaterEraWithLowerNumber_ReplacesIt) {
  EvacuationView known = MakeEvacuationView({"d1"}, {1, 50});
  BOOST_TEST(MergeEvacuations(known, MakeEvacuationView({"d2"}, {2, 3})));
  BOOST_TEST(!IsEvacuated(known, "d1"));
  BOOST_TEST(IsEvacuated(known, "d2"));
}

// Guards against a process that waits for an evacuation although it has learned
// that there is none.
BOOST_AUTO_TEST_CASE(UnknownView_EmptyView_BecomesKnown) {
  EvacuationView known;
  BOOST_TEST(MergeEvacuations(known, MakeEvacuationView({}, {1, 1})));
  BOOST_TEST(known.is_known);
  BOOST_TEST(!IsEvacuated(known, "d1"));
}

// Guards against a view that is too large for a datagram, so that no poll is
// answered.
BOOST_AUTO_TEST_CASE(ManyOrLongNames_View_IsBounded) {
  std::set<std::string> names = {std::string(kMaxFailureDomainBytes + 1, 'a')};
  for (char letter = 'b'; letter <= 'z'; ++letter) {
    names.insert(std::string(1, letter));
  }
  const EvacuationView view = MakeEvacuationView(names, {1, 1});
  BOOST_TEST(view.failure_domains.size() == kMaxEvacuatedDomains);
  BOOST_TEST(view.failure_domains.front() == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
