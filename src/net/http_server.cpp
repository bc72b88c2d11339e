#include "net/http_server.hpp"

#include <http_parser.h>

#include <array>
#include <chrono>
#include <list>
#include <unordered_set>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::net {
namespace {

using Clock = std::chrono::steady_clock;

std::chrono::milliseconds ms(double seconds) {
  return std::chrono::milliseconds(static_cast<long>(seconds * 1000));
}

std::string_view reason(int status) { return http_status_str(static_cast<http_status>(status)); }

std::string head(const Response& response, bool close) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     std::string(reason(response.status)) + "\r\n";
  text += "Content-Type: " + response.content_type +
          "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
  if (response.retry_after_s > 0)
    text += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  return text;
}

}  // namespace

struct HttpServer::Shared {
  ServerLimits limits;
  Handler handler;
  std::unordered_set<Session*> sessions;
  /// Those from which a request, or the rest of one, is awaited; the one that
  /// was last served longest ago comes first.
  std::list<Session*> awaited;
  std::size_t open = 0;  ///< sockets; a closed one's session lives on for a moment
  bool closed = false;
};

class HttpServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), shared_(std::move(shared)) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    shared_->sessions.insert(this);
    ++shared_->open;
  }
  ~Session() {
    close();
    shared_->sessions.erase(this);
  }

  void start() {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    await();
    expire_after(constants::kIdleTimeout);
    read();
  }

  void close_if_expired(Clock::time_point now) {
    if (now >= deadline_) close();
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    asio::error_code ignored;
    --shared_->open;
    stop_awaiting();
    socket_.close(ignored);
  }

 private:
  void await() {
    if (!awaiting_) place_ = shared_->awaited.insert(shared_->awaited.end(), this);
    awaiting_ = true;
  }

  void stop_awaiting() {
    if (std::exchange(awaiting_, false)) shared_->awaited.erase(place_);
  }

  /// Closed by the server's check of deadlines unless something comes before.
  void expire_after(double seconds) { deadline_ = Clock::now() + ms(seconds); }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                              if (error) return self->close();
                              self->feed(size);
                            });
  }

  void feed(std::size_t size) {
    if (!in_message_) {
      in_message_ = true;
      expire_after(constants::kRequestReadTimeout);
    }
    const std::size_t used = http_parser_execute(&parser_, &settings(), chunk_.data(), size);
    if (complete_) {
      // Pipelining does not occur in the protocol; whatever follows a request
      // before its answer is refused by closing after the answer.
      if (used < size) keep_alive_ = false;
      return dispatch();
    }
    if (too_large_) return refuse(413, "the body is larger than 64 KiB");
    if (headers_too_large_) return refuse(431, "the header fields are too large");
    if (used != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return refuse(400, "malformed HTTP");
    read();
  }

  void refuse(int status, const char* text) {
    stop_awaiting();
    keep_alive_ = false;
    send({status, text, 0, "text/plain"});
  }

  void dispatch() {
    stop_awaiting();
    deadline_ = Clock::time_point::max();
    Request request{http_method_str(static_cast<http_method>(parser_.method)), std::move(path_),
                    std::move(body_)};
    auto answered = std::make_shared<bool>(false);
    shared_->handler(std::move(request),
                     [answered, self = shared_from_this()](const Response& response) {
                       if (*answered) return;
                       *answered = true;
                       self->send(response);
                     });
  }

  void send(const Response& response) {
    if (!socket_.is_open()) return;
    expire_after(constants::kRequestReadTimeout);
    if (response.yields && shared_->open > shared_->limits.crowded) keep_alive_ = false;
    out_ = head(response, !keep_alive_) + response.body;
    // The socket's buffer nearly always has room: then no turn of the loop and
    // no completion handler is spent on the answer.
    asio::error_code error;
    const auto written = socket_.write_some(asio::buffer(out_), error);
    if (error && error != asio::error::would_block) return close();
    if (written == out_.size()) return finish();
    asio::async_write(socket_, asio::buffer(out_.data() + written, out_.size() - written),
                      [self = shared_from_this()](asio::error_code failed, std::size_t) {
                        if (failed) return self->close();
                        self->finish();
                      });
  }

  /// The answer is sent.
  void finish() {
    if (!keep_alive_) return close();
    next();
  }

  void next() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    path_.clear();
    body_.clear();
    header_bytes_ = 0;
    complete_ = in_message_ = false;
    await();
    expire_after(constants::kIdleTimeout);
    read();
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_url = [](http_parser* p, const char* at, std::size_t n) {
        return self(p).on_path(at, n);
      };
      s.on_header_field = [](http_parser* p, const char*, std::size_t n) {
        return self(p).on_header(n);
      };
      s.on_header_value = [](http_parser* p, const char*, std::size_t n) {
        return self(p).on_header(n);
      };
      s.on_headers_complete = [](http_parser* p) { return self(p).on_headers_complete(); };
      s.on_body = [](http_parser* p, const char* at, std::size_t n) {
        return self(p).on_body(at, n);
      };
      s.on_message_complete = [](http_parser* p) { return self(p).on_complete(); };
      return s;
    }();
    return callbacks;
  }

  static Session& self(http_parser* parser) { return *static_cast<Session*>(parser->data); }

  int on_path(const char* at, std::size_t n) {
    path_.append(at, n);
    return on_header(n);
  }
  int on_header(std::size_t n) {
    header_bytes_ += n;
    headers_too_large_ = header_bytes_ > constants::kMaxHeaderBytes;
    return headers_too_large_ ? 1 : 0;
  }
  int on_headers_complete() {
    const auto length = parser_.content_length;
    too_large_ = length != ULLONG_MAX && length > shared_->limits.body_bytes;
    return too_large_ ? -1 : 0;
  }
  int on_body(const char* at, std::size_t n) {
    too_large_ = body_.size() + n > shared_->limits.body_bytes;
    if (too_large_) return 1;
    body_.append(at, n);
    return 0;
  }
  int on_complete() {
    complete_ = true;
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    http_parser_pause(&parser_, 1);
    return 0;
  }

  asio::ip::tcp::socket socket_;
  std::shared_ptr<Shared> shared_;
  http_parser parser_{};
  Clock::time_point deadline_;
  std::array<char, 4096> chunk_{};
  std::string path_;
  std::string body_;
  std::string out_;
  std::size_t header_bytes_ = 0;
  std::list<Session*>::iterator place_;
  bool closed_ = false;
  bool awaiting_ = false;  ///< `place_` is among those awaited
  bool in_message_ = false;
  bool complete_ = false;
  bool too_large_ = false;
  bool headers_too_large_ = false;
  bool keep_alive_ = true;
};

