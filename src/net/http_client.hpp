/// @file
/// HTTP/1.1 client with a pool of kept-alive connections, on one Asio event loop.
///
/// All calls and callbacks are made on the thread that runs the `asio::io_context`.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace elmstall::net {

/// Outcome of one request.
struct Reply {
  /// HTTP status code. 0 means that no response arrived in time: the server may have executed
  /// the request or may yet execute it, unless `never_sent` is set.
  int status = 0;
  std::string body;  ///< body of the response; empty if none arrived
  /// No byte of the request was written to a connection, so the server can't have executed it.
  bool never_sent = false;
};

/// Receives the outcome of one request.
using ReplyHandler = std::function<void(Reply)>;

/// Sends requests to one address. Each connection carries one request at a time; requests beyond
/// the largest number of connections wait for one in the order in which they were made.
class HttpClient {
 public:
  /// Connects only once there is a request. `max_connections` counts busy and idle ones.
  HttpClient(asio::io_context& io, asio::ip::tcp::endpoint endpoint, std::size_t max_connections);
  /// Closes idle connections. Requests that wait for a connection are dropped, and their handlers
  /// are destroyed uncalled. Requests in progress go on, and their handlers are still called: a
  /// handler that refers to other objects must find out by itself whether they still exist (see
  /// `runtime::CommandScope`).
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. While the client exists the handler is called exactly once, from the event
  /// loop and never from inside this call. Errors and a time-out after `timeout_s` seconds are
  /// reported as a `Reply` with status 0. The client owns the handler until it has been called.
  void request(std::string_view method, std::string_view path, const std::string& body,
               double timeout_s, ReplyHandler handler);

 private:
  class Connection;
  class Pool;
  std::shared_ptr<Pool> pool_;
};

}  // namespace elmstall::net
