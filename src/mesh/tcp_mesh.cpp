#include "mesh/tcp_mesh.hpp"

#include <spdlog/spdlog.h>

#include <array>
#include <deque>

#include "config/constants.hpp"
#include "net/http_server.hpp"

namespace elmstall::mesh {
namespace {

std::string frame(const std::string& body) {
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string text(4, '\0');
  for (unsigned i = 0; i < 4; ++i) text[i] = static_cast<char>((size >> (8 * i)) & 0xff);
  return text + body;
}

std::uint32_t frame_size(const std::array<unsigned char, 4>& head) {
  std::uint32_t size = 0;
  for (unsigned i = 0; i < 4; ++i) size |= static_cast<std::uint32_t>(head[i]) << (8 * i);
  return size;
}

constexpr auto kReconnectPause = std::chrono::milliseconds(500);
constexpr auto kSendLimit = std::chrono::seconds(3);

}  // namespace

/// Connection to one peer; connects when there is something to send.
class TcpMesh::Outgoing : public std::enable_shared_from_this<Outgoing> {
 public:
  Outgoing(asio::io_context& io, asio::ip::tcp::endpoint endpoint)
      : socket_(io), timer_(io), endpoint_(std::move(endpoint)) {}

  void send(std::string text) {
    // A peer that takes nothing must not fill our memory: the oldest news
    // is the least worth.
    queue_.push_back(std::move(text));
    bytes_ += queue_.back().size();
    while (bytes_ > constants::kMaxMeshBytes && queue_.size() > 1) {
      bytes_ -= queue_.front().size();
      queue_.pop_front();
    }
    if (!busy_) next();
  }

  void close() {
    closed_ = true;
    reset();
  }

 private:
  void next() {
    if (closed_ || queue_.empty()) return;
    busy_ = true;
    timer_.expires_after(kSendLimit);
    timer_.async_wait([self = shared_from_this(), round = ++round_](asio::error_code error) {
      if (!error && round == self->round_) self->reset();
    });
    if (socket_.is_open()) return write();
    socket_.async_connect(endpoint_, [self = shared_from_this()](asio::error_code error) {
      if (error) return self->retry();
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void write() {
    current_ = std::move(queue_.front());
    queue_.pop_front();
    bytes_ -= current_.size();
    asio::async_write(socket_, asio::buffer(current_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->retry();
                        ++self->round_;
                        self->timer_.cancel();
                        self->busy_ = false;
                        self->next();
                      });
  }

  void reset() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

  void retry() {
    reset();
    if (closed_) return;
    timer_.expires_after(kReconnectPause);
    timer_.async_wait([self = shared_from_this(), round = ++round_](asio::error_code error) {
      if (error || round != self->round_) return;
      self->busy_ = false;
      self->next();
    });
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  asio::ip::tcp::endpoint endpoint_;
  std::deque<std::string> queue_;
  std::size_t bytes_ = 0;
  std::string current_;
  std::uint64_t round_ = 0;
  bool busy_ = false;
  bool closed_ = false;
};

class TcpMesh::Incoming : public std::enable_shared_from_this<Incoming> {
 public:
  Incoming(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), shared_(std::move(shared)) {
    shared_->incoming.insert(this);
  }
  ~Incoming() { shared_->incoming.erase(this); }

  void read() {
    asio::async_read(socket_, asio::buffer(head_),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                       if (error) return;
                       const auto size = frame_size(self->head_);
                       if (size > constants::kMaxMeshBytes) return self->refuse("it is too large");
                       self->body_.resize(size);
                       self->read_body();
                     });
  }

  void close() {
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read_body() {
    asio::async_read(socket_, asio::buffer(body_),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                       if (error) return;
                       try {
                         self->shared_->receiver(decode(self->body_));
                       } catch (const std::exception& problem) {
                         return self->refuse(problem.what());
                       }
                       self->read();
                     });
  }

  /// Not one of ours: the connection ends with this object.
  void refuse(const char* why) {
    asio::error_code unknown;
    const auto peer = socket_.remote_endpoint(unknown);
    spdlog::error("a message between controllers from {} can't be read: {}",
                  unknown ? "an unknown address" : peer.address().to_string(), why);
  }

  asio::ip::tcp::socket socket_;
  std::shared_ptr<Shared> shared_;
  std::array<unsigned char, 4> head_{};
  std::string body_;
};

TcpMesh::TcpMesh(asio::io_context& io, const asio::ip::tcp::endpoint& listen,
                 const std::vector<config::Peer>& peers, Receiver receiver)
    : shared_(std::make_shared<Shared>()), acceptor_(io) {
  shared_->receiver = std::move(receiver);
  // A peer that lost its connection silently opens another one.
  shared_->max_incoming = peers.size() * 4 + 4;
  for (const auto& peer : peers)
    peers_[peer.name] = std::make_shared<Outgoing>(io, net::parse_endpoint(peer.endpoint));
  acceptor_.open(listen.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
}

TcpMesh::~TcpMesh() {
  shared_->closed = true;
  for (auto& [name, peer] : peers_) peer->close();
  for (auto* connection : std::unordered_set<Incoming*>(shared_->incoming)) connection->close();
}

void TcpMesh::accept() {
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

void TcpMesh::broadcast(const Message& message) {
  const auto text = frame(encode(message));
  for (auto& [name, peer] : peers_) peer->send(text);
}

void TcpMesh::send(const std::string& node, const Message& message) {
  const auto found = peers_.find(node);
  if (found != peers_.end()) found->second->send(frame(encode(message)));
}

}  // namespace elmstall::mesh
