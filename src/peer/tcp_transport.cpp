#include "peer/tcp_transport.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <deque>

#include "config/constants.hpp"
#include "config/endpoint.hpp"
#include "peer/frames.hpp"

namespace elmstall::peer {
namespace {

constexpr auto kReconnectPause = std::chrono::milliseconds(500);
constexpr auto kSendLimit = std::chrono::seconds(3);

}  // namespace

/// Connection to one peer; connects when there is something to send.
class TcpTransport::Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(asio::io_context& io, asio::ip::tcp::endpoint endpoint)
      : socket_(io), timer_(io), endpoint_(std::move(endpoint)) {}

  /// Queues a frame until the next flush.
  void send(std::string text) {
    // A peer that takes nothing must not fill our memory: the oldest message
    // is the least worth.
    queue_.push_back(std::move(text));
    bytes_ += queue_.back().size();
    while (bytes_ > constants::kMaxPeerMessageBytes && queue_.size() > 1) {
      bytes_ -= queue_.front().size();
      queue_.pop_front();
    }
  }

  /// Writes what is queued; what the socket does not take goes out later.
  void flush() {
    while (!busy_ && !closed_ && !queue_.empty()) {
      if (socket_.is_open()) {
        write();
      } else {
        connect();
      }
    }
  }

  void close() {
    closed_ = true;
    reset();
  }

 private:
  void connect() {
    start_timeout();
    socket_.async_connect(endpoint_, [self = shared_from_this()](asio::error_code error) {
      if (error) return self->retry();
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->finish();
    });
  }

  void write() {
    take_batch();
    // The socket's buffer nearly always has room: then no turn of the loop, no
    // timer and no completion handler is spent on it.
    asio::error_code error;
    const auto written = socket_.write_some(asio::buffer(current_), error);
    if (error && error != asio::error::would_block) return retry();
    if (written < current_.size()) write_rest(written);
  }

  void write_rest(std::size_t written) {
    start_timeout();
    asio::async_write(socket_, asio::buffer(current_.data() + written, current_.size() - written),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->retry();
                        self->finish();
                      });
  }

  /// Several frames in one write: on a small machine a packet and a system call
  /// for each cost more than what is in them.
  void take_batch() {
    current_.clear();
    while (!queue_.empty() && (current_.empty() || current_.size() + queue_.front().size() <=
                                                       constants::kPeerWriteBytes)) {
      current_ += queue_.front();
      bytes_ -= queue_.front().size();
      queue_.pop_front();
    }
  }

  /// Connecting, or the rest of a write, is under way.
  void start_timeout() {
    busy_ = true;
    timer_.expires_after(kSendLimit);
    timer_.async_wait([self = shared_from_this(), round = ++round_](asio::error_code error) {
      if (!error && round == self->round_) self->reset();
    });
  }

  void finish() {
    ++round_;
    timer_.cancel();
    busy_ = false;
    flush();
  }

  void reset() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

  void retry() {
    reset();
    if (closed_) return;
    busy_ = true;
    timer_.expires_after(kReconnectPause);
    timer_.async_wait([self = shared_from_this(), round = ++round_](asio::error_code error) {
      if (error || round != self->round_) return;
      self->busy_ = false;
      self->flush();
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  asio::ip::tcp::endpoint endpoint_;
  std::deque<std::string> queue_;
  std::size_t bytes_ = 0;
  std::string current_;
  std::uint64_t round_ = 0;
  bool busy_ = false;  ///< connecting, writing the rest, or pausing
  bool closed_ = false;
};

class TcpTransport::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), shared_(std::move(shared)) {
    shared_->incoming.insert(this);
  }
  ~Incoming() { shared_->incoming.erase(this); }
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  void read() {
    // Whatever has come: often several messages, hardly ever less than one.
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                              if (error) return;
                              if (self->receive({self->chunk_.data(), size})) self->read();
                            });
  }

  void close() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  /// False when the bytes can't be read: the connection ends with this object.
  bool receive(std::string_view bytes) {
    try {
      frames_.append(bytes);
      while (const auto message = frames_.next()) shared_->receiver(decode(*message));
      return true;
    } catch (const std::exception& problem) {
      log_refusal(problem.what());
      return false;
    }
  }

  void log_refusal(const char* why) {
    asio::error_code unknown;
    const auto peer = socket_.remote_endpoint(unknown);
    spdlog::error("a message between controllers from {} can't be read: {}",
                  unknown ? "an unknown address" : peer.address().to_string(), why);
  }

  asio::ip::tcp::socket socket_;
  std::shared_ptr<Shared> shared_;
  std::array<char, constants::kPeerReadBytes> chunk_{};
  FrameReader frames_;
};

TcpTransport::TcpTransport(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                           const std::vector<config::Peer>& peers, Receiver receiver)
    : shared_(std::make_shared<Shared>()), acceptor_(io) {
  shared_->receiver = std::move(receiver);
  // A peer that lost its connection silently opens another one.
  shared_->max_incoming = peers.size() * 4 + 4;
  for (const auto& peer : peers)
    peers_[peer.name] = std::make_shared<Outgoing>(io, config::parse_endpoint(peer.endpoint));
  acceptor_.open(listen.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
}

TcpTransport::~TcpTransport() {
  shared_->closed = true;
  for (auto& [name, peer] : peers_) peer->close();
  for (auto* connection : std::unordered_set<Incoming*>(shared_->incoming)) connection->close();
}

void TcpTransport::accept() {
  acceptor_.async_accept(
      [this, shared = shared_](asio::error_code error, asio::ip::tcp::socket socket) {
        if (shared->closed || error == asio::error::operation_aborted) return;
        if (!error) {
          if (shared->incoming.size() >= shared->max_incoming) (*shared->incoming.begin())->close();
          std::make_shared<Incoming>(std::move(socket), shared)->read();
        }
        accept();
      });
}

void TcpTransport::broadcast(const Message& message) {
  const auto text = frame(encode(message));
  for (auto& [name, peer] : peers_) peer->send(text);
}

void TcpTransport::flush() {
  for (auto& [name, peer] : peers_) peer->flush();
}

void TcpTransport::send(const std::string& node, const Message& message) {
  const auto found = peers_.find(node);
  if (found != peers_.end()) found->second->send(frame(encode(message)));
}

}  // namespace elmstall::peer
