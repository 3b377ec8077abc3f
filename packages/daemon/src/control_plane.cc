#include "medlarwinch/daemon/control_plane.h"

#include <sodium.h>

#include <array>
#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "medlarwinch/daemon/control_loop.h"
#include "medlarwinch/protocol/control_messages.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/platform_client.h"
#include "medlarwinch/transport/system_clock.h"
#include "medlarwinch/transport/tcp_exchange.h"
#include "medlarwinch/transport/udp_socket.h"
#include "own_member.h"

namespace medlarwinch {
namespace control_plane {

struct Datagram {
  Endpoint from;
  ControlMessage message;
};
struct Tick {};
struct Publish {};
struct EnterPhase {
  MemberPhase phase;
};
struct Fetch {
  OutgoingFetch fetch;
};
struct FetchResult {
  Endpoint from;
  std::optional<FetchReply> reply;
};

}  // namespace control_plane
}  // namespace medlarwinch

// The messages stay within the process; CAF never serializes them.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::control_plane::Datagram)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::control_plane::Tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::control_plane::Publish)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::control_plane::EnterPhase)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::control_plane::Fetch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::control_plane::FetchResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::PlatformJob)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(medlarwinch::PlatformJobResult)

namespace medlarwinch {
namespace {

using control_plane::Datagram;
using control_plane::EnterPhase;
using control_plane::Fetch;
using control_plane::FetchResult;
using control_plane::Publish;
using control_plane::Tick;

// A fetch from a daemon that is down delays the next fetch by this time.
constexpr Millis kExchangeTimeout{1'000};
constexpr size_t kFetchWorkers = 2;
// Limit of datagrams queued for the control actor. Further ones are dropped;
// their senders retransmit them.
constexpr int kMaxQueuedDatagrams = 4'096;
constexpr Millis kPlatformRetryTime{500};

const char* MessageName(const ControlMessage& message) {
  constexpr std::array<const char*, 6> kNames = {
      "heartbeat",       "heartbeat_ack", "suspicion_query",
      "suspicion_reply", "delta",         "digest"};
  return kNames.at(message.index());
}

// Executes fetches from other daemons, one at a time.
caf::behavior FetchWorker(caf::event_based_actor* self, const SipKey& key,
                          const caf::actor& control) {
  return {[self, key, control](const Fetch& job) {
    const Endpoint to = job.fetch.to;
    FetchResult fetch_result{to, std::nullopt};
    const Result<Bytes> bytes = ExchangeOverTcp(
        to, EncodeFetchRequest(key, job.fetch.request), kExchangeTimeout);
    if (IsOk(bytes)) {
      const Result<FetchReply> reply = DecodeFetchReply(key, ValueOf(bytes));
      if (IsOk(reply)) fetch_result.reply = ValueOf(reply);
    }
    self->send(control, std::move(fetch_result));
  }};
}

// State of a worker that makes blocking calls to the platform.
struct PlatformWorkerState {
  std::unique_ptr<PlatformClient> client;
};

caf::behavior PlatformWorker(caf::stateful_actor<PlatformWorkerState>* self,
                             const PlatformClientOptions& options,
                             const caf::actor& control) {
  self->state.client = std::make_unique<PlatformClient>(options);
  return {[self, control](const PlatformJob& job) {
    self->send(control, RunPlatformJob(*self->state.client, job));
  }};
}

std::chrono::milliseconds ToChrono(Millis span) {
  return std::chrono::milliseconds(span.value);
}

struct ControlActorState {
  std::unique_ptr<ControlLoop> loop;
  bool publish_is_pending = false;
};

using ControlActor = caf::stateful_actor<ControlActorState>;

void PublishOrSchedule(ControlActor* self) {
  const std::optional<Millis> wait =
      self->state.loop->PublishIfDue(MonotonicNow());
  if (!wait.has_value() || self->state.publish_is_pending) return;
  self->state.publish_is_pending = true;
  self->delayed_send(self, ToChrono(*wait), Publish{});
}

}  // namespace

struct ControlPlane::State {
  State(caf::actor_system& actor_system, const Settings& daemon_settings,
        MemberKind member_kind, ControlPlaneHooks control_hooks,
        Metrics& daemon_metrics)
      : system(actor_system),
        settings(daemon_settings),
        kind(member_kind),
        hooks(std::move(control_hooks)),
        metrics(daemon_metrics),
        mac_key(KeySet(daemon_settings.fleet_key, KeyRing{}).mac_key()) {}

  void Send(const Endpoint& to, const ControlMessage& message) {
    const Bytes bytes = EncodeControlMessage(mac_key, message);
    const bool sent = socket->Send(to, bytes);
    const MetricLabels labels = {{"type", MessageName(message)}};
    metrics.Add(sent ? "medlarwinch_control_sent_total"
                     : "medlarwinch_control_send_failures_total",
                labels);
    metrics.Add("medlarwinch_control_sent_bytes_total", labels,
                static_cast<double>(bytes.size()));
  }

