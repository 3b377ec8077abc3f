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

/// How an exchange with the upstream ended.
enum class ExchangeResult {
  /// The whole response was read.
  kComplete,
  /// No byte of the request was handed to the upstream.
  kNotSent,
  /// The exchange broke after the first byte was handed over.
  kConnectionLost,
  /// The deadline passed after the first byte was handed over.
  kTimedOut,
};

/// One HTTP/1.1 request to the upstream.
struct UpstreamRequest {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  Bytes body;
  /// True for a request that may not be repeated: it gets a connection of its
  /// own, because a pooled one may turn out to be closed after the first byte.
  bool use_new_connection = false;
  /// Monotonic time until which the head of the response must have arrived.
  TimePoint head_deadline;
  /// True when the same time also ends the body; a feed has no end.
  bool deadline_covers_body = false;
};

/// What an exchange reports, on the thread of the io_context.
struct UpstreamEvents {
  /// The head of the response; `not_run` when it is the upstream's own proof
  /// that the request was shed.
  std::function<void(int status, bool not_run)> on_head;
  /// A piece of the body. Returns false to pause until Resume().
  std::function<bool(ByteView data)> on_data;
  /// The end; called once, unless the exchange was cancelled.
  std::function<void(ExchangeResult result)> on_end;
};

/// Asynchronous HTTP/1.1 exchanges with one upstream over pooled connections.
/// Start(), Resume() and Cancel() may be called from any thread and return at
/// once. A connection whose exchange did not end with a whole response is
/// closed and never used again.
class UpstreamClient {
 public:
  UpstreamClient(boost::asio::io_context& context, const Endpoint& upstream);

  /// The io_context must have stopped before.
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /// Starts an exchange and returns its number, which is never 0.
  uint64_t Start(UpstreamRequest request, UpstreamEvents events);

  /// Reports on the thread of the io_context whether the upstream accepts a
  /// connection within a second.
  void Probe(std::function<void(bool is_accepting)> done);

  /// Goes on reading after on_data returned false.
  void Resume(uint64_t exchange);

  /// Closes the connection of the exchange, which is the signal of cancellation
  /// to the upstream. Events that are already on their way may still arrive.
  void Cancel(uint64_t exchange);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
