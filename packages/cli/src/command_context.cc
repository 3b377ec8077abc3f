#include "medlarwinch/cli/command_context.h"

#include <sodium.h>

namespace medlarwinch {
namespace {

// A single command makes few calls; the rate limit keeps a script that runs
// many commands below the platform's limits.
constexpr double kCallsPerSecond = 20;
constexpr double kMaxCallBurst = 50;
constexpr size_t kOperationIdBytes = 16;

}  // namespace

PlatformClient MakePlatformClient(const CommandContext& context) {
  PlatformClientOptions options;
  options.server = context.platform;
  options.retry_for = context.timeout;
  options.calls_per_second = kCallsPerSecond;
  options.burst = kMaxCallBurst;
  randombytes_buf(&options.seed, sizeof(options.seed));
  return PlatformClient(options);
}

std::string NewOperationId(const CommandContext& context) {
  uint8_t bytes[kOperationIdBytes];
  char hex[2 * kOperationIdBytes + 1];
  randombytes_buf(bytes, sizeof(bytes));
  sodium_bin2hex(hex, sizeof(hex), bytes, sizeof(bytes));
  return "operator/" + context.operator_name + "/" + hex;
}

std::string DocumentKey(const std::string& service) {
  return "config/" + service;
}

}  // namespace medlarwinch
