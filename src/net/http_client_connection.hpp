/// @file
/// One connection of the HTTP client. Private to the implementation of `HttpClient`.
#pragma once

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>

#include "net/http_client.hpp"
#include "net/http_client_pool.hpp"
#include "net/http_response_parser.hpp"

namespace elmstall::net {

/// Carries one request at a time, and connects before the first one. The pending operations of the
/// socket and the timer own the connection during a request, the pool owns it between requests.
class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// Prepares a connection to the endpoint of the pool without connecting yet. The connection
  /// keeps the pool alive.
  explicit Connection(std::shared_ptr<Pool> pool);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Sends the request, and calls its handler with the reply or with the failure, which may
  /// happen from inside this call. Must not be called while another request is in progress.
  void send(Pool::PendingRequest request);

  /// Closes the socket and stops the timer of the request.
  void close();
  /// Closes the socket of an idle connection, whose timer does not run.
  void close_idle();

  /// Whether an idle connection can no longer be used. A server sends nothing on an idle
  /// connection, so anything that can be read is the end of the connection or an unexpected
  /// message.
  [[nodiscard]] bool is_stale();

 private:
  void connect();
  void write();
  void read();
  /// Ends the request with the response that was read.
  void finish();
  /// Ends the request without a response, unless it has ended already.
  void fail();
  /// False once the request has ended, for example by a time-out. Completions of socket operations
  /// that arrive later are ignored.
  [[nodiscard]] bool in_progress() const { return static_cast<bool>(handler_); }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timeout_timer_;
  std::shared_ptr<Pool> pool_;
  HttpResponseParser parser_;
  std::array<char, 8192> read_buffer_{};
  std::string write_buffer_;
  ReplyHandler handler_;        ///< of the request in progress
  bool write_started_ = false;  ///< some of the request may have reached the server
};

}  // namespace elmstall::net