HttpServer::HttpServer(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint,
                       ServerLimits limits, Handler handler)
    : shared_(std::make_shared<Shared>()), acceptor_(io), pause_(io), deadline_check_(io) {
  shared_->limits = limits;
  shared_->handler = std::move(handler);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
  check_deadlines();
}

HttpServer::~HttpServer() {
  shared_->closed = true;
  for (auto* session : std::unordered_set<Session*>(shared_->sessions)) session->close();
}

std::uint16_t HttpServer::port() const { return acceptor_.local_endpoint().port(); }
std::size_t HttpServer::connections() const { return shared_->open; }

void HttpServer::check_deadlines() {
  deadline_check_.expires_after(ms(constants::kDeadlineCheckInterval));
  deadline_check_.async_wait([this, shared = shared_](asio::error_code error) {
    if (error || shared->closed) return;
    const auto now = Clock::now();
    for (auto* session : shared->sessions) session->close_if_expired(now);
    check_deadlines();
  });
}

void HttpServer::accept() {
  acceptor_.async_accept(
      [this, shared = shared_](asio::error_code error, asio::ip::tcp::socket socket) {
        if (shared->closed || error == asio::error::operation_aborted) return;
        if (error) {
          // Out of sockets, most likely: a short pause instead of a busy loop.
          pause_.expires_after(std::chrono::milliseconds(100));
          pause_.async_wait([this, shared](asio::error_code waited) {
            if (!waited && !shared->closed) accept();
          });
          return;
        }
        // With no place left the newcomer takes that of whoever keeps us waiting
        // the longest: readiness checks and users must not be shut out by idle
        // connections or half-sent requests. Nobody is cut off before its answer.
        if (shared->open >= shared->limits.connections && !shared->awaited.empty())
          shared->awaited.front()->close();
        if (shared->open < shared->limits.connections) {
          std::make_shared<Session>(std::move(socket), shared)->start();
        }
        accept();
      });
}

}  // namespace elmstall::net
