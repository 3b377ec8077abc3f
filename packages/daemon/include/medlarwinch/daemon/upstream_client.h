#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"

namespace medlarwinch {

/// Result of an exchange with the upstream.
enum class ExchangeResult {
  /// The whole response was read.
  kComplete,
  /// No byte of the request was sent to the upstream.
  kNotSent,
  /// The connection failed after the first byte of the request was sent.
  kConnectionLost,
  /// The deadline passed after the first byte of the request was sent.
  kTimedOut,
};

/// One HTTP/1.1 request to the upstream.
struct UpstreamRequest {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  Bytes body;
  /// True for a non-idempotent request: it gets a new connection, because a
  /// pooled one may turn out to be closed after the first byte was sent.
  bool use_new_connection = false;
  /// Monotonic time by which the head of the response must have arrived.
  TimePoint head_deadline;
  /// True if the deadline also applies to the body; a feed has no end.
  bool deadline_covers_body = false;
};

/// Events of an exchange, delivered on the thread of the io_context.
struct UpstreamEvents {
  /// The head of the response; `not_run` is true if the upstream itself states
  /// that it shed the request.
  std::function<void(int status, bool not_run)> on_head;
  /// A chunk of the body. Returns false to pause until Resume().
  std::function<bool(ByteView data)> on_data;
  /// The end of the exchange; called once, unless the exchange was cancelled.
  std::function<void(ExchangeResult result)> on_end;
};

/// Asynchronous HTTP/1.1 exchanges with one upstream over pooled connections.
/// Start(), Resume() and Cancel() may be called from any thread and return at
/// once. A connection whose exchange did not end with a complete response is
/// closed and never reused.
class UpstreamClient {
 public:
  UpstreamClient(boost::asio::io_context& context, const Endpoint& upstream);

  /// The io_context must have stopped before destruction.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Starts an exchange and returns its number, which is never 0.
  uint64_t Start(UpstreamRequest request, UpstreamEvents events);

  /// Reports, on the thread of the io_context, whether the upstream accepts a
  /// connection within 1 s.
  void Probe(std::function<void(bool is_accepting)> done);

  /// Resumes reading after on_data returned false.
  void Resume(uint64_t exchange);

  /// Closes the connection of the exchange, which signals the cancellation to
  /// the upstream. Events that are already queued may still arrive.
  void Cancel(uint64_t exchange);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
