#include "net/http_server_connection.hpp"

#include <utility>

#include "config/constants.hpp"
#include "net/write_all.hpp"

namespace elmstall::net {
namespace {

std::string_view reason_phrase(int status) {
  return http_status_str(static_cast<http_status>(status));
}

enum class AfterResponse : std::uint8_t { keep_connection, close_connection };

/// The status line and the header fields, with the empty line that ends them.
std::string response_head(const Response& response, AfterResponse after) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     std::string(reason_phrase(response.status)) + "\r\n";
  text += "Content-Type: " + response.content_type + "\r\n";
  text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0)
    text += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  if (after == AfterResponse::close_connection) text += "Connection: close\r\n";
  text += "\r\n";
  return text;
}

}  // namespace

HttpServer::Connection::Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
    : socket_(std::move(socket)), shared_(std::move(shared)), parser_(shared_->limits.body_bytes) {
  shared_->connections.insert(this);
  ++shared_->open_sockets;
}

HttpServer::Connection::~Connection() {
  close();
  shared_->connections.erase(this);
}

void HttpServer::Connection::start() {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  await_request();
}

void HttpServer::Connection::close_if_expired(Clock::time_point now) {
  if (now >= deadline_) close();
}

void HttpServer::Connection::close() {
  if (std::exchange(closed_, true)) return;
  --shared_->open_sockets;
  leave_awaiting_list();
  asio::error_code ignored;
  socket_.close(ignored);
}

void HttpServer::Connection::enter_awaiting_list() {
  if (in_awaiting_list_) return;
  auto& list = shared_->awaiting_request;
  awaiting_position_ = list.insert(list.end(), this);
  in_awaiting_list_ = true;
}

void HttpServer::Connection::leave_awaiting_list() {
  if (!std::exchange(in_awaiting_list_, false)) return;
  shared_->awaiting_request.erase(awaiting_position_);
}

void HttpServer::Connection::expire_after(double seconds) {
  deadline_ = Clock::now() + std::chrono::milliseconds(static_cast<long>(seconds * 1000));
}

void HttpServer::Connection::await_request() {
  enter_awaiting_list();
  expire_after(constants::kIdleTimeout);
  read();
}

void HttpServer::Connection::read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this()](asio::error_code error, std::size_t size) {
                            if (error) return self->close();
                            self->on_bytes({self->read_buffer_.data(), size});
                          });
}

void HttpServer::Connection::on_bytes(std::string_view bytes) {
  if (!request_started_) {
    request_started_ = true;
    expire_after(constants::kRequestReadTimeout);
  }
  using Result = HttpRequestParser::Result;
  switch (parser_.feed(bytes)) {
    case Result::incomplete:
      return read();
    case Result::complete:
      keep_alive_ = parser_.keep_alive();
      return dispatch();
    case Result::body_too_large:
      return reject(413, "the body is larger than 64 KiB");
    case Result::headers_too_large:
      return reject(431, "the header fields are too large");
    case Result::malformed:
      return reject(400, "malformed HTTP");
  }
}

void HttpServer::Connection::reject(int status, const char* text) {
  leave_awaiting_list();
  keep_alive_ = false;
  send({status, text, 0, "text/plain"});
}

void HttpServer::Connection::dispatch() {
  leave_awaiting_list();
  // The handler decides how long a request may take; no connection is closed before its response.
  deadline_ = Clock::time_point::max();
  auto answered = std::make_shared<bool>(false);
  shared_->handler(parser_.take_request(),
                   [answered, self = shared_from_this()](const Response& response) {
                     if (std::exchange(*answered, true)) return;
                     self->send(response);
                   });
}

void HttpServer::Connection::send(const Response& response) {
  if (!socket_.is_open()) return;
  expire_after(constants::kRequestReadTimeout);
  const bool over_soft_limit = shared_->open_sockets > shared_->limits.soft_connection_limit;
  if (response.close_over_soft_limit && over_soft_limit) keep_alive_ = false;
  const auto after = keep_alive_ ? AfterResponse::keep_connection : AfterResponse::close_connection;
  write_buffer_ = response_head(response, after) + response.body;
  write_all(socket_, write_buffer_, [self = shared_from_this()](asio::error_code error) {
    if (error) return self->close();
    self->on_response_sent();
  });
}

void HttpServer::Connection::on_response_sent() {
  if (!keep_alive_) return close();
  parser_.reset();
  request_started_ = false;
  await_request();
}

}  // namespace elmstall::net
