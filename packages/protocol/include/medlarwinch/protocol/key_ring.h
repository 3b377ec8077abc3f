#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/flow_identifier.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// The secret that the settings of all daemons of a deployment share.
using FleetKey = std::array<uint8_t, 32>;
/// Key of SipHash-2-4.
using SipKey = std::array<uint8_t, 16>;
/// Public input from which an epoch's key is derived with the fleet key.
using EpochSeed = std::array<uint8_t, 16>;

/// Bytes that AppendMac() appends.
inline constexpr size_t kMacBytes = 16;

/// Parses 64 hexadecimal digits. Fails with kInvalidInput.
Result<FleetKey> ParseFleetKey(std::string_view hex);

/// One epoch of the ring.
struct EpochEntry {
  uint8_t epoch = 0;
  EpochSeed seed{};

  friend bool operator==(const EpochEntry&, const EpochEntry&) = default;
};

/// The content of the platform object `keys/ring`: the epoch that new flow
/// identifiers use, and all epochs whose identifiers are still accepted.
struct KeyRing {
  uint8_t current_epoch = 0;
  std::vector<EpochEntry> epochs;

  friend bool operator==(const KeyRing&, const KeyRing&) = default;
};

/// Parses the JSON-compatible YAML text of a key ring. Fails with
/// kInvalidInput when the text is malformed, an epoch stands twice, or the
/// current epoch has no entry.
Result<KeyRing> ParseKeyRing(const std::string& text);

/// Formats a ring so that ParseKeyRing() reads it back.
std::string FormatKeyRing(const KeyRing& ring);

/// Returns a ring with one more epoch, now current, and at most `max_epochs`
/// entries; the oldest entries are dropped. `seed` is random.
KeyRing RotateKeyRing(const KeyRing& ring, const EpochSeed& seed,
                      size_t max_epochs);

/// The keys that a daemon derives from the fleet key and a ring. Epoch 0 is
/// always present and depends on the fleet key alone, so that a daemon works
/// before it has read a ring.
class KeySet {
 public:
  KeySet(const FleetKey& fleet_key, const KeyRing& ring);

  uint8_t current_epoch() const { return current_epoch_; }
  /// Key for messages between daemons.
  const SipKey& mac_key() const { return mac_key_; }
  /// Key of an epoch for flow identifiers; nullptr when it is unknown.
  const SipKey* EpochKey(uint8_t epoch) const;

 private:
  uint8_t current_epoch_ = 0;
  SipKey mac_key_{};
  std::array<std::optional<SipKey>, 256> epoch_keys_;
};

/// Appends an authentication tag over all of `message`.
void AppendMac(const SipKey& key, Bytes& message);

/// Returns the message without its tag. Fails with kUnauthentic when the tag
/// does not match or the message is shorter than a tag.
Result<ByteView> VerifyMac(const SipKey& key, ByteView message_with_mac);

/// Issues the identifier of a flow of `service`. The key of
/// `identifier.key_epoch` must be in `keys`; otherwise epoch 0 is used.
FlowIdentifierBytes IssueFlowIdentifier(const KeySet& keys,
                                        std::string_view service,
                                        FlowIdentifier identifier);

/// Verifies an identifier for `service`. Returns nothing when it has another
/// length, was not issued by this deployment, or was issued for another
/// service. Does not allocate.
std::optional<FlowIdentifier> VerifyFlowIdentifier(const KeySet& keys,
                                                   std::string_view service,
                                                   ByteView bytes);

/// 16-bit hash of a boot time, for FlowIdentifier::boot_tag.
uint16_t BootTag(int64_t boot);

}  // namespace medlarwinch
