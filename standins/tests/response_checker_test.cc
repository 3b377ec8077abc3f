#include "medlarwinch/standins/response_checker.h"

#include <boost/test/unit_test.hpp>

namespace medlarwinch {
namespace {

ByteView ViewOf(const std::string& text) {
  return ByteView(reinterpret_cast<const uint8_t*>(text.data()), text.size());
}

const std::string kIdentity = "service=probe-hub upstream=probe-hub/1 token=t1";

BOOST_AUTO_TEST_SUITE(ResponseCheckerTest)

BOOST_AUTO_TEST_CASE(CompleteReport_InParts_HasNoFault) {
  const std::string body =
      kIdentity + " bytes=5000\n" + PatternBody("t1", 5'000);
  ResponseChecker checker(ResponseKind::kPattern, "probe-hub", "t1", "", 5'000);
  for (size_t offset = 0; offset < body.size(); offset += 700) {
    checker.OnPart(offset, ViewOf(body.substr(offset, 700)));
  }
  BOOST_TEST(checker.fault().empty());
  BOOST_TEST(checker.IsComplete());
  BOOST_TEST(checker.identity()->upstream == "probe-hub/1");
}

// Guards against accepting a truncated download as complete.
BOOST_AUTO_TEST_CASE(TruncatedReport_AtItsEnd_IsNotComplete) {
  const std::string body =
      kIdentity + " bytes=5000\n" + PatternBody("t1", 4'999);
  ResponseChecker checker(ResponseKind::kPattern, "probe-hub", "t1", "", 5'000);
  checker.OnPart(0, ViewOf(body));
  BOOST_TEST(!checker.IsComplete());
}

BOOST_AUTO_TEST_CASE(OneChangedByte_InReport_IsContentFault) {
  std::string body = kIdentity + " bytes=5000\n" + PatternBody("t1", 5'000);
  body[3'000] = body[3'000] == 'a' ? 'b' : 'a';
  ResponseChecker checker(ResponseKind::kPattern, "probe-hub", "t1", "", 5'000);
  checker.OnPart(0, ViewOf(body));
  BOOST_TEST(checker.fault() == "content");
}

BOOST_AUTO_TEST_CASE(OtherService_Responds_IsServiceFault) {
  ResponseChecker checker(ResponseKind::kReceipt, "report-desk", "t1");
  checker.OnPart(0, ViewOf(kIdentity + "\n"));
  BOOST_TEST(checker.fault() == "service");
}

// Guards against accepting a response that belongs to another request.
BOOST_AUTO_TEST_CASE(OtherToken_Received_IsTokenFault) {
  ResponseChecker checker(ResponseKind::kReceipt, "probe-hub", "t2");
  checker.OnPart(0, ViewOf(kIdentity + "\n"));
  BOOST_TEST(checker.fault() == "token");
}

BOOST_AUTO_TEST_CASE(FeedWithMissingLine_Read_IsGap) {
  ResponseChecker checker(ResponseKind::kFeed, "probe-hub", "t1");
  const std::string text = kIdentity + " line=0\n" + kIdentity + " line=2\n";
  checker.OnPart(0, ViewOf(text));
  BOOST_TEST(checker.fault() == "gap");
}

BOOST_AUTO_TEST_CASE(FeedInParts_Read_CountsLines) {
  ResponseChecker checker(ResponseKind::kFeed, "probe-hub", "t1");
  const std::string text = kIdentity + " line=0\n" + kIdentity + " line=1\n";
  checker.OnPart(0, ViewOf(text.substr(0, 60)));
  checker.OnPart(60, ViewOf(text.substr(60)));
  BOOST_TEST(checker.fault().empty());
  BOOST_TEST(checker.lines() == 2U);
}

BOOST_AUTO_TEST_CASE(PartAfterMissingBytes_Read_IsGap) {
  ResponseChecker checker(ResponseKind::kEcho, "probe-hub", "t1", "abcdef");
  checker.OnPart(0, ViewOf(kIdentity + "\n"));
  checker.OnPart(kIdentity.size() + 3, ViewOf("cdef"));
  BOOST_TEST(checker.fault() == "gap");
}

// Guards against reporting the second response to a retried request as a fault.
BOOST_AUTO_TEST_CASE(ResponseRestarts_AtOffsetZero_IsComplete) {
  ResponseChecker checker(ResponseKind::kEcho, "probe-hub", "t1", "abc");
  checker.OnPart(0, ViewOf(kIdentity + "\nab"));
  checker.OnPart(0, ViewOf(kIdentity + "\nabc"));
  BOOST_TEST(checker.fault().empty());
  BOOST_TEST(checker.IsComplete());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
