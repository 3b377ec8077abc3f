// Input: method and target of the request on the first line, then its body.
#include "fuzz_input.h"
#include "medlarwinch/platform/upstream_notice.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const auto [line, body] = SplitFirstLine(ToText(data, size));
  const size_t space = line.find(' ');
  HttpRequest request;
  request.method = line.substr(0, space);
  if (space != std::string::npos) request.target = line.substr(space + 1);
  request.body = body;
  const Result<UpstreamNotice> notice = platform::DecodeNotice(request);
  if (!IsOk(notice)) return 0;
  const UpstreamHeartbeat* heartbeat =
      std::get_if<UpstreamHeartbeat>(&ValueOf(notice));
  if (heartbeat == nullptr) {
    Require(!std::get<UpstreamDeregistration>(ValueOf(notice)).id.empty(),
            "a deregistration names an upstream");
    return 0;
  }
  Require(!heartbeat->id.empty() && !heartbeat->service.empty() &&
              heartbeat->address.port != 0,
          "a heartbeat identifies an upstream");
  constexpr uint32_t kMaxSlots = 4'096;
  Require(heartbeat->slots >= 1 && heartbeat->slots <= kMaxSlots,
          "the number of slots is bounded");
  constexpr Millis kMaxColdTime{600'000};
  Require(heartbeat->cold_remaining >= Millis{0} &&
              heartbeat->cold_remaining <= kMaxColdTime,
          "the cold time is bounded");
  return 0;
}
