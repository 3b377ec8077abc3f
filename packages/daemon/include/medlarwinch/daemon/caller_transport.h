#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/frames.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// Identifies a request within its agent.
struct CallerRequestId {
  uint32_t flow_number = 0;
  uint32_t request_number = 0;

  friend auto operator<=>(const CallerRequestId&,
                          const CallerRequestId&) = default;
};

/// Receives request events from a transport. The functions are called from
/// within the transport's functions, under the lock of their caller.
class CallerRequestHandler {
 public:
  virtual ~CallerRequestHandler() = default;

  /// Called for a request that has not been seen on its flow before.
  virtual void OnRequest(const CallerRequestId& id, RequestFrame request) = 0;

  /// Called when the caller has cancelled the request or has sent nothing for
  /// too long. The transport has already removed the request.
  virtual void OnCancelled(const CallerRequestId& id) = 0;

  /// Called when the response accepts data again after WriteResponse() returned
  /// false.
  virtual void OnWritable(const CallerRequestId& id) = 0;
};

/// Server side of a protocol towards callers: flows, requests and the reliable
/// delivery of responses. Implemented for the thin request protocol and for
/// HTTP/3 over QUIC. Not thread-safe.
class CallerTransport {
 public:
  virtual ~CallerTransport() = default;

  /// Handles a caller's packet that a balancer or another agent forwarded.
  virtual void OnPacket(ForwardedPacket packet, TimePoint now) = 0;

  /// Begins a response once the upstream has responded with `status`;
  /// WriteResponse() follows. Protocols that send the status with the end of a
  /// response ignore this call.
  virtual void BeginResponse(const CallerRequestId& /*id*/, uint16_t /*status*/,
                             TimePoint /*now*/) {}

  /// Appends to a response and sends what the caller's window allows. Returns
  /// false when the response has reached its limit of unacknowledged bytes;
  /// `data` is accepted in that case too.
  virtual bool WriteResponse(const CallerRequestId& id, ByteView data,
                             TimePoint now) = 0;

  /// Completes a response. The request counts as in progress until the caller
  /// has acknowledged the end of the response.
  virtual void FinishResponse(const CallerRequestId& id, uint16_t status,
                              Verdict verdict, TimePoint now) = 0;

  /// Sends GoAway on all flows, paced, and rejects new requests from then on.
  virtual void StartDrain(TimePoint now) = 0;

  /// Retransmits unacknowledged data and removes idle flows; must be called
  /// every few tens of milliseconds.
  virtual void Tick(TimePoint now) = 0;

  virtual size_t flow_count() const = 0;

  /// Number of responses whose end the caller has not acknowledged.
  virtual size_t unacknowledged_response_count() const = 0;

  /// Returns true when every flow has been notified of the drain and no
  /// response is open.
  virtual bool IsDrained() const = 0;
};

}  // namespace medlarwinch
