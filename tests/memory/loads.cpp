#include "memory/loads.hpp"

#include <functional>
#include <utility>

#include "support/jobs.hpp"

namespace elmstall::memory {

namespace {

/// Tasks. Of the gangs, arrays and services of all loads but `small-jobs`.
constexpr std::uint32_t kLargestJob = 100'000;
constexpr double kForTheWholeRun = 3000;  // seconds

/// Numbers of jobs at scale 1.
constexpr int kGangs = 5;
constexpr int kLargeJobs = 1000;
constexpr int kSmallJobs = 5000;
constexpr int kTinyArrays = 20;

using MakeJob = std::function<wire::JobSpec(int number)>;

Load load(std::string name, int count, double scale, const MakeJob& make) {
  Load result{std::move(name), {}};
  const auto scaled = std::max(1, static_cast<int>(count * scale));
  for (int number = 1; number <= scaled; ++number) result.jobs.push_back(make(number));
  return result;
}

/// A task takes so little that the number of tasks of a machine is what bounds it.
wire::JobSpec without_needs(wire::JobSpec job) {
  job.cpus = job.gpus = job.memory_gb = 0;
  return job;
}

/// A service that the small job may preempt.
wire::JobSpec preemptible_service(int number) {
  auto job = test::service_in_any_zone(number, kLargestJob);
  job.priority = wire::Priority::normal;
  return job;
}

wire::JobSpec of_limited_team(wire::JobSpec job) {
  job.team = "red";
  return job;
}

}  // namespace

std::vector<Load> all_loads(double scale) {
  using test::array;
  using test::gang;
  return {
      {"none", {}},
      load("gangs", kGangs, scale, [](int number) { return gang(number, kLargestJob); }),
      load("many-gangs", kLargeJobs, scale, [](int number) { return gang(number, kLargestJob); }),
      load("arrays", kLargeJobs, scale,
           [](int number) { return array(number, kLargestJob, kForTheWholeRun); }),
      load("limited-arrays", kLargeJobs, scale,
           [](int number) { return of_limited_team(array(number, kLargestJob)); }),
      load("services", kLargeJobs, scale, preemptible_service),
      load("arrays-without-needs", kTinyArrays, scale,
           [](int number) { return without_needs(array(number, kLargestJob, kForTheWholeRun)); }),
      load("small-jobs", kSmallJobs, scale,
           [](int number) { return array(number, 1, kForTheWholeRun); }),
  };
}

}  // namespace elmstall::memory
