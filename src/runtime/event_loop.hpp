/// @file
/// Interface to time, randomness and deferred execution for the single-threaded parts of the
/// program. The production implementation uses Asio (`app::AsioEventLoop`); tests simulate time.
#pragma once

#include <functional>

namespace elmstall::runtime {

/// The event loop of one controller process. All calls are made on its only thread, and all
/// functions passed to it run there.
///
/// The loop owns the functions and runs them even if the objects that they refer to have been
/// destroyed meanwhile. Functions must therefore check whether such objects still exist (see
/// `LifetimeToken` and `CommandScope`).
class EventLoop {
 public:
  virtual ~EventLoop() = default;

  /// Time of a monotonic clock in seconds, for measuring durations. The origin is arbitrary.
  [[nodiscard]] virtual double now() const = 0;

  /// Time of the system clock in seconds since 1970. It may jump.
  [[nodiscard]] virtual double wall_time() const = 0;

  /// A random number in [0, 1).
  [[nodiscard]] virtual double random() = 0;

  /// Runs `fn` once after `seconds`. It can't be cancelled.
  virtual void after(double seconds, std::function<void()> fn) = 0;

  /// Runs `fn` once, as soon as possible after this call has returned.
  virtual void defer(std::function<void()> fn) = 0;
};

}  // namespace elmstall::runtime
