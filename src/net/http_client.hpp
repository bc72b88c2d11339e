// Pooled HTTP/1.1 client on one Asio loop.
#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace elmstall::net {

/// Outcome of one request. `status` 0: no answer, and the request may have
/// been executed or may yet be, unless `never_sent`.
struct Reply {
  int status = 0;
  std::string body;
  bool never_sent = false;
};

using ReplyHandler = std::function<void(Reply)>;

/// Requests to one address, over kept-alive connections.
class HttpClient {
 public:
  HttpClient(asio::io_context& io, asio::ip::tcp::endpoint endpoint, std::size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// The handler is called exactly once, from the loop, never from inside.
  void request(std::string_view method, std::string_view path, const std::string& body,
               double timeout_s, ReplyHandler handler);

 private:
  class Connection;
  struct Shared;
  std::shared_ptr<Shared> shared_;
};

}  // namespace elmstall::net
