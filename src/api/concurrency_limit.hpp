/// @file
/// An adaptive limit on the number of user requests in progress: it shrinks while response times
/// are much longer than the shortest ones, which indicates overload, and grows otherwise. Requests
/// beyond the limit are shed.
///
/// The caller passes the durations of requests. Runs on the controller's event loop.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "config/constants.hpp"

namespace elmstall::api {

/// Every successful `try_enter` must be followed by exactly one `leave`.
class ConcurrencyLimit {
 public:
  /// Passed to `leave` for a request whose duration does not reflect this controller's load.
  static constexpr double kNotMeasured = -1;

  /// `maximum`: requests in progress that the limit never exceeds.
  explicit ConcurrencyLimit(double maximum = constants::kMaxRequestLimit) : maximum_(maximum) {}

  /// Counts a request as in progress. False when the limit is reached: the request is shed.
  [[nodiscard]] bool try_enter() {
    if (in_progress_ >= static_cast<int>(limit_)) {
      ++shed_;
      return false;
    }
    ++in_progress_;
    return true;
  }

  /// Ends a request and adjusts the limit.
  /// `seconds`: how long the request took. Negative values (`kNotMeasured`) adjust nothing.
  void leave(double seconds) {
    --in_progress_;
    if (seconds < 0) return;
    seconds = std::max(seconds, constants::kMinMeasuredRequestTime);
    // The shortest time grows a little with each request, so that it follows changes of the
    // requests' own cost over hours.
    shortest_s_ = shortest_s_ <= 0
                      ? seconds
                      : std::min(shortest_s_ * constants::kShortestTimeGrowth, seconds);
    recent_s_ = recent_s_ <= 0
                    ? seconds
                    : recent_s_ + constants::kMovingAverageWeight * (seconds - recent_s_);
    const double gradient =
        std::clamp(constants::kOverloadTimeRatio * shortest_s_ / recent_s_, kGradientMin, 1.0);
    // With the square root the limit grows as long as the gradient is close to 1.
    const double target = limit_ * gradient + std::sqrt(limit_);
    limit_ += constants::kMovingAverageWeight * (target - limit_);
    limit_ = std::clamp(limit_, constants::kMinRequestLimit, maximum_);
  }

  /// Number of requests that may be in progress at present, of which only the whole part counts.
  [[nodiscard]] double limit() const { return limit_; }
  /// Requests that have entered and not left yet.
  [[nodiscard]] int in_progress() const { return in_progress_; }
  /// Requests that were shed since the start.
  [[nodiscard]] std::size_t shed() const { return shed_; }

 private:
  /// Ratio. Lower bound of the gradient, so that a few slow requests do not cause all others to be
  /// shed.
  static constexpr double kGradientMin = 0.5;

  double maximum_;
  double limit_ = constants::kInitialRequestLimit;
  double shortest_s_ = 0;  ///< the shortest time of a request, seconds; 0: none yet
  double recent_s_ = 0;    ///< the moving average of recent times, seconds; 0: none yet
  int in_progress_ = 0;
  std::size_t shed_ = 0;
};

}  // namespace elmstall::api
