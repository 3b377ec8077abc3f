#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// An HTTP/1.1 server on an event loop, for short requests whose answer is at
/// hand. Unlike HttpServer it has no threads.
class AsyncHttpServer {
 public:
  /// Called on the loop's thread; must not block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Sends the answer to one request; without a response the connection is
  /// closed. Called at most once, from the loop's thread.
  using Responder = std::function<void(std::optional<HttpResponse>)>;
  /// As Handler for answers that come later. A request whose responder is never
  /// called is never answered.
  using DeferredHandler = std::function<void(const HttpRequest&, Responder)>;

  /// Listens on `local`. Fails with kUnavailable, naming the address.
  static Result<std::unique_ptr<AsyncHttpServer>> Listen(
      boost::asio::io_context& loop, const Endpoint& local, Handler handler);

  /// As Listen() with answers that may come later.
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
