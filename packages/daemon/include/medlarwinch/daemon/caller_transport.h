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

/// Names a request at its agent.
struct CallerRequestId {
  uint32_t flow = 0;
  uint32_t number = 0;

  friend auto operator<=>(const CallerRequestId&,
                          const CallerRequestId&) = default;
};

/// What a transport tells about requests. Calls come from within the functions
/// of the transport, under the lock of their caller.
class CallerRequestHandler {
 public:
  virtual ~CallerRequestHandler() = default;

  /// A request that has not been seen on its flow before.
  virtual void OnRequest(const CallerRequestId& id, RequestFrame request) = 0;

  /// The caller cancelled the request, or was not heard from for too long. The
  /// transport has forgotten it.
  virtual void OnCancelled(const CallerRequestId& id) = 0;

  /// The response can take data again after WriteResponse() returned false.
  virtual void OnWritable(const CallerRequestId& id) = 0;
};

/// Ends a protocol towards callers: flows, requests and the reliable delivery
/// of responses. The thin request protocol implements it; QUIC can take its
/// place. Not thread-safe.
class CallerTransport {
 public:
  virtual ~CallerTransport() = default;

  /// Takes a caller's packet that a balancer or another agent forwarded.
  virtual void OnPacket(ForwardedPacket packet, TimePoint now) = 0;

  /// The upstream has answered with `status`; WriteResponse() follows.
  /// Protocols that send the status with the end of a response ignore it.
  virtual void BeginResponse(const CallerRequestId& /*id*/, uint16_t /*status*/,
                             TimePoint /*now*/) {}

  /// Appends to a response and sends what the caller's window allows. Returns
  /// false when the response holds as many unacknowledged bytes as it may; the
  /// bytes are taken nevertheless.
  virtual bool WriteResponse(const CallerRequestId& id, ByteView data,
                             TimePoint now) = 0;

  /// Ends a response. The request counts as in progress until the caller has
  /// acknowledged the end.
  virtual void FinishResponse(const CallerRequestId& id, uint16_t status,
                              Verdict verdict, TimePoint now) = 0;

  /// Says GoAway on all flows, paced, and takes no more requests.
  virtual void StartDrain(TimePoint now) = 0;

  /// Sends again what was not acknowledged and forgets idle flows; called every
  /// few tens of milliseconds.
  virtual void Tick(TimePoint now) = 0;

  virtual size_t flow_count() const = 0;

  /// Responses whose end the caller has not acknowledged.
  virtual size_t unacknowledged_response_count() const = 0;

  /// True when every flow has been told of the drain and no response is open.
  virtual bool IsDrained() const = 0;
};

}  // namespace medlarwinch
