#include "medlarwinch/protocol/key_ring.h"

#include <sodium.h>
#include <xxhash.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstring>

namespace medlarwinch {
namespace {

constexpr size_t kIdentifierBodyBytes = 13;
constexpr size_t kIdentifierTagBytes =
    kFlowIdentifierBytes - kIdentifierBodyBytes;
constexpr size_t kMaxServiceNameBytes = 128;
constexpr size_t kMaxRingEpochs = 16;
constexpr int kMaxEpoch = 255;

// Derives a SipHash key from the fleet key for the given context and seed.
SipKey DeriveKey(const FleetKey& fleet_key, std::string_view context,
                 const EpochSeed& seed) {
  Bytes input(context.begin(), context.end());
  input.insert(input.end(), seed.begin(), seed.end());
  SipKey key{};
  crypto_generichash(key.data(), key.size(), input.data(), input.size(),
                     fleet_key.data(), fleet_key.size());
  return key;
}

bool DecodeHex(std::string_view hex, uint8_t* out, size_t size) {
  size_t decoded_size = 0;
  const int status = sodium_hex2bin(out, size, hex.data(), hex.size(), nullptr,
                                    &decoded_size, nullptr);
  return status == 0 && decoded_size == size && hex.size() == 2 * size;
}

std::string EncodeHex(ByteView bytes) {
  std::string hex(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
  hex.pop_back();
  return hex;
}

// Computes the authentication tag over the body of a flow identifier and the
// service name.
std::array<uint8_t, kIdentifierTagBytes> ComputeIdentifierTag(
    const SipKey& key, std::string_view service, const uint8_t* body) {
  std::array<uint8_t, kIdentifierBodyBytes + kMaxServiceNameBytes> input{};
  const size_t name_size = std::min(service.size(), kMaxServiceNameBytes);
  std::memcpy(input.data(), body, kIdentifierBodyBytes);
  std::memcpy(input.data() + kIdentifierBodyBytes, service.data(), name_size);
  std::array<uint8_t, crypto_shorthash_siphash24_BYTES> hash{};
  crypto_shorthash_siphash24(hash.data(), input.data(),
                             kIdentifierBodyBytes + name_size, key.data());
  std::array<uint8_t, kIdentifierTagBytes> tag{};
  std::memcpy(tag.data(), hash.data(), tag.size());
  return tag;
}

Result<EpochEntry> ParseEpoch(const YAML::Node& node) {
  const int epoch = node["epoch"].as<int>();
  if (epoch < 0 || epoch > kMaxEpoch) {
    return Error{ErrorCode::kInvalidInput,
                 "key ring: epoch must be between 0 and 255"};
  }
  EpochEntry entry;
  entry.epoch = static_cast<uint8_t>(epoch);
  const std::string seed = node["seed"].as<std::string>();
  if (!DecodeHex(seed, entry.seed.data(), entry.seed.size())) {
    return Error{ErrorCode::kInvalidInput,
                 "key ring: seed must have 32 hexadecimal digits"};
  }
  return entry;
}

bool HasEpoch(const KeyRing& ring, uint8_t epoch) {
  return std::any_of(
      ring.epochs.begin(), ring.epochs.end(),
      [epoch](const EpochEntry& entry) { return entry.epoch == epoch; });
}

Result<KeyRing> ParseKeyRingNode(const YAML::Node& root) {
  KeyRing ring;
  if (root["epochs"].size() > kMaxRingEpochs) {
    return Error{ErrorCode::kLimitExceeded, "key ring: more than 16 epochs"};
  }
  for (const YAML::Node& node : root["epochs"]) {
    Result<EpochEntry> entry = ParseEpoch(node);
    if (!IsOk(entry)) return ErrorOf(entry);
    if (HasEpoch(ring, ValueOf(entry).epoch)) {
      return Error{ErrorCode::kInvalidInput, "key ring: duplicate epoch"};
    }
    ring.epochs.push_back(ValueOf(entry));
  }
  const int current = root["current"].as<int>();
  if (current < 0 || current > kMaxEpoch ||
      !HasEpoch(ring, static_cast<uint8_t>(current))) {
    return Error{ErrorCode::kInvalidInput,
                 "key ring: the current epoch has no entry"};
  }
  ring.current_epoch = static_cast<uint8_t>(current);
  return ring;
}

}  // namespace

Result<FleetKey> ParseFleetKey(std::string_view hex) {
  FleetKey key{};
  if (!DecodeHex(hex, key.data(), key.size())) {
    return Error{ErrorCode::kInvalidInput,
                 "fleet key must have 64 hexadecimal digits"};
  }
  return key;
}

Result<KeyRing> ParseKeyRing(const std::string& text) {
  try {
    return ParseKeyRingNode(YAML::Load(text));
  } catch (const YAML::Exception& exception) {
    return Error{ErrorCode::kInvalidInput,
                 std::string("key ring: ") + exception.what()};
  }
}

std::string FormatKeyRing(const KeyRing& ring) {
  std::string text =
      "current: " + std::to_string(ring.current_epoch) + "\nepochs:\n";
  for (const EpochEntry& entry : ring.epochs) {
    text += "  - {epoch: " + std::to_string(entry.epoch) + ", seed: \"" +
            EncodeHex(entry.seed) + "\"}\n";
  }
  return text;
}

KeyRing RotateKeyRing(const KeyRing& ring, const EpochSeed& seed,
                      size_t max_epochs) {
  KeyRing rotated = ring;
  // Epoch 0 is reserved for identifiers issued before a key ring has been read.
  const int next = ring.current_epoch >= kMaxEpoch ? 1 : ring.current_epoch + 1;
  rotated.current_epoch = static_cast<uint8_t>(next);
  std::erase_if(rotated.epochs, [&](const EpochEntry& entry) {
    return entry.epoch == rotated.current_epoch;
  });
  rotated.epochs.push_back(EpochEntry{rotated.current_epoch, seed});
  while (rotated.epochs.size() > max_epochs) {
    rotated.epochs.erase(rotated.epochs.begin());
  }
  return rotated;
}

KeySet::KeySet(const FleetKey& fleet_key, const KeyRing& ring)
    : current_epoch_(ring.current_epoch),
      mac_key_(DeriveKey(fleet_key, "seal", EpochSeed{})) {
  epoch_keys_[0] = DeriveKey(fleet_key, "flow", EpochSeed{});
  for (const EpochEntry& entry : ring.epochs) {
    if (entry.epoch == 0) continue;
    epoch_keys_[entry.epoch] = DeriveKey(fleet_key, "flow", entry.seed);
  }
}

const SipKey* KeySet::EpochKey(uint8_t epoch) const {
  const std::optional<SipKey>& key = epoch_keys_[epoch];
  return key.has_value() ? &*key : nullptr;
}

void AppendMac(const SipKey& key, Bytes& message) {
  std::array<uint8_t, kMacBytes> tag{};
  crypto_shorthash_siphashx24(tag.data(), message.data(), message.size(),
                              key.data());
  message.insert(message.end(), tag.begin(), tag.end());
}

Result<ByteView> VerifyMac(const SipKey& key, ByteView message_with_mac) {
  if (message_with_mac.size() < kMacBytes) {
    return Error{ErrorCode::kUnauthentic, "message is shorter than its MAC"};
  }
  const ByteView message =
      message_with_mac.first(message_with_mac.size() - kMacBytes);
  std::array<uint8_t, kMacBytes> tag{};
  crypto_shorthash_siphashx24(tag.data(), message.data(), message.size(),
                              key.data());
  if (sodium_memcmp(tag.data(), message_with_mac.data() + message.size(),
                    tag.size()) != 0) {
    return Error{ErrorCode::kUnauthentic, "message MAC does not match"};
  }
  return message;
}

FlowIdentifierBytes IssueFlowIdentifier(const KeySet& keys,
                                        std::string_view service,
                                        FlowIdentifier identifier) {
  const SipKey* key = keys.EpochKey(identifier.key_epoch);
  if (key == nullptr) {
    identifier.key_epoch = 0;
    key = keys.EpochKey(0);
  }
  FlowIdentifierBytes bytes{};
  bytes[0] = identifier.key_epoch;
  for (size_t index = 0; index < 4; ++index) {
    const size_t shift = 24 - 8 * index;
    bytes[1 + index] = static_cast<uint8_t>(identifier.agent.ip >> shift);
    bytes[9 + index] = static_cast<uint8_t>(identifier.flow_number >> shift);
  }
  bytes[5] = static_cast<uint8_t>(identifier.agent.port >> 8);
  bytes[6] = static_cast<uint8_t>(identifier.agent.port);
  bytes[7] = static_cast<uint8_t>(identifier.boot_tag >> 8);
  bytes[8] = static_cast<uint8_t>(identifier.boot_tag);
  const std::array<uint8_t, kIdentifierTagBytes> tag =
      ComputeIdentifierTag(*key, service, bytes.data());
  std::memcpy(bytes.data() + kIdentifierBodyBytes, tag.data(), tag.size());
  return bytes;
}

std::optional<FlowIdentifier> VerifyFlowIdentifier(const KeySet& keys,
                                                   std::string_view service,
                                                   ByteView bytes) {
  if (bytes.size() != kFlowIdentifierBytes) return std::nullopt;
  const SipKey* key = keys.EpochKey(bytes[0]);
  if (key == nullptr) return std::nullopt;
  const std::array<uint8_t, kIdentifierTagBytes> tag =
      ComputeIdentifierTag(*key, service, bytes.data());
  if (sodium_memcmp(tag.data(), bytes.data() + kIdentifierBodyBytes,
                    tag.size()) != 0) {
    return std::nullopt;
  }
  FlowIdentifier identifier;
  identifier.key_epoch = bytes[0];
  for (size_t index = 0; index < 4; ++index) {
    identifier.agent.ip = (identifier.agent.ip << 8) | bytes[1 + index];
    identifier.flow_number = (identifier.flow_number << 8) | bytes[9 + index];
  }
  identifier.agent.port = static_cast<uint16_t>(bytes[5] << 8 | bytes[6]);
  identifier.boot_tag = static_cast<uint16_t>(bytes[7] << 8 | bytes[8]);
  return identifier;
}

uint16_t BootTag(int64_t boot) {
  return static_cast<uint16_t>(XXH64(&boot, sizeof(boot), 0));
}

}  // namespace medlarwinch
