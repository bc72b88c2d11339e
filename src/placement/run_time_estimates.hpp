/// @file
/// Corrections of the run times that owners expect of their tasks, derived from completed tasks per
/// class of jobs. Expected run times are often wrong, and on some days all of them in the same
/// direction. Kept in memory only; runs on the controller's event loop.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "config/constants.hpp"

namespace elmstall::placement {

/// Running average, for each class of jobs, of the actual to the expected run time.
class RunTimeEstimates {
 public:
  /// Updates the average with the run time of a completed task, in seconds. Has no effect unless
  /// both times are positive.
  void learn(const std::string& job_class, double expected_s, double actual_s) {
    if (expected_s <= 0 || actual_s <= 0) return;
    const double ratio = std::clamp(actual_s / expected_s, kMinRatio, kMaxRatio);
    auto& average = average_ratios_.try_emplace(job_class, kInitialRatio).first->second;
    average += constants::kMovingAverageWeight * (ratio - average);
  }

  /// Seconds that a task of this class with this expected run time is likely to take.
  [[nodiscard]] double run_time(const std::string& job_class, double expected_s) const {
    if (expected_s <= 0) return constants::kDefaultTaskTime;
    const auto found = average_ratios_.find(job_class);
    return expected_s * (found == average_ratios_.end() ? kInitialRatio : found->second);
  }

 private:
  /// Ratios. The ratio of each task is clamped to these bounds, so that a single wrong expectation
  /// does not distort the average.
  static constexpr double kMinRatio = 0.1;
  static constexpr double kMaxRatio = 10.0;
  /// Ratio. Expected run times are used unchanged until a task of the class has completed.
  static constexpr double kInitialRatio = 1.0;

  std::map<std::string, double> average_ratios_;
};

}  // namespace elmstall::placement
