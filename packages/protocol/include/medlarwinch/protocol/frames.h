#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/serialization.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// Maximum size of a request body and of the data in one response part, in
/// bytes.
inline constexpr uint32_t kMaxFrameBodyBytes = 1'000;
inline constexpr uint32_t kMaxPathBytes = 256;
inline constexpr uint32_t kMaxMethodBytes = 16;
inline constexpr uint32_t kMaxIdempotencyKeyBytes = 64;

/// Opens a flow. The only frame that a caller sends in a long-header packet.
struct OpenFrame {
  friend bool operator==(const OpenFrame&, const OpenFrame&) = default;
};

/// Accepts a flow. The source identifier of the packet is the flow identifier.
struct OpenAckFrame {
  friend bool operator==(const OpenAckFrame&, const OpenAckFrame&) = default;
};

/// One request. The caller retransmits it until the first response part
/// arrives.
struct RequestFrame {
  /// Unique within the flow.
  uint32_t number = 0;
  std::string method;
  std::string path;
  std::string tenant;
  /// True if the request may be executed more than once.
  bool is_idempotent = true;
  /// Required unless the request is idempotent.
  std::string idempotency_key;
  /// Number of this attempt, starting at 1.
  uint32_t attempt = 1;
  /// Time since the first attempt, in milliseconds.
  uint32_t age_ms = 0;
  /// Flow identifier of the previous attempt. Empty for the first one.
  Bytes earlier_flow;
  /// Highest attempt with the verdict "not run", which means that it and all
  /// attempts before it never run. 0 if there is none. The verdict on a later
  /// attempt depends on whether any attempt in between is still without one.
  uint32_t highest_not_run_attempt = 0;
  /// Time left to respond, in milliseconds. 0 selects the service's timeout.
  uint32_t deadline_ms = 0;
  Bytes body;

  friend bool operator==(const RequestFrame&, const RequestFrame&) = default;
};

/// A segment of a response.
struct ResponsePartFrame {
  uint32_t number = 0;
  /// Offset of `data` in the response body.
  uint64_t offset = 0;
  Bytes data;
  /// True for the last part. `status` and `verdict` are valid only in that
  /// part.
  bool fin = false;
  uint16_t status = 0;
  Verdict verdict = Verdict::kMayHaveRun;

  friend bool operator==(const ResponsePartFrame&,
                         const ResponsePartFrame&) = default;
};

/// Acknowledges all bytes of a response before `offset`, and its end if `fin`
/// is set.
struct ResponseAckFrame {
  uint32_t number = 0;
  uint64_t offset = 0;
  bool fin = false;

  friend bool operator==(const ResponseAckFrame&,
                         const ResponseAckFrame&) = default;
};

/// Cancels a request: the caller no longer needs the response.
struct CancelFrame {
  uint32_t number = 0;

  friend bool operator==(const CancelFrame&, const CancelFrame&) = default;
};

/// The agent accepts no more requests on this flow. Requests in progress
/// complete normally, and the caller opens a new flow for further ones.
struct GoAwayFrame {
  friend bool operator==(const GoAwayFrame&, const GoAwayFrame&) = default;
};

enum class ResetReason : uint8_t {
  kUnknownFlow = 0,
  kOtherBoot = 1,
  kShed = 2,
};

/// The flow is unknown to the agent, or was not accepted.
struct ResetFrame {
  ResetReason reason = ResetReason::kUnknownFlow;

  friend bool operator==(const ResetFrame&, const ResetFrame&) = default;
};

struct PingFrame {
  friend bool operator==(const PingFrame&, const PingFrame&) = default;
};

struct PongFrame {
  friend bool operator==(const PongFrame&, const PongFrame&) = default;
};

/// The payload of a packet of the thin request protocol.
using Frame = std::variant<OpenFrame, OpenAckFrame, RequestFrame,
                           ResponsePartFrame, ResponseAckFrame, CancelFrame,
                           GoAwayFrame, ResetFrame, PingFrame, PongFrame>;

/// Encodes the payload of a packet.
Bytes EncodeFrame(const Frame& frame);

/// Decodes the payload of a packet. Fails with kInvalidInput unless the bytes
/// are exactly one frame.
Result<Frame> DecodeFrame(ByteView bytes);

template <typename Archive>
void serialize(Archive& /*archive*/, OpenFrame& /*frame*/) {}
template <typename Archive>
void serialize(Archive& /*archive*/, OpenAckFrame& /*frame*/) {}
template <typename Archive>
void serialize(Archive& /*archive*/, GoAwayFrame& /*frame*/) {}
template <typename Archive>
void serialize(Archive& /*archive*/, PingFrame& /*frame*/) {}
template <typename Archive>
void serialize(Archive& /*archive*/, PongFrame& /*frame*/) {}

template <typename Archive>
void serialize(Archive& archive, RequestFrame& frame) {
  archive(
      frame.number, Bounded(frame.method, kMaxMethodBytes),
      Bounded(frame.path, kMaxPathBytes), Bounded(frame.tenant, kMaxNameBytes),
      frame.is_idempotent,
      Bounded(frame.idempotency_key, kMaxIdempotencyKeyBytes), frame.attempt,
      frame.age_ms,
      Bounded(frame.earlier_flow, static_cast<uint32_t>(kFlowIdentifierBytes)),
      frame.highest_not_run_attempt, frame.deadline_ms,
      Bounded(frame.body, kMaxFrameBodyBytes));
}

template <typename Archive>
void serialize(Archive& archive, ResponsePartFrame& frame) {
  archive(frame.number, frame.offset, Bounded(frame.data, kMaxFrameBodyBytes),
          frame.fin, frame.status, BoundedEnum(frame.verdict, Verdict::kRan));
}

template <typename Archive>
void serialize(Archive& archive, ResponseAckFrame& frame) {
  archive(frame.number, frame.offset, frame.fin);
}

template <typename Archive>
void serialize(Archive& archive, CancelFrame& frame) {
  archive(frame.number);
}

template <typename Archive>
void serialize(Archive& archive, ResetFrame& frame) {
  archive(BoundedEnum(frame.reason, ResetReason::kShed));
}

}  // namespace medlarwinch
