#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "medlarwinch/protocol/data_messages.h"
#include "medlarwinch/protocol/frames.h"
#include "medlarwinch/protocol/packet_header.h"
#include "medlarwinch/transport/flow_client.h"
#include "medlarwinch/transport/udp_socket.h"

namespace medlarwinch {

/// The flows of a FlowClient that share one socket.
class FlowShard {
 public:
  /// Handles equal `index` modulo `shard_count`. `next_caller_index` is shared
  /// by all shards.
  FlowShard(const FlowClientOptions& options, size_t index, size_t shard_count,
            std::unique_ptr<UdpSocket> socket,
            std::atomic<uint64_t>& next_caller_index);

  void Start();

  /// Stops the socket and aborts all requests.
  void Stop();

  FlowHandle OpenFlow(FlowOptions options);
  void CloseFlow(FlowHandle handle);
  bool IsOpen(FlowHandle handle);
  Bytes CurrentIdentifier(FlowHandle handle);
  FlowRequestHandle SendRequest(FlowHandle handle, FlowRequest request,
                                FlowRequestEvents events);
  void Cancel(FlowRequestHandle handle);

  /// Runs the timers that have expired.
  void Tick(TimePoint now);

  void AddCountersTo(FlowClientCounters& sum);

 private:
  /// Caller address and port of a session.
  using SessionKey = uint64_t;

  /// One instance of a flow, opened at one agent.
  struct Session {
    FlowHandle flow = 0;
    Endpoint caller;
    Bytes caller_identifier;
    /// Flow identifier issued by the agent. Empty until the flow is open.
    Bytes identifier;
    bool received_go_away = false;
    TimePoint opened;
    TimePoint last_received;
    Millis backoff;
    /// Time of the next retransmission of the Open, or of the next Ping.
    TimePoint due;
    /// Due time of the valid entry in `timers_`. Entries with another time are
    /// stale.
    int64_t timer_due = INT64_MAX;
    uint32_t pings_unanswered = 0;
    uint32_t next_number = 1;
    /// Requests in progress by request number.
    std::map<uint32_t, FlowRequestHandle> requests;
  };

  struct Flow {
    FlowOptions options;
    /// The session for new requests. 0 while there is none.
    SessionKey current_session = 0;
    /// Sessions that received GoAway and still have requests in progress.
    std::set<SessionKey> draining_sessions;
    /// Requests that wait for the flow to open.
    std::set<FlowRequestHandle> pending_requests;
    uint32_t consecutive_sheds = 0;
    /// Time at which the flow is reopened. Valid while `current_session` is 0.
    TimePoint reopen_at;
    int64_t timer_due = INT64_MAX;
  };

  struct Request {
    FlowHandle flow = 0;
    FlowRequest request;
    FlowRequestEvents events;
    FlowRequestOutcome outcome;
    TimePoint created;
    TimePoint first_sent{-1};
    /// Session of the current attempt. 0 while the request is pending.
    SessionKey session = 0;
    uint32_t number = 0;
    bool response_started = false;
    bool may_have_run = false;
    /// See RequestFrame::highest_not_run_attempt.
    uint32_t highest_not_run_attempt = 0;
    /// True if the last attempt was lost without a verdict.
    bool is_verdict_unknown = false;
    Bytes earlier_flow;
    Millis backoff;
    /// Time of the next transmission or retry.
    TimePoint due;
    int64_t timer_due = INT64_MAX;
    uint64_t next_offset = 0;
    std::map<uint64_t, Bytes> out_of_order_parts;
    bool fin_received = false;
    uint64_t fin_offset = 0;
    uint16_t status = 0;
    Verdict verdict = Verdict::kMayHaveRun;
  };

  enum class TimerKind : uint8_t { kSession, kFlow, kRequest };
  struct Timer {
    int64_t due;
    TimerKind kind;
    uint64_t id;
    auto operator<=>(const Timer&) const = default;
  };

  void OnDatagram(ByteView datagram);
  void OnFrame(SessionKey key, Session& session, const PacketHeader& header,
               const Frame& frame, TimePoint now);
  void OnOpenAck(SessionKey key, Session& session, const PacketHeader& header,
                 TimePoint now);
  void OnPart(SessionKey key, Session& session, const ResponsePartFrame& part,
              TimePoint now);
  void OnGoAway(SessionKey key, Session& session, TimePoint now);
  void OnReset(SessionKey key, Session& session, const PacketHeader& header,
               const ResetFrame& reset, TimePoint now);
  bool IsFromOwner(const Session& session, const PacketHeader& header) const;

  void StartSession(FlowHandle handle, TimePoint now);
  void FailSession(SessionKey key, TimePoint now);
  void RemoveSession(SessionKey key);
  void RemoveSessionIfDone(SessionKey key);
  void SendOpen(Session& session, TimePoint now);
  void SendPendingRequests(FlowHandle handle, TimePoint now);
  void SendAttempt(FlowRequestHandle handle, Request& request, SessionKey key,
                   TimePoint now);
  void SendRequestFrame(Request& request, const Session& session,
                        TimePoint now);
  void SendFrame(const Session& session, const Frame& frame);
  void SendPacket(const Session& session, Bytes packet);

  void DeliverInOrder(FlowRequestHandle handle, Request& request,
                      const ResponsePartFrame& part, TimePoint now);
  void OnVerdict(FlowRequestHandle handle, TimePoint now);
  void RetryLostAttempt(FlowRequestHandle handle, TimePoint now);
  void ScheduleRetry(FlowRequestHandle handle, Request& request, TimePoint now);
  void EndRequest(FlowRequestHandle handle, Verdict verdict, bool complete,
                  bool client_aborted, TimePoint now);
  void AbortRequest(FlowRequestHandle handle, TimePoint now);

  void OnSessionTimer(SessionKey key, TimePoint now);
  void OnFlowTimer(FlowHandle handle, TimePoint now);
  void OnRequestTimer(FlowRequestHandle handle, TimePoint now);
  /// Sets the timer of a session, flow or request to `due`, unless it expires
  /// earlier.
  void Schedule(TimerKind kind, uint64_t id, TimePoint due);
  void ScheduleRequest(FlowRequestHandle handle, const Request& request);
  int64_t* TimerDueOf(TimerKind kind, uint64_t id);

  void Notify(FlowHandle handle, FlowEvent event);
  /// Runs the queued callbacks in order, on one thread at a time and without
  /// the lock held.
  void RunCallbacks();
  static SessionKey SessionKeyOf(const Endpoint& caller);
  uint64_t NextHandle();
  Bytes RandomBytes(size_t size);
  Flow* FindFlow(FlowHandle handle);
  Session* FindSession(SessionKey key);

  const FlowClientOptions& options_;
  size_t shard_count_;
  std::unique_ptr<UdpSocket> socket_;
  std::atomic<uint64_t>& next_caller_index_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  uint64_t next_handle_;
  std::unordered_map<FlowHandle, Flow> flows_;
  std::unordered_map<SessionKey, Session> sessions_;
  std::unordered_map<FlowRequestHandle, Request> requests_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::deque<std::function<void()>> callbacks_;
  bool is_running_callbacks_ = false;
  FlowClientCounters counters_;
};

}  // namespace medlarwinch
