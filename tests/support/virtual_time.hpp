/// \file
/// Virtual time, which advances only when the test runs the loop.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "runtime/command_queue.hpp"

namespace elmstall::test {

/// Runs events in the order of their time; events of the same time run in the order in which they
/// were added.
class VirtualLoop {
 public:
  [[nodiscard]] double now() const { return now_; }
  void at(double when, std::function<void()> fn) {
    events_.emplace(std::max(when, now_), std::move(fn));
  }
  void after(double delay, std::function<void()> fn) { at(now_ + delay, std::move(fn)); }
  void run_until(double end) {
    while (!events_.empty() && events_.begin()->first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

 private:
  double now_ = 0;
  std::multimap<double, std::function<void()>> events_;
};

/// The event loop of one controller process. Its timers do not run once it is destroyed.
class VirtualEventLoop : public runtime::EventLoop {
 public:
  /// `rate`: how fast its steady clock runs; 1 is exact.
  VirtualEventLoop(VirtualLoop& loop, unsigned seed, double rate = 1)
      : loop_(loop), random_(seed), rate_(rate) {}
  [[nodiscard]] double now() const override { return loop_.now() * rate_; }
  [[nodiscard]] double wall_time() const override { return 1.7e9 + loop_.now(); }
  [[nodiscard]] double random() override {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  void after(double seconds, std::function<void()> fn) override {
    loop_.after(seconds / rate_,
                [this, alive = std::weak_ptr<char>(alive_), fn = std::move(fn)]() mutable {
                  if (alive.expired()) return;
                  // Clocks continue while the process is frozen; its timers run when it resumes.
                  if (loop_.now() < frozen_until_)
                    return after((frozen_until_ - loop_.now()) * rate_, std::move(fn));
                  fn();
                });
  }
  /// Freezes the process for so many seconds.
  void freeze(double seconds) { frozen_until_ = loop_.now() + seconds; }
  void defer(std::function<void()> fn) override { after(0.0002, std::move(fn)); }

 private:
  VirtualLoop& loop_;
  std::mt19937 random_;
  double rate_;
  double frozen_until_ = -1;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace elmstall::test
