#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// Asynchronous HTTP/1.1 server for small requests. Unlike HttpServer, it runs
/// on an event loop and has no threads.
class AsyncHttpServer {
 public:
  /// Called on the event loop's thread. Must not block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Sends the response to one request, or closes the connection if there is
  /// none. Must be called at most once, from the event loop's thread.
  using Responder = std::function<void(std::optional<HttpResponse>)>;
  /// Like Handler, for responses that are sent later. A request gets no
  /// response if its responder is never called.
  using DeferredHandler = std::function<void(const HttpRequest&, Responder)>;

  /// Listens on `local`. Fails with kUnavailable, naming the address.
  static Result<std::unique_ptr<AsyncHttpServer>> Listen(
      boost::asio::io_context& loop, const Endpoint& local, Handler handler);

  /// Like Listen(), with responses that may be sent later.
  static Result<std::unique_ptr<AsyncHttpServer>> ListenDeferred(
      boost::asio::io_context& loop, const Endpoint& local,
      DeferredHandler handler);

  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer&) = delete;
  AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

 private:
  struct State;
  explicit AsyncHttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
