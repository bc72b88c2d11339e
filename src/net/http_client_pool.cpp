#include "net/http_client_pool.hpp"

#include <utility>

#include "net/http_client_connection.hpp"

namespace elmstall::net {

HttpClient::Pool::Pool(asio::io_context& io, asio::ip::tcp::endpoint endpoint,
                       std::size_t max_connections)
    : io_(io), endpoint_(std::move(endpoint)), max_connections_(max_connections) {}

void HttpClient::Pool::submit(PendingRequest request) {
  pending_.push_back(std::move(request));
  schedule_serving();
}

void HttpClient::Pool::shut_down() {
  shut_down_ = true;
  for (const auto& connection : idle_) connection->close_idle();
  idle_.clear();
}

void HttpClient::Pool::release(std::shared_ptr<Connection> connection) {
  idle_.push_back(std::move(connection));
  if (!pending_.empty()) schedule_serving();
}

void HttpClient::Pool::schedule_serving() {
  asio::post(io_, [self = shared_from_this()] { self->serve_pending(); });
}

HttpClient::Pool::PendingRequest HttpClient::Pool::take_first_pending() {
  auto request = std::move(pending_.front());
  pending_.pop_front();
  return request;
}

void HttpClient::Pool::serve_pending() {
  while (!shut_down_ && !pending_.empty()) {
    if (pending_.front().deadline <= Clock::now()) {
      const auto late = take_first_pending();
      late.handler(Reply{.status = 0, .body = {}, .never_sent = true});
      continue;
    }
    std::shared_ptr<Connection> connection;
    if (!idle_.empty()) {
      connection = std::move(idle_.back());
      idle_.pop_back();
      if (connection->is_stale()) {
        connection->close();
        continue;
      }
    } else if (open_connections_ < max_connections_) {
      connection = std::make_shared<Connection>(shared_from_this());
    } else {
      return;
    }
    connection->send(take_first_pending());
  }
}

}  // namespace elmstall::net
