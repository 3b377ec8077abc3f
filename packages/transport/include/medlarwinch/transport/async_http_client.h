#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// An HTTP/1.1 client on an event loop: one request at a time on one connection
/// that is kept open. After an error the connection is closed, so that a late
/// answer is never taken for that of the next request.
class AsyncHttpClient {
 public:
  /// kUnavailable: the request was not received. kTimeout: it may have taken
  /// effect.
  using Callback = std::function<void(Result<HttpResponse>)>;

  AsyncHttpClient(boost::asio::io_context& loop, const Endpoint& server);
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient&) = delete;
  AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

  /// Sends `request` and calls `callback` once, from the loop. Connecting may
  /// take at most `connect_timeout`, the answer `timeout` from then on. While
  /// an earlier request is in progress the callback gets kUnavailable and
  /// nothing is sent.
  void Send(HttpRequest request, Millis connect_timeout, Millis timeout,
            Callback callback);

  bool is_busy() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
