#include "peer/tcp_transport.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <deque>

#include "config/constants.hpp"
#include "config/endpoint.hpp"
#include "peer/frames.hpp"

namespace elmstall::peer {
namespace {

/// Pause after a connection failed before it is opened again.
constexpr auto kReconnectPause = std::chrono::milliseconds(500);
/// Longest time that connecting, or writing one batch of frames, may take.
constexpr auto kSendTimeout = std::chrono::seconds(3);
/// Incoming connections that are served for each peer, and beyond those. A peer that lost its
/// connection opens another one, while this side may not have detected the loss yet.
constexpr std::size_t kIncomingPerPeer = 4;
constexpr std::size_t kIncomingSpare = 4;

}  // namespace

/// The connection to one peer, to which this side only writes. It connects when there is something
/// to send, and connects again after a failure. Pending operations keep the object alive.
class TcpTransport::Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(asio::io_context& io, asio::ip::tcp::endpoint endpoint)
      : socket_(io), timer_(io), endpoint_(std::move(endpoint)) {}

  /// Queues a frame until the next flush.
  void send(std::string text) {
    queue_.push_back(std::move(text));
    queued_bytes_ += queue_.back().size();
    // A peer that does not read must not exhaust the memory of this process. The oldest messages
    // are dropped first, since newer ones supersede most of them.
    while (queued_bytes_ > constants::kMaxPeerMessageBytes && queue_.size() > 1) {
      queued_bytes_ -= queue_.front().size();
      queue_.pop_front();
    }
  }

  /// Writes the queued frames. The part that the socket does not accept at once is written later.
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
    close_socket();
  }

 private:
  void connect() {
    start_timeout();
    socket_.async_connect(endpoint_, [self = shared_from_this()](asio::error_code error) {
      if (error) return self->reconnect_later();
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->finish_operation();
    });
  }

  void write() {
    take_batch();
    // The socket's send buffer nearly always has room for the whole batch. A direct write then
    // saves a turn of the event loop, a timer and a completion handler.
    asio::error_code error;
    const std::size_t written = socket_.write_some(asio::buffer(batch_), error);
    if (error && error != asio::error::would_block) return reconnect_later();
    if (written < batch_.size()) write_rest(written);
  }

  void write_rest(std::size_t written) {
    start_timeout();
    asio::async_write(socket_, asio::buffer(batch_.data() + written, batch_.size() - written),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->reconnect_later();
                        self->finish_operation();
                      });
  }

  /// Moves frames from the queue to the batch that is written next. Several frames share one
  /// write, since a packet and a system call for each cost a small machine more than the frame
  /// itself does.
  void take_batch() {
    const auto has_room_for = [this](const std::string& frame) {
      return batch_.size() + frame.size() <= constants::kPeerWriteBytes;
    };
    batch_.clear();
    while (!queue_.empty() && (batch_.empty() || has_room_for(queue_.front()))) {
      batch_ += queue_.front();
      queued_bytes_ -= queue_.front().size();
      queue_.pop_front();
    }
  }

  /// Begins an operation that completes later: connecting, or writing the rest of a batch. After
  /// the time-out the socket is closed, which makes the operation fail.
  void start_timeout() {
    busy_ = true;
    timer_.expires_after(kSendTimeout);
    timer_.async_wait(
        [self = shared_from_this(), operation = ++operation_](asio::error_code error) {
          if (!error && operation == self->operation_) self->close_socket();
        });
  }

  void finish_operation() {
    ++operation_;
    timer_.cancel();
    busy_ = false;
    flush();
  }

  void close_socket() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

  /// Closes the connection and drops its batch. After a pause the queue is flushed again.
  void reconnect_later() {
    close_socket();
    if (closed_) return;
    busy_ = true;
    timer_.expires_after(kReconnectPause);
    const auto operation = ++operation_;
    timer_.async_wait([self = shared_from_this(), operation](asio::error_code error) {
      if (error || operation != self->operation_) return;
      self->busy_ = false;
      self->flush();
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  asio::ip::tcp::endpoint endpoint_;
  std::deque<std::string> queue_;  ///< frames, the oldest first
  std::size_t queued_bytes_ = 0;
  std::string batch_;  ///< the frames that are being written
  /// Number of the present operation or pause. A timer whose cancellation came too late finds a
  /// newer number, and does nothing.
  std::uint64_t operation_ = 0;
  bool busy_ = false;  ///< connecting, writing the rest of a batch, or pausing
  bool closed_ = false;
};

/// A connection that a peer has opened, and from which this side only reads. The pending read keeps
/// the object alive; it ends when the connection does.
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
    // One read often returns several messages, and hardly ever only a part of one.
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                              if (error) return;
                              if (self->receive({self->read_buffer_.data(), size})) self->read();
                            });
  }

  void close() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  /// Passes on the messages that the bytes complete. False when the bytes are not messages; the
  /// caller then ends the connection.
  bool receive(std::string_view bytes) {
    try {
      frames_.append(bytes);
      while (const auto message = frames_.next()) shared_->receiver(decode(*message));
      return true;
    } catch (const std::exception& problem) {
      log_unreadable_message(problem.what());
      return false;
    }
  }

  void log_unreadable_message(const char* why) {
    asio::error_code unknown;
    const auto peer = socket_.remote_endpoint(unknown);
    spdlog::error("a message between controllers from {} can't be read: {}",
                  unknown ? "an unknown address" : peer.address().to_string(), why);
  }

  asio::ip::tcp::socket socket_;
  std::shared_ptr<Shared> shared_;
  std::array<char, constants::kPeerReadBytes> read_buffer_{};
  FrameReader frames_;
};

TcpTransport::TcpTransport(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                           const std::vector<config::Peer>& peers, Receiver receiver)
    : shared_(std::make_shared<Shared>()), acceptor_(io) {
  shared_->receiver = std::move(receiver);
  shared_->max_incoming = peers.size() * kIncomingPerPeer + kIncomingSpare;
  for (const auto& peer : peers)
    peers_[peer.name] = std::make_shared<Outgoing>(io, config::parse_endpoint(peer.endpoint));
  acceptor_.open(listen.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
}

TcpTransport::~TcpTransport() {
  shared_->transport_destroyed = true;
  for (auto& [name, peer] : peers_) peer->close();
  // A copy, since connections remove themselves from the set as they end.
  const auto incoming = shared_->incoming;
  for (auto* connection : incoming) connection->close();
}

void TcpTransport::accept() {
  acceptor_.async_accept(
      [this, shared = shared_](asio::error_code error, asio::ip::tcp::socket socket) {
        if (shared->transport_destroyed || error == asio::error::operation_aborted) return;
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
