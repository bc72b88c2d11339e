/// @file
/// Implementation of `runtime::EventLoop` on Asio.
#pragma once

#include <asio.hpp>
#include <functional>
#include <random>
#include <string>

#include "runtime/event_loop.hpp"

namespace elmstall::app {

/// Uses the system's monotonic and wall clocks, random numbers seeded by the operating system, and
/// Asio's timers. The io_context must outlive this object. Pending functions are destroyed with the
/// io_context, without being called.
class AsioEventLoop : public runtime::EventLoop {
 public:
  /// Seeds the random number generator. Passes on the exception of std::random_device if the system
  /// has no source of randomness.
  explicit AsioEventLoop(asio::io_context& io);

  [[nodiscard]] double now() const override;
  [[nodiscard]] double wall_time() const override;
  [[nodiscard]] double random() override;
  void after(double seconds, std::function<void()> fn) override;
  void defer(std::function<void()> fn) override;

  /// A random text of up to 40 digits that identifies this run of the process.
  [[nodiscard]] std::string make_incarnation();

 private:
  asio::io_context& io_;
  std::mt19937_64 random_;
};

}  // namespace elmstall::app
