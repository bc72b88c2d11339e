// The command queue of a controller: the one owner of all state runs commands in
// batches, on the event loop's thread.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "runtime/event_loop.hpp"

namespace elmstall::runtime {

using Command = std::function<void()>;

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

}  // namespace elmstall::runtime
