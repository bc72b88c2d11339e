// Operators' own settings, beyond the platform's file: Java-style properties.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "config/constants.hpp"

namespace elmstall::config {

/// What operators may tune. The defaults are the project's own constants.
struct Tuning {
  double threshold_tasks = constants::kThresholdTasks;
  double idle_share = constants::kIdleShare;
  double headroom_machines = constants::kHeadroomMachines;
  double headroom_share = constants::kHeadroomShare;
  double foresight = constants::kForesight;
  double small_first = constants::kSmallFirst;
  double requests_max = constants::kLimitMax;
};

/// One key, for documentation and checks.
struct Property {
  std::string key;
  std::string unit;
  double low = 0;
  double high = 0;
  double Tuning::*field = nullptr;
  std::string meaning;
};
[[nodiscard]] const std::vector<Property>& properties();

/// Throws SettingsError, which names file and key, for what is unreadable, unknown
/// or out of range.
[[nodiscard]] Tuning load_properties(const std::filesystem::path& file);

}  // namespace elmstall::config
