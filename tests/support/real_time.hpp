/// \file
/// Lets the virtual time of a world pass with real time, for tests with real processes.
#pragma once

#include <asio.hpp>
#include <chrono>

#include "support/virtual_time.hpp"

namespace elmstall::test {

/// Steps a virtual loop every few milliseconds.
class RealTime {
 public:
  RealTime(asio::io_context& io, VirtualLoop& loop) : loop_(loop), timer_(io) { step(); }

  /// Brings virtual time up to the present. To be called before what arrives from outside is
  /// handled, so that it is not taken to have come earlier than it did.
  void advance() {
    const auto passed = std::chrono::steady_clock::now() - started_;
    loop_.run_until(std::chrono::duration<double>(passed).count());
  }

 private:
  void step() {
    advance();
    timer_.expires_after(std::chrono::milliseconds(5));
    timer_.async_wait([this](asio::error_code error) {
      if (!error) step();
    });
  }

  VirtualLoop& loop_;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  asio::steady_timer timer_;
};

}  // namespace elmstall::test
