#include "medlarwinch/protocol/key_ring.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace medlarwinch {
namespace {

struct KeySetWithTwoEpochs {
  FleetKey fleet_key{1, 2, 3};
  KeyRing ring{2, {EpochEntry{1, {7}}, EpochEntry{2, {9}}}};
  KeySet keys{fleet_key, ring};
  FlowIdentifier identifier{2, Endpoint{0x7f000105, 7200}, 0xbeef, 77};
};

BOOST_FIXTURE_TEST_SUITE(FlowIdentifierCodec, KeySetWithTwoEpochs)

BOOST_AUTO_TEST_CASE(IssuedIdentifier_Verified_IsUnchanged) {
  const FlowIdentifierBytes bytes =
      IssueFlowIdentifier(keys, "probe-hub", identifier);
  const std::optional<FlowIdentifier> verified =
      VerifyFlowIdentifier(keys, "probe-hub", bytes);
  BOOST_REQUIRE(verified.has_value());
  BOOST_CHECK(*verified == identifier);
}

// Guards against accepting an identifier that was issued for another service.
BOOST_AUTO_TEST_CASE(IdentifierOfOtherService_Verified_IsRejected) {
  const FlowIdentifierBytes bytes =
      IssueFlowIdentifier(keys, "probe-hub", identifier);
  BOOST_CHECK(!VerifyFlowIdentifier(keys, "report-desk", bytes).has_value());
}

// Guards against bits of an identifier that the authentication tag does not
// cover.
BOOST_AUTO_TEST_CASE(IdentifierWithOneBitChanged_Verified_IsRejected) {
  const FlowIdentifierBytes bytes =
      IssueFlowIdentifier(keys, "probe-hub", identifier);
  for (size_t bit = 0; bit < kFlowIdentifierBytes * 8; ++bit) {
    FlowIdentifierBytes changed = bytes;
    changed[bit / 8] ^= static_cast<uint8_t>(1U << (bit % 8));
    BOOST_CHECK(!VerifyFlowIdentifier(keys, "probe-hub", changed).has_value());
  }
}

// Guards against a key rotation that invalidates established flows.
BOOST_AUTO_TEST_CASE(IdentifierOfEarlierEpoch_RingRotated_IsAccepted) {
  const FlowIdentifierBytes bytes =
      IssueFlowIdentifier(keys, "probe-hub", identifier);
  const KeyRing rotated = RotateKeyRing(ring, EpochSeed{42}, 8);
  BOOST_TEST(rotated.current_epoch == 3);
  const KeySet rotated_keys(fleet_key, rotated);
  BOOST_CHECK(
      VerifyFlowIdentifier(rotated_keys, "probe-hub", bytes).has_value());
}

BOOST_AUTO_TEST_CASE(KeyRing_FormattedAndParsed_IsUnchanged) {
  const Result<KeyRing> parsed = ParseKeyRing(FormatKeyRing(ring));
  BOOST_REQUIRE(IsOk(parsed));
  BOOST_CHECK(ValueOf(parsed) == ring);
  BOOST_CHECK(!IsOk(ParseKeyRing("current: 9\nepochs: []\n")));
  BOOST_CHECK(!IsOk(ParseKeyRing("{")));
}

BOOST_AUTO_TEST_CASE(AuthenticatedMessage_Changed_IsUnauthentic) {
  Bytes message{1, 2, 3};
  AppendMac(keys.mac_key(), message);
  BOOST_CHECK(IsOk(VerifyMac(keys.mac_key(), message)));
  message[1] ^= 1;
  BOOST_CHECK(!IsOk(VerifyMac(keys.mac_key(), message)));
  BOOST_CHECK(!IsOk(VerifyMac(keys.mac_key(), Bytes{1, 2})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
