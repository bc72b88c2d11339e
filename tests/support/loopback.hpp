/// \file
/// Addresses for processes that listen some time after their address was chosen.
#pragma once

#include <unistd.h>

#include <asio.hpp>
#include <string>
#include <vector>

namespace elmstall::test {

/// Chooses free addresses of a loopback host that no other process uses. On 127.0.0.1 another
/// process, or the local end of a connection, once took a port before the controller listened on
/// it. So the host part is this process's own.
class LoopbackAddresses {
 public:
  explicit LoopbackAddresses(asio::io_context& io) : io_(io) {}

  /// `ADDRESS:PORT`; none is returned twice.
  std::string next() {
    const auto pid = static_cast<unsigned>(::getpid());
    const auto host = "127." + std::to_string(1 + (pid >> 16) % 250) + "." +
                      std::to_string((pid >> 8) % 256) + "." + std::to_string(pid % 256);
    // Those that were chosen stay open while further ones are chosen.
    probes_.emplace_back(io_, asio::ip::tcp::endpoint{asio::ip::make_address(host), 0});
    return host + ":" + std::to_string(probes_.back().local_endpoint().port());
  }

 private:
  asio::io_context& io_;
  std::vector<asio::ip::tcp::acceptor> probes_;
};

}  // namespace elmstall::test
