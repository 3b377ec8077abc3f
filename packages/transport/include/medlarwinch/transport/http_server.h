#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// A whole HTTP/1.1 request.
struct HttpRequest {
  std::string method;
  /// Path with its query, as received.
  std::string target;
  std::string body;
  /// Header fields; names in lower case.
  std::map<std::string, std::string> headers;
};

/// A whole HTTP/1.1 response.
struct HttpResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// The path and the decoded query of a target.
struct HttpTarget {
  std::string path;
  std::map<std::string, std::string> query;
};

/// Splits a target; percent escapes in query values are decoded.
HttpTarget ParseTarget(const std::string& target);

/// Escapes `text` for use as a query value.
std::string PercentEncode(const std::string& text);

/// A small HTTP/1.1 server for administration and for stand-ins: one thread for
/// each connection, bodies of at most 2 MB.
class HttpServer {
 public:
  /// Called on the connection's thread; it may block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Listens on `local`. Fails with kUnavailable, naming the address.
  static Result<std::unique_ptr<HttpServer>> Listen(const Endpoint& local,
                                                    Handler handler);

  /// Closes all connections and waits for their threads.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
