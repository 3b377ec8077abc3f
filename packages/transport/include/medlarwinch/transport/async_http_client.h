#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// Asynchronous HTTP/1.1 client that sends one request at a time on a
/// persistent connection. The connection is closed after an error, so that a
/// late response is never matched to the next request, and is replaced after
/// two idle seconds, since it may have gone silent without a reset.
class AsyncHttpClient {
 public:
  /// Called with kUnavailable if the request was not received, with kTimeout if
  /// it may have taken effect, and with kLimitExceeded if it was handled but
  /// the response has a body of more than 4 MiB.
  using Callback = std::function<void(Result<HttpResponse>)>;

  AsyncHttpClient(boost::asio::io_context& loop, const Endpoint& server);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Sends `request` and calls `callback` exactly once, from the event loop.
  /// `connect_timeout` limits the time to connect, and `timeout` the time to
  /// the first part of the response after that; each further part must arrive
  /// within a second. If another request is in progress, nothing is
  /// sent and the callback receives kUnavailable.
  void Send(HttpRequest request, Millis connect_timeout, Millis timeout,
            Callback callback);

  bool is_busy() const;

  /// True while a part of the response to the request in progress has arrived.
  bool is_receiving() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
