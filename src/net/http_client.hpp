/// @file
/// HTTP/1.1 client with a pool of persistent connections, on one Asio event loop.
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
  /// HTTP status code. 0 means that no response arrived: the server may have executed the request
  /// or may still execute it, unless `never_sent` is set.
  int status = 0;
  std::string body;  ///< body of the response; empty if none arrived
  /// No byte of the request was written to a connection, so the server can't have executed it.
  bool never_sent = false;
};

/// Receives the outcome of one request.
using ReplyHandler = std::function<void(Reply)>;

/// Sends requests to one address. Each connection carries one request at a time. While all
/// connections are busy, further requests are queued in the order of the calls.
class HttpClient {
 public:
  /// Opens connections on demand. `max_connections` limits the busy and idle ones together.
  HttpClient(asio::io_context& io, asio::ip::tcp::endpoint endpoint, std::size_t max_connections);
  /// Closes idle connections. Requests that wait for a connection are dropped, and their handlers
  /// are destroyed uncalled. Requests in progress continue, and their handlers are still called: a
  /// handler that refers to other objects must check whether they still exist (see
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