  void Receive(const Endpoint& from, ByteView bytes) {
    if (queued_datagrams.load() >= kMaxQueuedDatagrams) {
      metrics.Add("medlarwinch_control_dropped_total", {{"cause", "overload"}});
      return;
    }
    Result<ControlMessage> message = DecodeControlMessage(mac_key, bytes);
    if (!IsOk(message)) {
      metrics.Add("medlarwinch_control_dropped_total",
                  {{"cause", ErrorCodeName(ErrorOf(message).code)}});
      return;
    }
    metrics.Add("medlarwinch_control_received_bytes_total",
                {{"type", MessageName(ValueOf(message))}},
                static_cast<double>(bytes.size()));
    ++queued_datagrams;
    caf::anon_send(control, Datagram{from, TakeValue(std::move(message))});
  }

  Bytes HandleFetch(ByteView bytes) {
    const Result<FetchRequest> request = DecodeFetchRequest(mac_key, bytes);
    if (!IsOk(request)) return {};
    return EncodeFetchReply(mac_key,
                            MakeFetchReply(Snapshot(), ValueOf(request)));
  }

  FetchSnapshot Snapshot() const {
    const std::lock_guard<std::mutex> lock(mutex);
    return snapshot;
  }

  void Publish(FetchSnapshot next) {
    const std::shared_ptr<const ControlView> view = next.view;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      snapshot = std::move(next);
    }
    if (hooks.on_view) hooks.on_view(view);
  }

  caf::actor SpawnPlatformWorker(const caf::actor& receiver, uint64_t seed);
  ControlLoopOutputs MakeOutputs();
  void StartActors();

