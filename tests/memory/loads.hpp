/// \file
/// The accepted work with which the memory benchmark loads a deployment.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "wire/jobs.hpp"

namespace elmstall::memory {

/// Jobs that are in the records before the first controller starts.
struct Load {
  std::string name;
  std::vector<wire::JobSpec> jobs;
};

/// All loads of the benchmark. `scale` multiplies the number of jobs of each; 1 is the usual size.
[[nodiscard]] std::vector<Load> all_loads(double scale);

}  // namespace elmstall::memory
