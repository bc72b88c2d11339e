// HTTP/1.1 server on one Asio loop. Knows nothing of jobs.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace elmstall::net {

struct Request {
  std::string method;
  std::string path;
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  ///< 0: no such header
  std::string content_type = "application/msgpack";
  /// The client comes back as easily over a new connection: this one may be
  /// closed after the answer when connections run short.
  bool yields = false;
};

/// Called once, at once or any time later on the same loop.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(Request, Responder)>;

struct ServerLimits {
  /// Most connections at once. A newcomer beyond them takes the place of the
  /// one that has been waited for in vain for the longest time.
  std::size_t connections = 256;
  std::size_t body_bytes = 0;
  /// Connections above which those that yield are closed after their answer.
  std::size_t crowded = 256;
};

class HttpServer {
 public:
  /// Throws std::system_error when the address can't be had.
  HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, ServerLimits limits,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::size_t connections() const;

 private:
  class Session;
  struct Shared;
  void accept();
  /// Closes connections that were idle or half sent for too long.
  void check_deadlines();

  std::shared_ptr<Shared> shared_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  asio::steady_timer deadline_check_;
};

}  // namespace elmstall::net
