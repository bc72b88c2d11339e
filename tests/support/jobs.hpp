/// \file
/// Job specs shared by several tests.
#pragma once

#include <string>

#include "wire/types.hpp"

namespace elmstall::test {

/// `job-<number>` of the team without limits; two of its tasks fill a machine of the test world.
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

/// An array that may run in this zone only.
inline wire::JobSpec array_in(const char* zone, int number, std::uint32_t tasks, double expect_s) {
  auto job = array(number, tasks, expect_s);
  job.zone = zone;
  return job;
}

/// Replicas of the highest priority on ordinary machines, spread over the zones.
inline wire::JobSpec service(int number, std::uint32_t tasks) {
  auto job = array(number, tasks);
  job.kind = wire::JobKind::service;
  job.priority = wire::Priority::critical;
  job.job_class = "live";
  job.spot = false;
  job.spread = true;
  job.expect_s = 0;
  return job;
}

/// A service whose replicas may all be in the same zone.
inline wire::JobSpec service_in_any_zone(int number, std::uint32_t tasks) {
  auto job = service(number, tasks);
  job.spread = false;
  return job;
}

/// A gang on ordinary machines that saves checkpoints.
inline wire::JobSpec gang(int number, std::uint32_t tasks, double expect_s = 20) {
  auto job = array(number, tasks, expect_s);
  job.kind = wire::JobKind::gang;
  job.job_class = "joint";
  job.spot = false;
  job.checkpoint_every_s = 5;
  job.checkpoint_s = 2;
  return job;
}

}  // namespace elmstall::test
