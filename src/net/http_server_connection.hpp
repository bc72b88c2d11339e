/// @file
/// One connection of the HTTP server, and the state that all its connections share. Private to
/// the implementation of `HttpServer`.
#pragma once

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

#include "net/http_request_parser.hpp"
#include "net/http_server.hpp"

namespace elmstall::net {

/// State that the server and its connections share. Each connection holds a reference, so that the
/// state exists until the server and all connections are destroyed.
struct HttpServer::Shared {
  ServerLimits limits;                          ///< limits that the server was given
  Handler handler;                              ///< answers the requests of all connections
  std::unordered_set<Connection*> connections;  ///< all existing connection objects
  /// Connections that wait for a request or for the rest of one. The one at the front has waited
  /// longest.
  std::list<Connection*> awaiting_request;
  /// Number of open sockets. Less than `connections.size()` while completion handlers of a closed
  /// socket are pending, since they keep their connection object alive.
  std::size_t open_sockets = 0;
  bool server_destroyed = false;  ///< if set, no further request is served
};

/// Serves the requests of one client, one after the other. Exists as long as a pending operation of
/// the socket or a responder refers to it. Runs on the server's event loop.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// The clock of the deadlines.
  using Clock = std::chrono::steady_clock;

  /// Takes ownership of an accepted socket. start() begins to read from it.
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Begins to read the first request.
  void start();
  /// Closes the connection if its deadline for the next step has passed.
  void close_if_expired(Clock::time_point now);
  /// Closes the socket. A response that arrives later is dropped.
  void close();

 private:
  void enter_awaiting_list();
  void leave_awaiting_list();
  /// Sets the deadline for the next step, which `close_if_expired` checks.
  void expire_after(double seconds);

  void await_request();
  void read();
  void on_bytes(std::string_view bytes);
  /// Answers a request that can't be served, and closes the connection after the response.
  void reject(int status, const char* text);
  void dispatch();
  void send(const Response& response);
  void on_response_sent();

  asio::ip::tcp::socket socket_;
  std::shared_ptr<Shared> shared_;
  HttpRequestParser parser_;
  Clock::time_point deadline_;
  std::array<char, 4096> read_buffer_{};
  std::string write_buffer_;
  /// The position of this connection in `Shared::awaiting_request`, valid while it is in that list.
  std::list<Connection*>::iterator awaiting_position_;
  bool in_awaiting_list_ = false;
  bool request_started_ = false;  ///< some bytes of the current request have arrived
  bool keep_alive_ = true;        ///< the connection stays open after the current response
  bool closed_ = false;
};

}  // namespace elmstall::net
