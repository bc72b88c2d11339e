#include "soak/tcp_proxy.hpp"

#include <array>
#include <chrono>
#include <utility>

namespace elmstall::soak {

namespace {

using Clock = std::chrono::steady_clock;

/// Polling interval while bytes are held.
constexpr auto kHoldInterval = std::chrono::milliseconds(10);
constexpr std::size_t kBufferBytes = 16 * 1024;

}  // namespace

/// One direction of one connection. Passes on one chunk at a time, so a delay also limits the rate:
/// messages here are small.
class TcpProxy::Pump : public std::enable_shared_from_this<Pump> {
 public:
  Pump(std::shared_ptr<asio::ip::tcp::socket> from, std::shared_ptr<asio::ip::tcp::socket> to,
       std::shared_ptr<Shared> shared, bool Faults::*hold)
      : from_(std::move(from)),
        to_(std::move(to)),
        shared_(std::move(shared)),
        hold_(hold),
        timer_(from_->get_executor()) {}

  void read() {
    from_->async_read_some(asio::buffer(buffer_), [self = shared_from_this()](
                                                      asio::error_code error, std::size_t size) {
      if (error) return self->end();
      self->size_ = size;
      const auto delay = std::chrono::duration<double>(self->shared_->faults.delay_s);
      self->due_ = Clock::now() + std::chrono::duration_cast<Clock::duration>(delay);
      self->pass_on();
    });
  }

 private:
  void pass_on() {
    if (shared_->closed) return end();
    const bool held = shared_->faults.*hold_;
    if (!held && Clock::now() >= due_) return write();
    timer_.expires_at(held ? Clock::now() + kHoldInterval : due_);
    timer_.async_wait([self = shared_from_this()](asio::error_code) { self->pass_on(); });
  }

  void write() {
    asio::async_write(*to_, asio::buffer(buffer_.data(), size_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        if (error) return self->end();
                        self->read();
                      });
  }

  void end() {
    asio::error_code ignored;
    from_->close(ignored);
    to_->close(ignored);
  }

  std::shared_ptr<asio::ip::tcp::socket> from_;
  std::shared_ptr<asio::ip::tcp::socket> to_;
  std::shared_ptr<Shared> shared_;
  bool Faults::*hold_;
  asio::steady_timer timer_;
  std::array<char, kBufferBytes> buffer_{};
  std::size_t size_ = 0;
  Clock::time_point due_;
};

TcpProxy::TcpProxy(asio::io_context& io, const asio::ip::tcp::endpoint& upstream)
    : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
  shared_->upstream = upstream;
  accept();
}

TcpProxy::~TcpProxy() { shared_->closed = true; }

std::string TcpProxy::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void TcpProxy::accept() {
  auto client = std::make_shared<asio::ip::tcp::socket>(acceptor_.get_executor());
  acceptor_.async_accept(*client, [this, client, shared = shared_](asio::error_code error) {
    if (shared->closed || error == asio::error::operation_aborted) return;
    accept();
    if (error) return;
    auto server = std::make_shared<asio::ip::tcp::socket>(client->get_executor());
    server->async_connect(shared->upstream, [client, server, shared](asio::error_code failed) {
      asio::error_code ignored;
      if (failed || shared->closed) {
        client->close(ignored);
        return;
      }
      client->set_option(asio::ip::tcp::no_delay(true), ignored);
      server->set_option(asio::ip::tcp::no_delay(true), ignored);
      std::make_shared<Pump>(client, server, shared, &Faults::hold_requests)->read();
      std::make_shared<Pump>(server, client, shared, &Faults::hold_responses)->read();
    });
  });
}

}  // namespace elmstall::soak
