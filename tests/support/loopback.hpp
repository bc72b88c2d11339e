/// \file
/// Addresses for processes that listen some time after their address was chosen.
#pragma once

#include <unistd.h>

#include <asio.hpp>
#include <string>
#include <vector>

namespace elmstall::test {

/// Chooses free addresses on a loopback host that is derived from the process id: on 127.0.0.1
/// another process, or the local end of a connection, can take the port before the controller
/// listens on it.
class LoopbackAddresses {
 public:
  explicit LoopbackAddresses(asio::io_context& io) : io_(io) {}

  /// `ADDRESS:PORT`; none is returned twice.
  std::string next() {
    const auto pid = static_cast<unsigned>(::getpid());
    const auto host = "127." + std::to_string(1 + (pid >> 16) % 250) + "." +
                      std::to_string((pid >> 8) % 256) + "." + std::to_string(pid % 256);
    // Chosen ports stay open, so that none is chosen twice.
    probes_.emplace_back(io_, asio::ip::tcp::endpoint{asio::ip::make_address(host), 0});
    return host + ":" + std::to_string(probes_.back().local_endpoint().port());
  }

 private:
  asio::io_context& io_;
  std::vector<asio::ip::tcp::acceptor> probes_;
};

}  // namespace elmstall::test
