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
  /// Addresses to which packets are sent as FabricPacket, one chosen at random
  /// for each packet: a fabric, or balancers when there is no fabric. At least
  /// one is required. Answers are expected as FabricPacket at the socket that
  /// sent the packet.
  std::vector<Endpoint> targets;
  /// Address that the UDP sockets are bound to; port 0 picks free ports.
  Endpoint local{0x7f000001, 0};
  /// Number of UDP sockets, each with one reading thread; flows are spread over
  /// them.
  int sockets = 2;
  /// First IPv4 address of the callers that FabricPacket names. Each flow that
  /// is opened, and each reopening, takes the next (address, port) pair, so two
  /// clients behind one fabric need ranges that do not overlap. One address
  /// serves 60,000 pairs.
  uint32_t first_caller_ip = 0x0a000001;
  /// First time after which an unanswered packet is sent again; it doubles up
  /// to 8 times this value.
  Millis initial_resend_delay{200};
  /// Time without any answer to an Open after which the flow is reopened with
  /// another identifier.
  Millis open_timeout{3'000};
  /// A flow without requests sends a Ping this often; 0 sends none.
  Millis ping_interval{60'000};
  /// Unanswered Pings after which a flow counts as broken.
  uint32_t max_unanswered_pings = 5;
  /// Time added to a request's deadline before the client gives up on it.
  Millis deadline_grace{2'000};
  /// Seed of identifiers and of the choice of targets.
  uint64_t seed = 1;
};

/// Names a flow of one FlowClient; 0 names none.
using FlowHandle = uint64_t;
/// Names a request of one FlowClient; 0 names none.
using FlowRequestHandle = uint64_t;

/// What happened to a flow.
enum class FlowEvent : uint8_t {
  /// An agent accepted the flow; requests sent before wait for this.
  kOpened,
  /// The agent said GoAway: a planned change. The client opens the flow again
  /// elsewhere for new requests, and requests in progress end on the old one.
  kGoAway,
  /// The flow was lost without notice: Reset, or no answer to Pings. The client
  /// opens it again. This is what counts as a broken flow.
  kBroken,
  /// The opening was refused with Reset "shed"; the client tries again after
  /// a pause.
  kShed,
  /// No agent answered within open_timeout; the client tries again.
  kOpenTimedOut,
};

/// How a flow is opened.
struct FlowOptions {
  /// Address of the service.
  Endpoint service_address;
  /// True for a caller that has no identifiers: its own identifier has length
  /// zero and it never uses that of the flow, so that its packets are matched
  /// by its address pair alone.
  bool address_only = false;
  /// Called on a thread of the client, without its locks; may be empty.
  std::function<void(FlowHandle flow, FlowEvent event)> on_event;
};

/// One request of a caller.
struct FlowRequest {
  std::string method = "GET";
  std::string path = "/";
  std::string tenant;
  /// False for a request that may run at most once.
  bool is_idempotent = true;
  /// Required unless the request is repeatable; unique to the request.
  std::string idempotency_key;
  /// Time to answer, from now; 0 uses the service's timeout and waits without
  /// bound, as a feed does.
  Millis deadline{0};
  /// At most kMaxFrameBodyBytes.
  Bytes body;
  /// Attempts in all, the first included. A further attempt follows "not run"
  /// and, for a repeatable request, also "may have run". After
  /// `may_have_run` a request that is not repeatable is never sent again.
  uint32_t max_attempts = 3;
};

/// The end of a request.
struct FlowRequestOutcome {
  Verdict verdict = Verdict::kMayHaveRun;
  /// HTTP status of the last attempt; 0 when none arrived.
  uint16_t status = 0;
  /// Bytes of the response that were delivered, in order and without a gap.
  uint64_t body_bytes = 0;
  uint32_t attempts = 0;
  /// True when the whole response arrived, up to its end.
  bool complete = false;
  /// True when the client itself gave up: Cancel(), the deadline, CloseFlow().
  bool client_aborted = false;
  /// True when the flow broke under the request at least once.
  bool flow_broken = false;
  /// Time from SendRequest() to the first byte and to the end; -1 when there
  /// was none.
  Millis time_to_first_byte{-1};
  Millis total_time{-1};
};

/// What is called about one request, on a thread of the client, without its
/// locks, and never for two events of one request at the same time. Either
/// function may be empty.
struct FlowRequestEvents {
  /// A piece of the response. Pieces arrive in order, without gaps or
  /// repetitions; `offset` counts from 0 again when a repeatable request
  /// is sent again.
  std::function<void(uint64_t offset, ByteView data)> on_part;
  /// The end; called exactly once.
  std::function<void(const FlowRequestOutcome& outcome)> on_end;
};

/// Counts of a client since its start.
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
  /// Datagrams for a flow that the client does not have, such as answers to a
  /// flow that it closed.
  uint64_t datagrams_unknown = 0;
};

/// What a caller of the thin request protocol does, for thousands of flows over
/// a few UDP sockets: opens flows, sends requests until they are answered,
/// acknowledges parts, follows GoAway and Reset by opening the flow again, and
/// adopts the newest identifier of a flow. All functions may be called from any
/// thread, callbacks included, and return at once.
class FlowClient {
 public:
  /// Binds the sockets and starts the threads. Fails with kInvalidInput when
  /// there is no target and with kUnavailable when a socket can't be bound.
  static Result<std::unique_ptr<FlowClient>> Start(
      const FlowClientOptions& options);

  /// Stops the threads; open requests end with `client_aborted`.
  ~FlowClient();
  FlowClient(const FlowClient&) = delete;
  FlowClient& operator=(const FlowClient&) = delete;

  /// Starts to open a flow and returns its handle, which stays valid over
  /// reopenings until CloseFlow().
  FlowHandle OpenFlow(FlowOptions options);

  /// Gives up the flow's requests and forgets the flow. The protocol has no
  /// closing frame: the agent forgets the flow when it has been idle.
  void CloseFlow(FlowHandle flow);

  /// True while the flow is accepted by an agent.
  bool IsOpen(FlowHandle flow) const;

  /// Flow identifier in use; empty while the flow is not open. Its bytes 1 to 6
  /// name the agent (see FlowIdentifier).
  Bytes CurrentIdentifier(FlowHandle flow) const;

  /// Sends a request on the flow, or as soon as it is open. Returns 0, without
  /// any call of `events`, when the flow is unknown, a field is above its
  /// bound, or the key of a request that may not be repeated is missing.
  FlowRequestHandle SendRequest(FlowHandle flow, FlowRequest request,
                                FlowRequestEvents events);

  /// Tells the agent that the response is no longer wanted and ends the request
  /// with `client_aborted`. Without effect when the request has ended.
  void Cancel(FlowRequestHandle request);

  FlowClientCounters counters() const;

 private:
  struct State;
  explicit FlowClient(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace medlarwinch
