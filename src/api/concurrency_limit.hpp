/// @file
/// A limit on the number of user requests in progress that adjusts itself to the measured
/// response times: it shrinks while requests take much longer than the best ones did, which is
/// the sign of overload, and grows otherwise. Requests beyond the limit are shed.
///
/// Time is measured by the caller. Runs on the controller's event loop.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "config/constants.hpp"

namespace elmstall::api {

/// Every successful `try_enter` must be followed by exactly one `leave`.
class ConcurrencyLimit {
 public:
  /// To be passed to `leave` for a request whose time says nothing about this controller's load.
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
    // The best time grows a little with each measurement, so that it follows changes of the
    // requests' own cost over hours.
    best_s_ = best_s_ <= 0 ? seconds : std::min(best_s_ * constants::kShortestTimeGrowth, seconds);
    recent_s_ = recent_s_ <= 0
                    ? seconds
                    : recent_s_ + constants::kMovingAverageWeight * (seconds - recent_s_);
    const double gradient =
        std::clamp(constants::kOverloadTimeRatio * best_s_ / recent_s_, kGradientMin, 1.0);
    // The square root lets the limit grow as long as the gradient does not push it down.
    const double wanted = limit_ * gradient + std::sqrt(limit_);
    limit_ += constants::kMovingAverageWeight * (wanted - limit_);
    limit_ = std::clamp(limit_, constants::kMinRequestLimit, maximum_);
  }

  /// Requests that may be in progress at once, at present. Fractions count as nothing.
  [[nodiscard]] double limit() const { return limit_; }
  /// Requests that have entered and not left yet.
  [[nodiscard]] int in_progress() const { return in_progress_; }
  /// Requests that were shed since the start.
  [[nodiscard]] std::size_t shed() const { return shed_; }

 private:
  /// Ratio. A single measurement asks for no less than this part of the limit, so that a few
  /// slow requests do not shed all others.
  static constexpr double kGradientMin = 0.5;

  double maximum_;
  double limit_ = constants::kInitialRequestLimit;
  double best_s_ = 0;    ///< the best time of a request, seconds; 0: none measured yet
  double recent_s_ = 0;  ///< the moving average of recent times, seconds; 0: none measured yet
  int in_progress_ = 0;
  std::size_t shed_ = 0;
};

}  // namespace elmstall::api
