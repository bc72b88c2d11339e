/// @file
/// How long machines take to boot, as far as it is planned with.
#pragma once

#include "config/constants.hpp"
#include "wire/cloud.hpp"

namespace elmstall::autoscaler {

/// Typical time from a rental request until a machine of the type is up, seconds. Never 0: a
/// machine that may take no time to boot would be given up the moment it is rented.
[[nodiscard]] inline double boot_time_s(const wire::MachineType& machine_type) {
  return machine_type.ready_s > 0 ? machine_type.ready_s : constants::kBootTimeDefault;
}

}  // namespace elmstall::autoscaler