  caf::actor_system& system;
  const Settings settings;
  const MemberKind kind;
  const ControlPlaneHooks hooks;
  Metrics& metrics;
  const SipKey mac_key;
  mutable std::mutex mutex;
  FetchSnapshot snapshot;
  std::atomic<int> queued_datagrams{0};
  MemberEntry self;
  std::unique_ptr<UdpSocket> socket;
  std::unique_ptr<TcpExchangeServer> server;
  caf::actor control;
  // Assigned before the control actor handles its first event.
  std::array<caf::actor, kFetchWorkers> fetchers;
  caf::actor platform_worker;
  caf::actor platform_watcher;
  size_t next_fetcher = 0;
};

namespace {

// Behavior of the actor that owns the control loop; `queued_datagrams` counts
// the datagrams in its mailbox.
caf::behavior RunControlActor(
    ControlActor* self, std::shared_ptr<std::unique_ptr<ControlLoop>> loop,
    std::atomic<int>* queued_datagrams) {
  self->state.loop = std::move(*loop);
  return {[self, queued_datagrams](const Datagram& datagram) {
            --*queued_datagrams;
            self->state.loop->OnMessage(datagram.from, datagram.message,
                                        MonotonicNow());
            PublishOrSchedule(self);
          },
          [self](Tick) {
            self->delayed_send(self, ToChrono(kControlTickInterval), Tick{});
            self->state.loop->OnTick(MonotonicNow());
            PublishOrSchedule(self);
          },
          [self](const FetchResult& fetch_result) {
            self->state.loop->OnFetchReply(fetch_result.from,
                                           fetch_result.reply, MonotonicNow());
            PublishOrSchedule(self);
          },
          [self](const PlatformJobResult& result) {
            self->state.loop->OnPlatformResult(result, MonotonicNow());
            PublishOrSchedule(self);
          },
          [self](EnterPhase event) {
            self->state.loop->OnPhaseChange(event.phase, MonotonicNow());
            PublishOrSchedule(self);
          },
          [self](Publish) {
            self->state.publish_is_pending = false;
            PublishOrSchedule(self);
          }};
}

}  // namespace

caf::actor ControlPlane::State::SpawnPlatformWorker(const caf::actor& receiver,
                                                    uint64_t seed) {
  PlatformClientOptions options;
  options.server = settings.platform;
  options.retry_for = kPlatformRetryTime;
  // The two workers share the daemon's call limit.
  options.calls_per_second = settings.platform_calls_per_second / 2;
  options.seed = seed;
  return system.spawn<caf::detached>(PlatformWorker, options, receiver);
}

ControlLoopOutputs ControlPlane::State::MakeOutputs() {
  ControlLoopOutputs outputs;
  outputs.send = [this](const Endpoint& to, const ControlMessage& message) {
    Send(to, message);
  };
  outputs.fetch = [this](OutgoingFetch fetch) {
    caf::anon_send(fetchers[next_fetcher++ % kFetchWorkers],
                   Fetch{std::move(fetch)});
  };
  outputs.platform = [this](PlatformJob job) {
    const bool is_watch = job.kind == PlatformJobKind::kWatch;
    caf::anon_send(is_watch ? platform_watcher : platform_worker,
                   std::move(job));
  };
  outputs.publish = [this](FetchSnapshot next) { Publish(std::move(next)); };
  return outputs;
}

void ControlPlane::State::StartActors() {
  uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  const TimePoint now = MonotonicNow();
  std::unique_ptr<ControlLoop> loop =
      kind == MemberKind::kBalancer
          ? MakeBalancerLoop(self, settings, hooks, MakeOutputs(), metrics,
                             seed, now)
          : MakeAgentLoop(self, settings, hooks, MakeOutputs(), metrics, seed);
  // The first view must exist before Start() returns.
  loop->PublishIfDue(now);
  control = system.spawn(
      RunControlActor,
      std::make_shared<std::unique_ptr<ControlLoop>>(std::move(loop)),
      &queued_datagrams);
  for (caf::actor& fetcher : fetchers) {
    fetcher = system.spawn<caf::detached>(FetchWorker, mac_key, control);
  }
  platform_worker = SpawnPlatformWorker(control, seed + 1);
  if (kind == MemberKind::kBalancer) {
    platform_watcher = SpawnPlatformWorker(control, seed + 2);
  }
  caf::anon_send(control, Tick{});
}

Result<std::unique_ptr<ControlPlane>> ControlPlane::Start(
    caf::actor_system& system, const Settings& settings, MemberKind kind,
    ControlPlaneHooks hooks, Metrics& metrics) {
  if (sodium_init() < 0) {
    return Error{ErrorCode::kInternal, "cannot initialize libsodium"};
  }
  std::unique_ptr<State> state = std::make_unique<State>(
      system, settings, kind, std::move(hooks), metrics);
  Result<std::unique_ptr<UdpSocket>> socket = UdpSocket::Bind(settings.control);
  if (!IsOk(socket)) return ErrorOf(socket);
  state->socket = TakeValue(std::move(socket));
  const Endpoint local = state->socket->local();
  state->self = MakeOwnMemberEntry(settings, kind, local);
  State* running = state.get();
  if (kind == MemberKind::kBalancer) {
    Result<std::unique_ptr<TcpExchangeServer>> server =
        TcpExchangeServer::Listen(local, kExchangeTimeout,
                                  [running](ByteView request) {
                                    return running->HandleFetch(request);
                                  });
    if (!IsOk(server)) return ErrorOf(server);
    state->server = TakeValue(std::move(server));
  }
  state->StartActors();
  state->socket->Start([running](const Endpoint& from, ByteView bytes) {
    running->Receive(from, bytes);
  });
  return std::unique_ptr<ControlPlane>(new ControlPlane(std::move(state)));
}

ControlPlane::ControlPlane(std::unique_ptr<State> state)
    : state_(std::move(state)) {}

ControlPlane::~ControlPlane() {
  state_->socket->Stop();
  state_->server.reset();
  caf::scoped_actor waiter(state_->system);
  caf::anon_send_exit(state_->control, caf::exit_reason::user_shutdown);
  waiter->wait_for(state_->control);
  // The workers keep no reference to this object. They may be blocked in a
  // call, so this function doesn't wait for them; the actor system does.
  for (const caf::actor& fetcher : state_->fetchers) {
    caf::anon_send_exit(fetcher, caf::exit_reason::user_shutdown);
  }
  caf::anon_send_exit(state_->platform_worker, caf::exit_reason::user_shutdown);
  if (state_->platform_watcher) {
    caf::anon_send_exit(state_->platform_watcher,
                        caf::exit_reason::user_shutdown);
  }
}

std::shared_ptr<const ControlView> ControlPlane::view() const {
  return state_->Snapshot().view;
}

void ControlPlane::SetPhase(MemberPhase phase) {
  caf::anon_send(state_->control, EnterPhase{phase});
}

std::string ControlPlane::StatusJson() const {
  const std::shared_ptr<const ControlView> view = state_->Snapshot().view;
  nlohmann::json status;
  status["sequence"] = view->sequence;
  status["self"] = ToJson(view->self);
  status["key_ring_version"] = view->key_ring_version;
  status["means"] = view->mean_flows_per_slot;
  status["ms_since_platform_answer"] =
      view->last_platform_response.value < 0
          ? -1
          : (MonotonicNow() - view->last_platform_response).value;
  status["members"] = nlohmann::json::array();
  for (const auto& [id, entry] : view->members) {
    nlohmann::json member = ToJson(entry);
    member["doubtful"] = view->doubtful.count(id) > 0;
    status["members"].push_back(std::move(member));
  }
  status["documents"] = nlohmann::json::object();
  for (const auto& [service, document] : view->documents) {
    status["documents"][service] = document.version;
  }
  status["roster"] = nlohmann::json::array();
  for (const RosterEntry& entry : view->roster) {
    status["roster"].push_back({{"data", ToString(entry.data)},
                                {"phase", MemberPhaseName(entry.phase)},
                                {"slots", entry.slots}});
  }
  return status.dump();
}

}  // namespace medlarwinch
