// Time, randomness and deferred execution, as the single-threaded parts of the
// program see them. Production code runs on Asio; tests drive simulated time.
#pragma once

#include <functional>

namespace elmstall::runtime {

/// The event loop of one controller process. Every call is made on its one thread.
class EventLoop {
 public:
  virtual ~EventLoop() = default;
  [[nodiscard]] virtual double now() const = 0;   ///< steady, seconds
  [[nodiscard]] virtual double wall() const = 0;  ///< time of day, seconds since 1970
  [[nodiscard]] virtual double random() = 0;      ///< in [0, 1)
  virtual void after(double seconds, std::function<void()> fn) = 0;
  /// Runs `fn` soon, not from inside the call.
  virtual void defer(std::function<void()> fn) = 0;
};

}  // namespace elmstall::runtime
