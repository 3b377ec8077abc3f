#include "medlarwinch/standins/operator_simulator.h"

#include <chrono>
#include <random>
#include <thread>
#include <vector>

#include "medlarwinch/protocol/key_ring.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {
namespace {

constexpr int kMaxWriteAttempts = 60;
constexpr std::chrono::milliseconds kRetryDelay{300};
constexpr size_t kMaxEpochs = 4;

}  // namespace

OperatorSimulator::OperatorSimulator(const Endpoint& platform, EventLog& log,
                                     uint64_t seed)
    : platform_(platform), log_(log), seed_(seed) {}

void OperatorSimulator::SetDocument(const std::string& service,
                                    const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  documents_[service] = text;
}

Result<uint64_t> OperatorSimulator::Apply(const std::string& service) {
  const Result<uint64_t> version =
      Write("config/" + service, RenderDocument(service));
  if (IsOk(version)) {
    log_.Write(
        "config_applied",
        {{"service", service}, {"version", std::to_string(ValueOf(version))}});
  } else {
    log_.Write("config_not_applied",
               {{"service", service}, {"error", ErrorOf(version).message}});
  }
  return version;
}

void OperatorSimulator::SetDraining(const std::string& service,
                                    const Endpoint& upstream,
                                    bool is_draining) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_draining) {
    draining_[service].insert(upstream);
  } else {
    draining_[service].erase(upstream);
  }
}

void OperatorSimulator::ApplyConcurrently(const std::string& service,
                                          int writers) {
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(writers));
  for (int index = 0; index < writers; ++index) {
    threads.emplace_back([this, service] { Apply(service); });
  }
  for (std::thread& thread : threads) thread.join();
}

Result<uint64_t> OperatorSimulator::RotateKeys() {
  const std::string key = "keys/ring";
  PlatformClientOptions options;
  options.server = platform_;
  options.calls_per_second = 100;
  PlatformClient client(options);
  const Result<PlatformObject> object = client.Get(key);
  KeyRing ring;
  ring.epochs.push_back(EpochEntry{0, {}});
  if (IsOk(object)) {
    const Result<KeyRing> parsed = ParseKeyRing(ValueOf(object).value);
    if (!IsOk(parsed)) return ErrorOf(parsed);
    ring = ValueOf(parsed);
  }
  EpochSeed epoch_seed{};
  std::mt19937_64 random(seed_ + next_operation_);
  for (uint8_t& byte : epoch_seed) byte = static_cast<uint8_t>(random());
  const KeyRing rotated = RotateKeyRing(ring, epoch_seed, kMaxEpochs);
  const Result<uint64_t> version = Write(key, FormatKeyRing(rotated));
  log_.Write(IsOk(version) ? "keys_rotated" : "keys_not_rotated", {});
  return version;
}

Result<uint64_t> OperatorSimulator::Write(const std::string& key,
                                          const std::string& value) {
  PlatformClientOptions options;
  options.server = platform_;
  options.timeout = Millis{1'000};
  options.retry_for = Millis{2'000};
  options.calls_per_second = 100;
  options.seed = seed_ + next_operation_++;
  PlatformClient client(options);
  Error last{ErrorCode::kTimeout, "stopped"};
  for (int attempt = 0; attempt < kMaxWriteAttempts && !stopping_; ++attempt) {
    if (attempt > 0) std::this_thread::sleep_for(kRetryDelay);
    const Result<PlatformObject> object = client.Get(key);
    uint64_t version = 0;
    if (IsOk(object)) {
      version = ValueOf(object).version;
    } else if (ErrorOf(object).code != ErrorCode::kNotFound) {
      last = ErrorOf(object);
      continue;
    }
    const std::string operation = "runner-" + std::to_string(seed_) + "-" +
                                  std::to_string(next_operation_++);
    const Result<uint64_t> written = client.Put(key, value, version, operation);
    if (IsOk(written)) return ValueOf(written);
    last = ErrorOf(written);
  }
  return last;
}

std::string OperatorSimulator::RenderDocument(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text = documents_[service];
  const std::set<Endpoint>& draining = draining_[service];
  if (draining.empty()) return text;
  text += "drain:\n  upstreams:\n";
  for (const Endpoint& upstream : draining) {
    text += "    - \"" + ToString(upstream) + "\"\n";
  }
  return text;
}

}  // namespace medlarwinch
