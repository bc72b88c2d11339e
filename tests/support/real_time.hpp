/// \file
/// Advances the virtual time of a world with real time, for tests with real processes.
#pragma once

#include <asio.hpp>
#include <chrono>

#include "support/virtual_time.hpp"

namespace elmstall::test {

/// Steps a virtual loop every few milliseconds.
class RealTime {
 public:
  RealTime(asio::io_context& io, VirtualLoop& loop) : loop_(loop), timer_(io) { step(); }

  /// Advances virtual time to the current time. Must be called before an external message is
  /// handled, so that it does not get an earlier time of arrival.
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
