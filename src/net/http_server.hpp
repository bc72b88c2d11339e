/// @file
/// HTTP/1.1 server on one Asio event loop, independent of the scheduler.
///
/// All calls and callbacks are made on the thread that runs the `asio::io_context`.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace elmstall::net {

/// A completely received request.
struct Request {
  std::string method;  ///< "GET", "POST", and so on
  std::string path;    ///< request target as received, including the query
  std::string body;    ///< empty if the request has none
};

/// The response to a request.
struct Response {
  int status = 200;       ///< HTTP status code
  std::string body;       ///< empty for a response without content
  int retry_after_s = 0;  ///< seconds for the `Retry-After` header; 0 leaves the header out
  std::string content_type = "application/msgpack";  ///< value of the `Content-Type` header
  /// Close the connection after this response if more connections are open than
  /// `ServerLimits::soft_connection_limit`. For clients that can reconnect at little cost.
  bool close_over_soft_limit = false;
};

/// Sends the response to one request. It may be called before the handler returns, or later on the
/// event loop; only the first call has an effect. It keeps the connection object alive, and the
/// response is dropped if the connection or the server has been closed meanwhile.
using Responder = std::function<void(Response)>;

/// Called on the event loop for each request.
using Handler = std::function<void(Request, Responder)>;

/// Limits that protect the process against too many or too large requests.
struct ServerLimits {
  /// Largest number of open connections. Beyond it a new connection replaces the one that has
  /// waited longest for a request to arrive; if none is waiting, the new connection is closed.
  std::size_t connections = 256;
  /// Largest request body, in bytes. Requests with larger ones are answered with status 413.
  std::size_t body_bytes = 0;
  /// Number of open connections above which a connection is closed after a response with
  /// `Response::close_over_soft_limit`.
  std::size_t soft_connection_limit = 256;
};

/// Accepts connections and passes their requests to a handler.
///
/// The server and its connections share the handler. Connections, with their responders, may
/// outlive the server for as long as the event loop runs. A request that had been read completely
/// when the server was destroyed may still be passed to the handler; later requests are not.
class HttpServer {
 public:
  /// Starts to listen. Throws std::system_error if the address is not available.
  HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, ServerLimits limits,
             Handler handler);
  /// Closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// The port on which the server listens; useful if `endpoint` had port 0.
  [[nodiscard]] std::uint16_t port() const;
  /// Number of open connections.
  [[nodiscard]] std::size_t connections() const;

 private:
  class Connection;
  struct Shared;
  void accept();
  void retry_accept();
  /// Serves a new connection if the limits allow it.
  void admit(asio::ip::tcp::socket socket);
  /// Starts to close periodically the connections that exceeded the time limit for being idle, for
  /// sending a request or for receiving a response.
  void check_deadlines();

  std::shared_ptr<Shared> shared_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  asio::steady_timer deadline_check_timer_;
};

}  // namespace elmstall::net
