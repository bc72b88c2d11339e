#include "net/http_server.hpp"

#include <chrono>
#include <utility>

#include "config/constants.hpp"
#include "net/http_server_connection.hpp"

namespace elmstall::net {
namespace {

/// Delay before accepting again after an accept has failed.
constexpr auto kAcceptRetryPause = std::chrono::milliseconds(100);

}  // namespace

HttpServer::HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint,
                       ServerLimits limits, Handler handler)
    : shared_(std::make_shared<Shared>()),
      acceptor_(io),
      accept_retry_timer_(io),
      deadline_check_timer_(io) {
  shared_->limits = limits;
  shared_->handler = std::move(handler);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
  check_deadlines();
}

HttpServer::~HttpServer() {
  shared_->server_destroyed = true;
  // A copy, since connections remove themselves from the set as they end.
  const auto connections = shared_->connections;
  for (auto* connection : connections) connection->close();
}

std::uint16_t HttpServer::port() const { return acceptor_.local_endpoint().port(); }
std::size_t HttpServer::connections() const { return shared_->open_sockets; }

void HttpServer::check_deadlines() {
  deadline_check_timer_.expires_after(
      std::chrono::milliseconds(static_cast<long>(constants::kDeadlineCheckInterval * 1000)));
  deadline_check_timer_.async_wait([this, shared = shared_](asio::error_code error) {
    if (error || shared->server_destroyed) return;
    const auto now = Connection::Clock::now();
    for (auto* connection : shared->connections) connection->close_if_expired(now);
    check_deadlines();
  });
}

void HttpServer::accept() {
  acceptor_.async_accept(
      [this, shared = shared_](asio::error_code error, asio::ip::tcp::socket socket) {
        if (shared->server_destroyed || error == asio::error::operation_aborted) return;
        if (error) return retry_accept();
        admit(std::move(socket));
        accept();
      });
}

void HttpServer::retry_accept() {
  // The process has most likely run out of file descriptors. Accepting again immediately would
  // fail again and keep the processor busy.
  accept_retry_timer_.expires_after(kAcceptRetryPause);
  accept_retry_timer_.async_wait([this, shared = shared_](asio::error_code error) {
    if (!error && !shared->server_destroyed) accept();
  });
}

void HttpServer::admit(asio::ip::tcp::socket socket) {
  const std::size_t limit = shared_->limits.connections;
  // Idle connections and incomplete requests must not prevent readiness checks and users from
  // connecting. A new connection therefore replaces the one that has waited longest for a request
  // to arrive. A connection whose request is being served is never closed before its response.
  if (shared_->open_sockets >= limit && !shared_->awaiting_request.empty())
    shared_->awaiting_request.front()->close();
  if (shared_->open_sockets >= limit) return;
  std::make_shared<Connection>(std::move(socket), shared_)->start();
}

}  // namespace elmstall::net
