/// @file
/// The operators' own settings, beside the platform's settings file: a file of Java-style
/// properties. Its keys are described in docs/operations.md.
#pragma once

#include <filesystem>
#include <string>
#include <vector>

#include "config/constants.hpp"

namespace elmstall::config {

/// The values that operators may tune. The constants that hold the defaults document the units and
/// the effects.
struct Tuning {
  double threshold_tasks = constants::kThresholdTasks;      ///< tasks
  double idle_share = constants::kIdleShare;                ///< share of a machine's boot time
  double headroom_machines = constants::kHeadroomMachines;  ///< machines
  double headroom_share = constants::kHeadroomShare;        ///< share of the ordinary work
  double forecast_share = constants::kForecastShare;        ///< share of the expected change
  double remaining_work_weight = constants::kRemainingWorkWeight;  ///< weight
  double requests_max = constants::kMaxRequestLimit;               ///< requests in progress
};

/// One key of the file: its name, the values it accepts, and the member it sets.
struct Property {
  std::string key;                  ///< name of the property in the file
  std::string unit;                 ///< unit of the value, for listings
  double low = 0;                   ///< smallest accepted value
  double high = 0;                  ///< largest accepted value
  double Tuning::*field = nullptr;  ///< the member that receives the value
  std::string meaning;              ///< what the value does, for listings
};
/// All keys that a file may contain.
[[nodiscard]] const std::vector<Property>& properties();

/// Reads a file; keys that it lacks keep their defaults. Throws SettingsError, which names the file
/// and the key, if the file can't be read, a key is unknown or a value is out of range.
[[nodiscard]] Tuning load_properties(const std::filesystem::path& file);

}  // namespace elmstall::config
