#include "net/http_client.hpp"

#include <chrono>
#include <utility>

#include "net/http_client_pool.hpp"

namespace elmstall::net {
namespace {

/// Typical size of the request line and the header fields, reserved to avoid reallocations.
constexpr std::size_t kTypicalHeadBytes = 160;

std::string request_text(std::string_view method, std::string_view path, const std::string& host,
                         const std::string& body) {
  std::string text;
  text.reserve(kTypicalHeadBytes + body.size());
  text.append(method).append(" ").append(path).append(" HTTP/1.1\r\n");
  text.append("Host: ").append(host).append("\r\n");
  if (!body.empty()) text.append("Content-Type: application/msgpack\r\n");
  if (!body.empty() || method == "POST")
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  text.append("\r\n").append(body);
  return text;
}

}  // namespace

HttpClient::HttpClient(asio::io_context& io, asio::ip::tcp::endpoint endpoint,
                       std::size_t max_connections)
    : pool_(std::make_shared<Pool>(io, std::move(endpoint), max_connections)) {}

HttpClient::~HttpClient() { pool_->shut_down(); }

void HttpClient::request(std::string_view method, std::string_view path, const std::string& body,
                         double timeout_s, ReplyHandler handler) {
  const std::string host = pool_->endpoint().address().to_string();
  const auto timeout = std::chrono::milliseconds(static_cast<long>(timeout_s * 1000));
  pool_->submit(
      {request_text(method, path, host, body), Pool::Clock::now() + timeout, std::move(handler)});
}

}  // namespace elmstall::net
