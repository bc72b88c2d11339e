// Learned run times: owners' estimates are often wrong, on some days all in
// one direction.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "config/constants.hpp"

namespace elmstall::placement {

class RunTimeEstimates {
 public:
  void learn(const std::string& job_class, double expected_s, double actual_s) {
    if (expected_s <= 0 || actual_s <= 0) return;
    const double ratio = std::clamp(actual_s / expected_s, 0.1, 10.0);
    auto& known = ratios_.try_emplace(job_class, 1.0).first->second;
    known += constants::kLearnRate * (ratio - known);
  }
  /// Seconds that a task of this class with this estimate is likely to run.
  [[nodiscard]] double run_time(const std::string& job_class, double expected_s) const {
    if (expected_s <= 0) return constants::kDefaultTaskTime;
    const auto found = ratios_.find(job_class);
    return expected_s * (found == ratios_.end() ? 1.0 : found->second);
  }

 private:
  std::map<std::string, double> ratios_;
};

}  // namespace elmstall::placement
