/// \file
/// A TCP proxy on a loopback address that can hold or delay the traffic.
#pragma once

#include <asio.hpp>
#include <memory>
#include <string>

namespace elmstall::soak {

/// Passes connections on to one address. Runs on the loop of `io`.
class TcpProxy {
 public:
  /// Faults of the traffic. May change at any time, also for open connections.
  struct Faults {
    bool hold_requests = false;   ///< nothing passes from the client to the server
    bool hold_responses = false;  ///< nothing passes from the server to the client
    double delay_s = 0;           ///< bytes arrive so many seconds later
  };

  TcpProxy(asio::io_context& io, const asio::ip::tcp::endpoint& upstream);
  ~TcpProxy();
  TcpProxy(const TcpProxy&) = delete;
  TcpProxy& operator=(const TcpProxy&) = delete;

  /// `ADDRESS:PORT` at which it accepts connections.
  [[nodiscard]] std::string address() const;
  [[nodiscard]] Faults& faults() { return shared_->faults; }

 private:
  struct Shared {
    asio::ip::tcp::endpoint upstream;
    Faults faults;
    bool closed = false;
  };
  class Pump;
  void accept();

  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace elmstall::soak
