#include "medlarwinch/standins/upstream_server.h"

#include <boost/asio/strand.hpp>

#include "medlarwinch/standins/upstream_session.h"

namespace medlarwinch {

namespace asio = boost::asio;

Result<std::unique_ptr<UpstreamServer>> UpstreamServer::Start(
    const UpstreamSettings& settings) {
  std::unique_ptr<UpstreamServer> server(new UpstreamServer());
  Result<std::unique_ptr<EventLog>> log =
      EventLog::Open(settings.execution_log);
  if (!IsOk(log)) return ErrorOf(log);
  server->state_->settings = settings;
  server->state_->log = TakeValue(std::move(log));
  server->state_->work_ms = settings.work_ms;
  server->state_->shed_above = settings.shed_above;
  server->state_->fail_percent = settings.fail_percent;
  server->state_->reports_healthy = settings.reports_healthy;
  const Result<Ok> listening = server->Listen(settings.listen);
  if (!IsOk(listening)) return ErrorOf(listening);
  server->Accept();
  for (int index = 0; index < settings.threads; ++index) {
    server->threads_.emplace_back(
        [context = &server->context_] { context->run(); });
  }
  return server;
}

UpstreamServer::UpstreamServer()
    : state_(std::make_shared<UpstreamServerState>()), acceptor_(context_) {}

UpstreamServer::~UpstreamServer() {
  context_.stop();
  for (std::thread& thread : threads_) thread.join();
}

Result<Ok> UpstreamServer::Listen(const Endpoint& local) {
  boost::system::error_code error;
  const asio::ip::tcp::endpoint address(asio::ip::address_v4(local.ip),
                                        local.port);
  acceptor_.open(asio::ip::tcp::v4(), error);
  if (!error) {
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) acceptor_.bind(address, error);
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) return Ok{};
  return Error{ErrorCode::kUnavailable,
               "cannot listen on " + ToString(local) + ": " + error.message()};
}

void UpstreamServer::Accept() {
  acceptor_.async_accept(
      asio::make_strand(context_),
      [this](const boost::system::error_code& error,
             asio::ip::tcp::socket socket) {
        if (!error) {
          std::make_shared<UpstreamSession>(std::move(socket), state_)->Run();
        }
        if (acceptor_.is_open()) Accept();
      });
}

}  // namespace medlarwinch
