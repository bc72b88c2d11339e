/// @file
/// The event loop of production: `runtime::EventLoop` on Asio.
#pragma once

#include <asio.hpp>
#include <functional>
#include <random>
#include <string>

#include "runtime/event_loop.hpp"

namespace elmstall::app {

/// Steady and calendar time of the machine, random numbers seeded by the operating system, and
/// Asio's timers. The io_context must outlive this object; functions that still wait are destroyed
/// with the io_context.
class AsioEventLoop : public runtime::EventLoop {
 public:
  /// Seeds the random numbers. Throws what std::random_device throws if the system provides none.
  explicit AsioEventLoop(asio::io_context& io);

  [[nodiscard]] double now() const override;
  [[nodiscard]] double wall_time() const override;
  [[nodiscard]] double random() override;
  void after(double seconds, std::function<void()> fn) override;
  void defer(std::function<void()> fn) override;

  /// A random text of up to 40 digits that distinguishes this start of the process from all others.
  [[nodiscard]] std::string make_incarnation();

 private:
  asio::io_context& io_;
  std::mt19937_64 random_;
};

}  // namespace elmstall::app
