#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "medlarwinch/standins/upstream_server_state.h"

namespace medlarwinch {

/// HTTP/1.1 server that simulates an upstream: /feed, /report, /manifest,
/// /samples, /orders, /echo, /health, /control/set and /control/stats.
class UpstreamServer {
 public:
  /// Opens the execution log and listens; fails with kUnavailable.
  static Result<std::unique_ptr<UpstreamServer>> Start(
      const UpstreamSettings& settings);

  /// Closes all connections.
  ~UpstreamServer();
  UpstreamServer(const UpstreamServer&) = delete;
  UpstreamServer& operator=(const UpstreamServer&) = delete;

  const UpstreamServerState& state() const { return *state_; }

 private:
  UpstreamServer();

  Result<Ok> Listen(const Endpoint& local);
  void Accept();

  std::shared_ptr<UpstreamServerState> state_;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> threads_;
};

}  // namespace medlarwinch
