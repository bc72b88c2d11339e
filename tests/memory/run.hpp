/// \file
/// One run of the memory benchmark: real controllers that start on the records of a load.
#pragma once

#include <asio.hpp>
#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "memory/loads.hpp"
#include "soak/site.hpp"

namespace elmstall::memory {

/// What one run shows. Memory is the largest resident set of a controller, in MB.
struct RunResult {
  double first_leader_mb = 0;   ///< of the first leader
  double second_leader_mb = 0;  ///< of the one that followed it
  double follower_mb = 0;       ///< of the controllers that did not lead
  /// Seconds until a small job was done that was submitted beside the load: under the first leader
  /// and under the second. Nothing if it was not done in time.
  std::optional<double> first_small_job_s;
  std::optional<double> second_small_job_s;
  std::string failure;  ///< why the run could not be made, or what went wrong; empty if nothing
};

/// Options of a run.
struct RunOptions {
  std::string binary;             ///< the controller's program
  std::filesystem::path folder;   ///< for settings and logs
  double settle_s = 10;           ///< how long each leader is observed under the load alone
  double small_job_limit_s = 60;  ///< how long the small job may take
};

/// Makes one run: the load is recorded, the controllers start, a small job is submitted, the leader
/// is killed, and a small job is submitted to the next one.
class Run {
 public:
  Run(RunOptions options, const Load& load);
  [[nodiscard]] RunResult execute();

 private:
  void record(const Load& load);
  /// Continues for so many seconds; false if a controller ended.
  bool run_for(double seconds);
  bool run_until_ready();
  /// Submits a small job and waits until it is done.
  std::optional<double> run_small_job(int number);
  void check_controllers();
  [[nodiscard]] double now() { return site_.world().loop.now(); }

  RunOptions options_;
  asio::io_context io_;
  soak::Site site_;
  RunResult result_;
};

}  // namespace elmstall::memory
