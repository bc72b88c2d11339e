/// @file
/// A timer that merges the requests of several callers into one.
#pragma once

#include <utility>

#include "runtime/command_queue.hpp"

namespace elmstall::runtime {

/// Runs a command once after a delay, and ignores further requests until then.
///
/// The event loop and the queue must outlive the timer. A timer that is destroyed before it fires
/// drops its command.
class CoalescingTimer {
 public:
  /// The timer runs on `event_loop` and posts its commands to `queue`.
  CoalescingTimer(EventLoop& event_loop, CommandQueue& queue)
      : event_loop_(event_loop), scope_(queue) {}

  /// Posts `command` to the queue after a delay of `seconds`. Does nothing while the timer is
  /// running: the command and the delay of the earlier request then remain in effect.
  void after(double seconds, Command command) {
    if (std::exchange(armed_, true)) return;
    event_loop_.after(seconds, scope_.wrap([this, command = std::move(command)] {
      armed_ = false;
      command();
    }));
  }

 private:
  EventLoop& event_loop_;
  CommandScope scope_;
  bool armed_ = false;
};

}  // namespace elmstall::runtime
