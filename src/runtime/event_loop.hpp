/// @file
/// Time, randomness and deferred execution, as the single-threaded parts of the program see them.
/// Production code runs on Asio (`app::AsioEventLoop`); tests simulate time.
#pragma once

#include <functional>

namespace elmstall::runtime {

/// The event loop of one controller process. Every call is made on its one thread, and every
/// function that it is given runs there.
///
/// The loop owns the functions and runs them even when the objects that they refer to have been
/// destroyed meanwhile: functions that capture such objects must find out by themselves (see
/// `LifetimeToken` and `CommandScope`).
class EventLoop {
 public:
  virtual ~EventLoop() = default;

  /// Seconds on a steady clock, for measuring how long things take. The origin has no meaning.
  [[nodiscard]] virtual double now() const = 0;

  /// The time of day in seconds since 1970, which may jump.
  [[nodiscard]] virtual double wall_time() const = 0;

  /// A random number in [0, 1).
  [[nodiscard]] virtual double random() = 0;

  /// Runs `fn` once, `seconds` from now. There is no way to cancel it.
  virtual void after(double seconds, std::function<void()> fn) = 0;

  /// Runs `fn` once and as soon as possible, but never from inside this call.
  virtual void defer(std::function<void()> fn) = 0;
};

}  // namespace elmstall::runtime
