/// @file
/// The connections of one HTTP client and the requests that wait for one of them. Private to the
/// implementation of `HttpClient`.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.hpp"

namespace elmstall::net {

/// Assigns requests to connections. Each connection holds a reference to the pool, so that the
/// pool outlives the client until the last request in progress has ended.
class HttpClient::Pool : public std::enable_shared_from_this<Pool> {
 public:
  /// The clock of the deadlines.
  using Clock = std::chrono::steady_clock;

  /// A request that is not yet assigned to a connection.
  struct PendingRequest {
    std::string text;            ///< the request as sent, header fields included
    Clock::time_point deadline;  ///< the request fails if it has no response by then
    ReplyHandler handler;        ///< receives the outcome
  };

  /// Opens connections on demand. `max_connections` limits the busy and idle ones together.
  Pool(asio::io_context& io, asio::ip::tcp::endpoint endpoint, std::size_t max_connections);

  /// Queues a request and serves it from the event loop, not from inside this call.
  void submit(PendingRequest request);
  /// Closes idle connections, and serves no further request.
  void shut_down();

  /// Returns a connection that can carry another request to the pool.
  void release(std::shared_ptr<Connection> connection);
  /// Calls `serve_pending` from the event loop.
  void schedule_serving();

  /// The event loop of all connections.
  [[nodiscard]] asio::io_context& io() const { return io_; }
  /// The address to which connections are opened.
  [[nodiscard]] const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  /// Whether the client has been destroyed, so that no further request is served.
  [[nodiscard]] bool is_shut_down() const { return shut_down_; }

  /// Counts a connection as open. To be called by the connection's constructor.
  void connection_created() { ++open_connections_; }
  /// Stops counting a connection. To be called by the connection's destructor.
  void connection_destroyed() { --open_connections_; }

 private:
  /// Assigns pending requests to connections until either run out. Requests past their deadline
  /// fail as never sent.
  void serve_pending();
  [[nodiscard]] PendingRequest take_first_pending();

  asio::io_context& io_;
  asio::ip::tcp::endpoint endpoint_;
  std::size_t max_connections_;
  std::size_t open_connections_ = 0;  ///< busy and idle ones
  std::vector<std::shared_ptr<Connection>> idle_;
  std::deque<PendingRequest> pending_;
  bool shut_down_ = false;
};

}  // namespace elmstall::net
