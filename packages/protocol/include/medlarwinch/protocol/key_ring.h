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

/// Secret that all daemons of a deployment share through their settings.
using FleetKey = std::array<uint8_t, 32>;
/// 128-bit key of SipHash-2-4.
using SipKey = std::array<uint8_t, 16>;
/// Public seed from which the key of an epoch is derived, together with the
/// fleet key.
using EpochSeed = std::array<uint8_t, 16>;

/// Size of the MAC that AppendMac() appends, in bytes.
inline constexpr size_t kMacBytes = 16;

/// Parses 64 hexadecimal digits. Fails with kInvalidInput.
Result<FleetKey> ParseFleetKey(std::string_view hex);

/// One key epoch of the ring.
struct EpochEntry {
  uint8_t epoch = 0;
  EpochSeed seed{};

  friend bool operator==(const EpochEntry&, const EpochEntry&) = default;
};

/// Content of the platform object `keys/ring`: the epoch that authenticates new
/// flow identifiers, and all epochs whose identifiers are still accepted.
struct KeyRing {
  uint8_t current_epoch = 0;
  std::vector<EpochEntry> epochs;

  friend bool operator==(const KeyRing&, const KeyRing&) = default;
};

/// Parses the JSON-compatible YAML text of a key ring. Fails with kInvalidInput
/// if the text is malformed, an epoch occurs twice, or the current epoch has no
/// entry.
Result<KeyRing> ParseKeyRing(const std::string& text);

/// Formats a ring so that ParseKeyRing() reads it back.
std::string FormatKeyRing(const KeyRing& ring);

/// Returns a ring with a new current epoch and at most `max_epochs` entries,
/// dropping the oldest ones. `seed` must be random.
KeyRing RotateKeyRing(const KeyRing& ring, const EpochSeed& seed,
                      size_t max_epochs);

/// Keys derived from the fleet key and a key ring. Epoch 0 always exists and
/// depends only on the fleet key, so that a daemon can work before it has read
/// a ring.
class KeySet {
 public:
  KeySet(const FleetKey& fleet_key, const KeyRing& ring);

  uint8_t current_epoch() const { return current_epoch_; }
  /// Key of the MAC on messages between daemons.
  const SipKey& mac_key() const { return mac_key_; }
  /// Key for the flow identifiers of an epoch, or nullptr if the epoch is
  /// unknown.
  const SipKey* EpochKey(uint8_t epoch) const;

 private:
  uint8_t current_epoch_ = 0;
  SipKey mac_key_{};
  std::array<std::optional<SipKey>, 256> epoch_keys_;
};

/// Appends a message authentication code (MAC) over all of `message`.
void AppendMac(const SipKey& key, Bytes& message);

/// Verifies the MAC and returns the message without it. Fails with kUnauthentic
/// if the MAC does not match or the message is shorter than a MAC.
Result<ByteView> VerifyMac(const SipKey& key, ByteView message_with_mac);

/// Issues the identifier of a flow of `service`, authenticated with the key of
/// `identifier.key_epoch`, or of epoch 0 if `keys` lacks that epoch.
FlowIdentifierBytes IssueFlowIdentifier(const KeySet& keys,
                                        std::string_view service,
                                        FlowIdentifier identifier);

/// Verifies an identifier for `service`. Returns std::nullopt if its length is
/// wrong, or if it was not issued by this deployment for this service. Does not
/// allocate.
std::optional<FlowIdentifier> VerifyFlowIdentifier(const KeySet& keys,
                                                   std::string_view service,
                                                   ByteView bytes);

/// 16-bit hash of a boot time, for FlowIdentifier::boot_tag.
uint16_t BootTag(int64_t boot);

}  // namespace medlarwinch
