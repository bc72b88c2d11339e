// Jobs that several tests use.
#pragma once

#include "wire/types.hpp"

namespace elmstall::test {

/// Takes half a machine of the test world per task.
inline wire::JobSpec array(int number, std::uint32_t tasks, double expect_s = 5) {
  wire::JobSpec job;
  job.id = "job-" + std::to_string(number);
  job.job_class = "batch";
  job.team = "blue";
  job.tasks = tasks;
  job.cpus = 5;
  job.gpus = 1;
  job.memory_gb = 30;
  job.spot = true;
  job.image = "img";
  job.image_gb = 1;
  job.expect_s = expect_s;
  return job;
}

}  // namespace elmstall::test
