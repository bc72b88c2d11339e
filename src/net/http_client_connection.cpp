#include "net/http_client_connection.hpp"

#include <utility>

#include "net/write_all.hpp"

namespace elmstall::net {

HttpClient::Connection::Connection(std::shared_ptr<Pool> pool)
    : socket_(pool->io()), timeout_timer_(pool->io()), pool_(std::move(pool)) {
  pool_->connection_created();
}

HttpClient::Connection::~Connection() { pool_->connection_destroyed(); }

void HttpClient::Connection::send(Pool::PendingRequest request) {
  write_buffer_ = std::move(request.text);
  handler_ = std::move(request.handler);
  parser_.reset();
  write_started_ = false;
  timeout_timer_.expires_at(request.deadline);
  timeout_timer_.async_wait([self = shared_from_this()](asio::error_code error) {
    if (!error) self->fail();
  });
  if (socket_.is_open()) {
    write();
  } else {
    connect();
  }
}

void HttpClient::Connection::connect() {
  socket_.async_connect(pool_->endpoint(), [self = shared_from_this()](asio::error_code error) {
    if (!self->in_progress()) return;
    if (error) return self->fail();
    asio::error_code ignored;
    self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->socket_.non_blocking(true, ignored);
    self->write();
  });
}

void HttpClient::Connection::write() {
  write_started_ = true;
  write_all(socket_, write_buffer_, [self = shared_from_this()](asio::error_code error) {
    if (!self->in_progress()) return;
    if (error) return self->fail();
    self->read();
  });
}

void HttpClient::Connection::read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this()](asio::error_code error, std::size_t size) {
                            if (!self->in_progress()) return;
                            if (error) return self->fail();
                            using Result = HttpResponseParser::Result;
                            switch (self->parser_.feed({self->read_buffer_.data(), size})) {
                              case Result::incomplete:
                                return self->read();
                              case Result::complete:
                                return self->finish();
                              case Result::malformed:
                                return self->fail();
                            }
                          });
}

void HttpClient::Connection::finish() {
  timeout_timer_.cancel();
  Reply reply{.status = parser_.status(), .body = parser_.take_body(), .never_sent = false};
  auto handler = std::exchange(handler_, nullptr);
  if (parser_.keep_alive() && !pool_->is_shut_down()) {
    pool_->release(shared_from_this());
  } else {
    close();
  }
  handler(std::move(reply));
}

void HttpClient::Connection::fail() {
  close();
  const auto handler = std::exchange(handler_, nullptr);
  if (!handler) return;
  handler(Reply{.status = 0, .body = {}, .never_sent = !write_started_});
  pool_->schedule_serving();
}

void HttpClient::Connection::close() {
  timeout_timer_.cancel();
  close_idle();
}

void HttpClient::Connection::close_idle() {
  asio::error_code ignored;
  socket_.close(ignored);
}

bool HttpClient::Connection::is_stale() {
  asio::error_code error;
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace elmstall::net
