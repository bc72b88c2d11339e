#include "net/http_client.hpp"

#include <http_parser.h>

#include <array>
#include <chrono>
#include <deque>

#include "config/constants.hpp"

namespace elmstall::net {

struct HttpClient::Shared {
  struct Waiting {
    std::string text;
    std::chrono::steady_clock::time_point deadline;
    ReplyHandler handler;
  };
  asio::io_context& io;
  asio::ip::tcp::endpoint endpoint;
  std::size_t max_connections;
  std::vector<std::shared_ptr<Connection>> idle;
  std::size_t open = 0;
  std::deque<Waiting> waiting;
  bool closed = false;
};

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(std::shared_ptr<Shared> shared)
      : socket_(shared->io), timer_(shared->io), shared_(std::move(shared)) {
    ++shared_->open;
  }
  ~Connection() { --shared_->open; }

  void send(std::string text, std::chrono::steady_clock::time_point deadline,
            ReplyHandler handler) {
    out_ = std::move(text);
    handler_ = std::move(handler);
    reply_ = {};
    complete_ = false;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    timer_.expires_at(deadline);
    written_ = false;
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
      if (!error) self->fail();
    });
    if (socket_.is_open()) return write();
    socket_.async_connect(shared_->endpoint, [self = shared_from_this()](asio::error_code error) {
      if (!self->handler_) return;
      if (error) return self->fail();
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->write();
    });
  }

  void close() {
    timer_.cancel();
    close_socket();
  }

  /// For one that is idle, whose timer does not run.
  void close_socket() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void write() {
    written_ = true;
    // As on the server: what the socket takes at once needs no handler.
    asio::error_code error;
    const auto size = socket_.write_some(asio::buffer(out_), error);
    if (error && error != asio::error::would_block) return fail();
    if (size == out_.size()) return read();
    asio::async_write(socket_, asio::buffer(out_.data() + size, out_.size() - size),
                      [self = shared_from_this()](asio::error_code failed, std::size_t) {
                        if (!self->handler_) return;
                        if (failed) return self->fail();
                        self->read();
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](
                                                      asio::error_code error, std::size_t size) {
      if (!self->handler_) return;
      if (error) return self->fail();
      const auto used = http_parser_execute(&self->parser_, &settings(), self->chunk_.data(), size);
      if (self->complete_) return self->finish(used == size);
      if (used != size || HTTP_PARSER_ERRNO(&self->parser_) != HPE_OK) return self->fail();
      self->read();
    });
  }

  void finish(bool clean) {
    timer_.cancel();
    reply_.status = static_cast<int>(parser_.status_code);
    const bool reuse = clean && keep_alive_ && !shared_->closed;
    if (!reuse) close();
    auto handler = std::exchange(handler_, nullptr);
    auto reply = std::move(reply_);
    auto shared = shared_;
    if (reuse) give_back();
    handler(std::move(reply));
  }

  void fail() {
    close();
    auto handler = std::exchange(handler_, nullptr);
    if (!handler) return;
    Reply lost;
    lost.never_sent = !written_;
    auto shared = shared_;
    handler(std::move(lost));
    asio::post(shared->io, [shared] { pump(shared); });
  }

  void give_back() {
    shared_->idle.push_back(shared_from_this());
    if (!shared_->waiting.empty()) asio::post(shared_->io, [shared = shared_] { pump(shared); });
  }

 public:
  static void pump(const std::shared_ptr<Shared>& shared) {
    while (!shared->closed && !shared->waiting.empty()) {
      if (shared->waiting.front().deadline <= std::chrono::steady_clock::now()) {
        auto late = std::move(shared->waiting.front());
        shared->waiting.pop_front();
        late.handler(Reply{0, {}, true});
        continue;
      }
      std::shared_ptr<Connection> connection;
      if (!shared->idle.empty()) {
        connection = std::move(shared->idle.back());
        shared->idle.pop_back();
        // The peer may have closed it meanwhile: a readable idle connection
        // holds either an end or rubbish.
        if (connection->stale()) {
          connection->close();
          continue;
        }
      } else if (shared->open < shared->max_connections) {
        connection = std::make_shared<Connection>(shared);
      } else {
        return;
      }
      auto next = std::move(shared->waiting.front());
      shared->waiting.pop_front();
      connection->send(std::move(next.text), next.deadline, std::move(next.handler));
    }
  }

 private:
  bool stale() {
    asio::error_code error;
    char byte = 0;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
  }

  static Connection& self(http_parser* parser) { return *static_cast<Connection*>(parser->data); }

  static const http_parser_settings& settings() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        auto& body = self(p).reply_.body;
        if (body.size() + n > constants::kMaxReplyBytes) return 1;
        body.append(at, n);
        return 0;
      };
      s.on_message_complete = [](http_parser* p) {
        self(p).complete_ = true;
        self(p).keep_alive_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return callbacks;
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Shared> shared_;
  http_parser parser_{};
  std::array<char, 8192> chunk_{};
  std::string out_;
  Reply reply_;
  ReplyHandler handler_;
  bool complete_ = false;
  bool keep_alive_ = true;
  bool written_ = false;
};

HttpClient::HttpClient(asio::io_context& io, asio::ip::tcp::endpoint endpoint,
                       std::size_t max_connections)
    : shared_(std::make_shared<Shared>(
          Shared{io, std::move(endpoint), max_connections, {}, 0, {}, false})) {}

HttpClient::~HttpClient() {
  shared_->closed = true;
  for (auto& connection : shared_->idle) connection->close_socket();
  shared_->idle.clear();
}

void HttpClient::request(std::string_view method, std::string_view path, const std::string& body,
                         double timeout_s, ReplyHandler handler) {
  std::string text;
  text.reserve(160 + body.size());
  text.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ");
  text.append(shared_->endpoint.address().to_string()).append("\r\n");
  if (!body.empty()) text.append("Content-Type: application/msgpack\r\n");
  if (!body.empty() || method == "POST")
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  text.append("\r\n").append(body);
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(static_cast<long>(timeout_s * 1000));
  shared_->waiting.push_back({std::move(text), deadline, std::move(handler)});
  asio::post(shared_->io, [shared = shared_] { Connection::pump(shared); });
}

}  // namespace elmstall::net
