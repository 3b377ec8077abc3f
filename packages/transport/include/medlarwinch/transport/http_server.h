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

/// A complete HTTP/1.1 request.
struct HttpRequest {
  std::string method;
  /// Path and query, as received.
  std::string target;
  std::string body;
  /// Header fields, with lower-case names.
  std::map<std::string, std::string> headers;
};

/// A complete HTTP/1.1 response.
struct HttpResponse {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  /// Further header fields, with lower-case names.
  std::map<std::string, std::string> headers = {};
};

/// The path and the decoded query parameters of a request target.
struct HttpTarget {
  std::string path;
  std::map<std::string, std::string> query;
};

/// Splits a request target and percent-decodes its query values.
HttpTarget ParseTarget(const std::string& target);

/// Percent-encodes `text` for use as a query value.
std::string PercentEncode(const std::string& text);

/// A small HTTP/1.1 server for admin interfaces and stand-ins. Uses one thread
/// per connection and limits request bodies to 2 MB.
class HttpServer {
 public:
  /// Called on the connection's thread. May block.
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Listens on `local`. Fails with kUnavailable, naming the address.
  static Result<std::unique_ptr<HttpServer>> Listen(const Endpoint& local,
                                                    Handler handler);

  /// Closes all connections and waits for their threads to finish.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

 private:
  struct State;
  explicit HttpServer(std::shared_ptr<State> state);

  std::shared_ptr<State> state_;
};

}  // namespace medlarwinch
