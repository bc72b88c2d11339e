/// @file
/// Estimate of the rate at which demand arrives. Pure: no clock, no randomness, no I/O.
#pragma once

#include <cmath>

namespace elmstall::sched {

/// Exponentially weighted rate of arrivals: an arrival `time_constant_s` seconds ago has 1/e
/// of the weight of a new one. All times are in seconds on one steady clock.
class ArrivalRate {
 public:
  /// `start` is the time from which arrivals are counted.
  ArrivalRate(double time_constant_s, double start)
      : time_constant_s_(time_constant_s), start_(start), updated_at_(start) {}

  /// Counts an arrival of `amount`, in any unit.
  void add(double now, double amount) {
    decay(now);
    weighted_sum_ += amount;
  }

  /// The rate in units of `amount` per second. Shortly after the start the sum covers
  /// less than a full averaging window; the rate is corrected for that.
  [[nodiscard]] double per_second(double now) {
    decay(now);
    const double covered_share = 1 - std::exp(-(now - start_) / time_constant_s_);
    return covered_share <= 0 ? 0 : weighted_sum_ / (time_constant_s_ * covered_share);
  }

 private:
  void decay(double now) {
    if (now <= updated_at_) return;
    weighted_sum_ *= std::exp(-(now - updated_at_) / time_constant_s_);
    updated_at_ = now;
  }

  double time_constant_s_;
  double start_;
  double updated_at_;
  double weighted_sum_ = 0;
};

}  // namespace elmstall::sched
