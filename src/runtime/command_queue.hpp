/// @file
/// The command queue of a controller. The state of a controller is changed only by commands, which
/// this queue runs one after the other on the event loop's thread, so that no lock is needed.
///
/// Lifetime rules:
///  - The event loop outlives the queue, and the queue outlives every `CommandScope` on it.
///  - Destroying the queue drops the pending commands.
///  - Destroying a scope drops all its commands: those pending in the queue, and those of callbacks
///    that are called later.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "runtime/event_loop.hpp"
#include "runtime/lifetime_token.hpp"

namespace elmstall::runtime {

/// One step of work on the state of a controller.
using Command = std::function<void()>;

/// Runs commands in batches: first all pending commands, in the order in which they were posted,
/// and then a function that acts on the combined result of the batch.
class CommandQueue {
 public:
  /// `after_batch` is called after each batch of commands.
  CommandQueue(EventLoop& event_loop, std::function<void()> after_batch)
      : event_loop_(event_loop), after_batch_(std::move(after_batch)) {}

  /// Adds a command to the next batch. It never runs from inside this call; a command that is
  /// posted by another command runs in the following batch.
  void post(Command command) {
    commands_.push_back(std::move(command));
    if (batch_scheduled_) return;
    batch_scheduled_ = true;
    event_loop_.defer([this, lifetime = lifetime_.observe()] {
      if (!lifetime.owner_destroyed()) run_batch();
    });
  }

 private:
  void run_batch() {
    batch_scheduled_ = false;
    std::vector<Command> batch;
    batch.swap(commands_);
    for (auto& command : batch) command();
    after_batch_();
  }

  EventLoop& event_loop_;
  std::function<void()> after_batch_;
  std::vector<Command> commands_;
  bool batch_scheduled_ = false;
  LifetimeToken lifetime_;
};

/// Turns callbacks of I/O and timers into commands. An object holds the scope as a member; since a
/// command is dropped if its scope has been destroyed, it may safely refer to that object.
class CommandScope {
 public:
  /// The commands of this scope are posted to `queue`.
  explicit CommandScope(CommandQueue& queue) : queue_(queue) {}

  /// Returns a callback that posts a command, which calls `fn` with the callback's arguments. The
  /// callback may outlive the scope and the queue; it then does nothing.
  template <typename Fn>
  [[nodiscard]] auto wrap(Fn fn) {
    return
        [&queue = queue_, lifetime = lifetime_.observe(), fn = std::move(fn)](auto... arguments) {
          // If the scope has been destroyed, the queue may have been destroyed as well and must
          // not be accessed.
          if (lifetime.owner_destroyed()) return;
          queue.post([lifetime, fn, ... values = std::move(arguments)]() mutable {
            if (!lifetime.owner_destroyed()) fn(std::move(values)...);
          });
        };
  }

 private:
  CommandQueue& queue_;
  LifetimeToken lifetime_;
};

}  // namespace elmstall::runtime
