// What an agent learns of its upstream: heartbeats, deregistrations and checks
// whether it runs.
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "medlarwinch/coordination/packet_path/upstream_liveness.h"
#include "medlarwinch/node/agent_node.h"
#include "medlarwinch/transport/log.h"
#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {
namespace {

// A running upstream on the same VM accepts connections within a millisecond.
constexpr Millis kUpstreamCheckTimeout{300};
constexpr double kNoticeLogLinesPerSecond = 10;
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

}  // namespace

HttpResponse AgentNode::HandleNotice(const HttpRequest& request) {
  HttpResponse response;
  response.content_type = "application/json";
  response.body = "{}";
  const Result<UpstreamNotice> notice = platform_.decode_notice(request);
  if (!IsOk(notice)) {
    ++refused_notices_;
    const bool is_unknown = ErrorOf(notice).code == ErrorCode::kNotFound;
    response.status = is_unknown ? kHttpNotFound : kHttpBadRequest;
    if (log_limiter_.AllowLine("notice_refused", kNoticeLogLinesPerSecond,
                               MonotonicNow())) {
      Log(LogLevel::kWarning, "notice_refused",
          {{"target", request.target}, {"message", ErrorOf(notice).message}});
    }
    return response;
  }
  response.status = kHttpOk;
  if (const UpstreamHeartbeat* heartbeat =
          std::get_if<UpstreamHeartbeat>(&ValueOf(notice))) {
    if (heartbeat->service != settings_.service ||
        heartbeat->address != settings_.upstream_address) {
      ++refused_notices_;
      Log(LogLevel::kWarning, "beat_refused",
          {{"upstream", heartbeat->id},
           {"service", heartbeat->service},
           {"address", ToString(heartbeat->address)}});
      response.status = kHttpConflict;
      return response;
    }
    // A success would acknowledge a drain that has no effect.
    if (!HandleHeartbeatNotice(*heartbeat)) response.status = kHttpConflict;
    return response;
  }
  const UpstreamDeregistration& deregistration =
      std::get<UpstreamDeregistration>(ValueOf(notice));
  const bool is_current =
      HandleDeregistration(relay_, deregistration, MonotonicNow());
  Log(LogLevel::kInfo, "upstream_deregistered",
      {{"upstream", deregistration.id},
       {"current", is_current ? "true" : "false"}});
  if (is_current) {
    AnnouncePhase("deregistered");
  } else {
    response.status = kHttpConflict;
  }
  return response;
}

bool AgentNode::HandleHeartbeatNotice(UpstreamHeartbeat heartbeat) {
  if (heartbeat.started_ms.has_value()) {
    heartbeat.age = WallNow() - TimePoint{*heartbeat.started_ms};
  }
  actions_.clear();
  const HeartbeatEffect effect =
      HandleUpstreamHeartbeat(relay_, heartbeat, MonotonicNow(), actions_);
  ExecuteActions(actions_, {});
  switch (effect) {
    case HeartbeatEffect::kIgnored:
    case HeartbeatEffect::kRefused:
      Log(LogLevel::kInfo, "beat_ignored",
          {{"upstream", heartbeat.id},
           {"sequence", static_cast<int64_t>(heartbeat.sequence)},
           {"current", relay_.upstream.id},
           {"current_sequence",
            static_cast<int64_t>(relay_.upstream.sequence)}});
      return effect == HeartbeatEffect::kIgnored;
    case HeartbeatEffect::kUnchanged:
      return true;
    case HeartbeatEffect::kFirst:
      AnnouncePhase("first_beat");
      break;
    case HeartbeatEffect::kRevived:
      AnnouncePhase("revived");
      break;
    case HeartbeatEffect::kNewIncarnation:
      AnnouncePhase("new_incarnation");
      break;
    case HeartbeatEffect::kDraining:
      AnnouncePhase("draining");
      break;
  }
  is_withdraw_requested_ = false;
  if (!registration_.is_published()) registration_.Publish();
  return true;
}

// Connects to the upstream's address, where a running upstream listens for
// health checks, and closes the connection without a request.
void AgentNode::CheckUpstream() {
  if (!NeedsUpstreamCheck(relay_, MonotonicNow())) return;
  BeginUpstreamCheck(relay_, MonotonicNow());
  using boost::asio::ip::tcp;
  const auto socket = std::make_shared<tcp::socket>(loop_);
  upstream_check_timer_.expires_after(
      std::chrono::milliseconds(kUpstreamCheckTimeout.value));
  upstream_check_timer_.async_wait([socket](boost::system::error_code error) {
    if (error) return;
    boost::system::error_code ignored;
    socket->close(ignored);
  });
  const tcp::endpoint address(
      boost::asio::ip::address_v4(settings_.upstream_address.ip),
      settings_.upstream_address.port);
  socket->async_connect(address,
                        [this, socket](boost::system::error_code error) {
                          upstream_check_timer_.cancel();
                          CompleteUpstreamCheck(error);
                        });
}

void AgentNode::CompleteUpstreamCheck(boost::system::error_code error) {
  const TimePoint now = MonotonicNow();
  if (!error) return HandleConnectionAccepted(relay_, now);
  const bool is_refused = error == boost::asio::error::connection_refused;
  actions_.clear();
  const bool is_absent = is_refused
                             ? HandleConnectionRefused(relay_, now, actions_)
                             : HandleConnectionTimeout(relay_, now, actions_);
  ExecuteActions(actions_, {});
  if (is_absent) {
    AnnouncePhase(is_refused ? "connection_refused" : "heartbeats_missed");
  }
}

}  // namespace medlarwinch
