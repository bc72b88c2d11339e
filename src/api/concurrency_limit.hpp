// Limit on user requests in progress that adjusts itself to measured times:
// it shrinks while requests take longer than they did at best, and grows
// while they don't.
#pragma once

#include <algorithm>
#include <cmath>

#include "config/constants.hpp"

namespace elmstall::api {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(double most = constants::kLimitMax) : most_(most) {}

  [[nodiscard]] bool try_enter() {
    if (in_progress_ >= static_cast<int>(limit_)) {
      ++shed_;
      return false;
    }
    ++in_progress_;
    return true;
  }

  /// `seconds`: how long the request took; negative: not a measurement.
  void leave(double seconds) {
    --in_progress_;
    if (seconds < 0) return;
    seconds = std::max(seconds, constants::kLimitFloor);
    // The smallest time seen, slowly forgotten so that it follows the load's
    // own cost over hours.
    best_ = best_ <= 0 ? seconds : std::min(best_ * constants::kLimitForget, seconds);
    recent_ = recent_ <= 0 ? seconds : recent_ + constants::kLearnRate * (seconds - recent_);
    const double gradient = std::clamp(constants::kLimitTolerance * best_ / recent_, 0.5, 1.0);
    const double wanted = limit_ * gradient + std::sqrt(limit_);
    limit_ += constants::kLearnRate * (wanted - limit_);
    limit_ = std::clamp(limit_, constants::kLimitMin, most_);
  }

  [[nodiscard]] double limit() const { return limit_; }
  [[nodiscard]] int in_progress() const { return in_progress_; }
  [[nodiscard]] std::size_t shed() const { return shed_; }

 private:
  double most_;
  double limit_ = constants::kLimitStart;
  double best_ = 0;
  double recent_ = 0;
  int in_progress_ = 0;
  std::size_t shed_ = 0;
};

}  // namespace elmstall::api
