// A timer that several callers may ask for and that fires once.
#pragma once

#include <utility>

#include "runtime/command_queue.hpp"

namespace elmstall::runtime {

/// Runs a command once after a delay, however often it is asked for meanwhile.
class CoalescingTimer {
 public:
  CoalescingTimer(EventLoop& event_loop, CommandQueue& queue) : loop_(event_loop), scope_(queue) {}

  /// Does nothing while an earlier request has not fired yet.
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

}  // namespace elmstall::runtime
