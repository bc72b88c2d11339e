// The command queue of the one owner of all state.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace elmstall::engine {

using Command = std::function<void()>;

/// Time, chance and waiting, so that tests can drive the engine.
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

/// Commands are taken in batches: all that wait are applied, then what
/// follows from them is decided once.
class CommandQueue {
 public:
  CommandQueue(EventLoop& event_loop, std::function<void()> after_batch)
      : loop_(event_loop), after_batch_(std::move(after_batch)) {}

  void post(Command command) {
    commands_.push_back(std::move(command));
    if (scheduled_) return;
    scheduled_ = true;
    loop_.defer([this, alive = std::weak_ptr<char>(alive_)] {
      if (!alive.expired()) drain();
    });
  }

 private:
  void drain() {
    scheduled_ = false;
    std::vector<Command> batch;
    batch.swap(commands_);
    for (auto& command : batch) command();
    after_batch_();
  }

  EventLoop& loop_;
  std::function<void()> after_batch_;
  std::vector<Command> commands_;
  bool scheduled_ = false;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

/// Turns callbacks of I/O into commands, which are dropped once the object
/// that holds the scope is gone.
class CommandScope {
 public:
  explicit CommandScope(CommandQueue& queue) : queue_(queue) {}

  template <typename Fn>
  [[nodiscard]] auto wrap(Fn fn) {
    return
        [&queue = queue_, alive = std::weak_ptr<char>(alive_), fn = std::move(fn)](auto... args) {
          // The queue may be gone by then as well: it outlives the scope, not the
          // answer.
          if (alive.expired()) return;
          queue.post([alive, fn, ... values = std::move(args)]() mutable {
            if (!alive.expired()) fn(std::move(values)...);
          });
        };
  }

 private:
  CommandQueue& queue_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

/// A wake-up that many may ask for and that comes once.
class Wake {
 public:
  Wake(EventLoop& event_loop, CommandQueue& queue) : loop_(event_loop), scope_(queue) {}

  /// Nothing new while one is to come.
  void after(double seconds, Command command) {
    if (std::exchange(armed_, true)) return;
    loop_.after(seconds, scope_.wrap([this, command = std::move(command)] {
      armed_ = false;
      command();
    }));
  }

 private:
  EventLoop& loop_;
  CommandScope scope_;
  bool armed_ = false;
};

}  // namespace elmstall::engine
