#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/state/verdict.h"

namespace medlarwinch {

/// Settings of a FlowClient.
struct FlowClientOptions {
  /// Addresses that packets are sent to as FabricPacket: the fabric, or
  /// balancers if there is no fabric. A random one is chosen for each packet.
  /// At least one is required. Replies are expected as FabricPacket at the
  /// sending socket.
  std::vector<Endpoint> targets;
  /// Local address of the UDP sockets. Port 0 selects free ports.
  Endpoint local{0x7f000001, 0};
  /// Number of UDP sockets, each with one receiving thread. Flows are
  /// distributed over them.
  int socket_count = 2;
  /// First IPv4 address that is used as FabricPacket::caller. Each opening or
  /// reopening of a flow takes the next (address, port) pair, so clients behind
  /// one fabric need disjoint ranges. Each address provides 60,000 pairs.
  uint32_t first_caller_ip = 0x0a000001;
  /// Initial delay before an unacknowledged packet is retransmitted. It doubles
  /// up to 8 times this value.
  Millis initial_resend_delay{200};
  /// Time without a reply to an Open after which the flow is reopened with a
  /// new identifier.
  Millis open_timeout{3'000};
  /// Interval of Pings on a flow without requests. 0 disables them.
  Millis ping_interval{60'000};
  /// Number of consecutive unanswered Pings after which a flow is considered
  /// broken.
  uint32_t max_unanswered_pings = 5;
  /// Time after the deadline of a request before the client aborts it.
  Millis deadline_grace{2'000};
  /// Seed of the random identifiers and of the choice of targets.
  uint64_t seed = 1;
};

/// Identifies a flow of one FlowClient. 0 is never valid.
using FlowHandle = uint64_t;
/// Identifies a request of one FlowClient. 0 is never valid.
using FlowRequestHandle = uint64_t;

/// A change in the state of a flow.
enum class FlowEvent : uint8_t {
  /// An agent accepted the flow. Requests submitted earlier are sent now.
  kOpened,
  /// The agent sent GoAway, a planned change. The client reopens the flow at
  /// another agent for new requests, while those in progress complete at the
  /// old one.
  kGoAway,
  /// The flow was lost unexpectedly, through a Reset or unanswered Pings. The
  /// client reopens it. Only this event counts as a broken flow.
  kBroken,
  /// The flow was rejected with a Reset with reason kShed. The client retries
  /// after a backoff.
  kShed,
  /// No agent replied within open_timeout. The client retries.
  kOpenTimedOut,
};

/// Options of one flow.
struct FlowOptions {
  /// Address of the service that the flow is opened to.
  Endpoint service_address;
  /// True for a caller without connection identifiers. Its own identifier is
  /// empty and it never sends that of the flow, so its packets are matched only
  /// by the addresses of the caller and the service.
  bool address_only = false;
  /// Called on a thread of the client, without locks held. Optional.
  std::function<void(FlowHandle flow, FlowEvent event)> on_event;
};

/// A request that is sent on a flow.
struct FlowRequest {
  std::string method = "GET";
  std::string path = "/";
  std::string tenant;
  /// False for a request that must be executed at most once.
  bool is_idempotent = true;
  /// Unique to the request. Required unless the request is idempotent.
  std::string idempotency_key;
  /// Time until a response is required. 0 uses the service's timeout, and the
  /// client waits indefinitely, as needed for a feed.
  Millis deadline{0};
  /// At most kMaxFrameBodyBytes bytes.
  Bytes body;
  /// Maximum number of attempts, including the first. A request is retried
  /// after the verdict "not run" and, if it is idempotent, also after "may have
  /// run". A request that is not idempotent is never retried after
  /// "may have run".
  uint32_t max_attempts = 3;
};

/// The result of a request.
struct FlowRequestOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  /// HTTP status of the last attempt. 0 if none was received.
  uint16_t status = 0;
  /// Number of response bytes delivered in order.
  uint64_t body_bytes = 0;
  uint32_t attempts = 0;
  /// True if the complete response was received.
  bool complete = false;
  /// True if the client aborted the request: Cancel(), CloseFlow(), the
  /// deadline, or the destructor.
  bool client_aborted = false;
  /// True if the flow broke at least once while the request was in progress.
  bool flow_broken = false;
  /// Time from SendRequest() to the first byte and to the end. -1 if there was
  /// none.
  Millis time_to_first_byte{-1};
  Millis total_time{-1};
};

/// Event handlers of one request. They are called on a thread of the client
/// without locks held, and never concurrently for one request. Both are
/// optional.
struct FlowRequestEvents {
  /// Called with the response data in order, without gaps or duplicates.
  /// `offset` restarts at 0 if an idempotent request is retried.
  std::function<void(uint64_t offset, ByteView data)> on_part;
  /// Called exactly once, at the end of the request.
  std::function<void(const FlowRequestOutcome& outcome)> on_end;
};

/// Counters of a client since its start.
struct FlowClientCounters {
  uint64_t flows_opened = 0;
  uint64_t flows_reopened_after_go_away = 0;
  uint64_t flows_broken = 0;
  uint64_t flows_shed = 0;
  uint64_t open_timeouts = 0;
  uint64_t requests_sent = 0;
  uint64_t requests_resent = 0;
  uint64_t retries = 0;
  uint64_t parts_received = 0;
  uint64_t duplicate_parts = 0;
  uint64_t datagrams_malformed = 0;
  /// Datagrams for a flow that the client does not know, for example a flow
  /// that it has closed.
  uint64_t datagrams_unknown = 0;
};

/// Client of the thin request protocol that multiplexes thousands of flows over
/// a few UDP sockets. It opens flows, retransmits requests, acknowledges
/// response parts, reopens flows after GoAway and Reset, and adopts the newest
/// identifier of a flow. All functions are thread-safe, may be called from
/// callbacks, and do not block.
class FlowClient {
 public:
  /// Binds the sockets and starts the threads. Fails with kInvalidInput without
  /// a target or socket, and with kUnavailable if a socket can't be bound.
  static Result<std::unique_ptr<FlowClient>> Start(
      const FlowClientOptions& options);

  /// Stops the threads. Requests in progress end with `client_aborted`.
  ~FlowClient();
  FlowClient(const FlowClient&) = delete;
  FlowClient& operator=(const FlowClient&) = delete;

  /// Starts to open a flow and returns its handle, which stays valid across
  /// reopenings until CloseFlow().
  FlowHandle OpenFlow(FlowOptions options);

  /// Aborts the requests of the flow and removes it. The protocol has no close
  /// frame: the agent removes the flow after its idle timeout.
  void CloseFlow(FlowHandle flow);

  /// True while the flow is open at an agent.
  bool IsOpen(FlowHandle flow) const;

  /// Current flow identifier, or empty while the flow is not open. Bytes 1 to 6
  /// encode the address of the agent, see FlowIdentifier.
  Bytes CurrentIdentifier(FlowHandle flow) const;

  /// Sends a request on the flow, or queues it until the flow is open. Returns
  /// 0 and never calls `events` if the flow is unknown, a field exceeds its
  /// bound, or a request that is not idempotent has no idempotency key.
  FlowRequestHandle SendRequest(FlowHandle flow, FlowRequest request,
                                FlowRequestEvents events);

  /// Notifies the agent and ends the request with `client_aborted`. No effect
  /// if the request has already ended.
  void Cancel(FlowRequestHandle request);

  FlowClientCounters counters() const;

 private:
  struct State;
  explicit FlowClient(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
