// Rate at which demand arrives. Pure.
#pragma once

#include <cmath>

namespace elmstall::sched {

class ArrivalRate {
 public:
  ArrivalRate(double memory_s, double start) : memory_s_(memory_s), start_(start), last_(start) {}

  void add(double now, double amount) {
    decay(now);
    level_ += amount;
  }

  /// Amount per second. Young counters are not taken for low rates.
  [[nodiscard]] double per_second(double now) {
    decay(now);
    const double seen = 1 - std::exp(-(now - start_) / memory_s_);
    return seen <= 0 ? 0 : level_ / (memory_s_ * seen);
  }

 private:
  void decay(double now) {
    if (now <= last_) return;
    level_ *= std::exp(-(now - last_) / memory_s_);
    last_ = now;
  }
  double memory_s_;
  double start_;
  double last_;
  double level_ = 0;
};

}  // namespace elmstall::sched
