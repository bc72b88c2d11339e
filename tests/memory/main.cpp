/// \file
/// The memory benchmark: how much memory real controllers take for accepted work. See
/// docs/operations.md, "Memory".
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "memory/bound.hpp"
#include "memory/run.hpp"

namespace elmstall::memory {
namespace {

namespace fs = std::filesystem;

/// Exit codes of the program.
enum ExitCode : int { passed = 0, above_bound = 1, not_run = 2 };

std::string seconds(const std::optional<double>& value) {
  return value ? fmt::format("{:.1f}", *value) : "-";
}

/// Makes the run of one load and prints its row; returns whether all is within the bound.
bool run_load(const RunOptions& options, const Load& load) {
  fs::create_directories(options.folder);
  const auto result = Run(options, load).execute();
  const double bound_mb = memory_bound_mb(load.jobs.size());
  const double most_mb =
      std::max({result.first_leader_mb, result.second_leader_mb, result.follower_mb});
  const bool small_jobs_done = result.first_small_job_s && result.second_small_job_s;
  const bool ok = result.failure.empty() && small_jobs_done && most_mb <= bound_mb;
  fmt::print("{:<22} {:>6} {:>7.1f} {:>7.1f} {:>8.1f} {:>6.1f} {:>6} {:>6}  {}\n", load.name,
             load.jobs.size(), result.first_leader_mb, result.second_leader_mb, result.follower_mb,
             bound_mb, seconds(result.first_small_job_s), seconds(result.second_small_job_s),
             ok ? "ok" : "FAILED " + result.failure);
  std::fflush(stdout);
  if (ok) fs::remove_all(options.folder);
  return ok;
}

/// What the command line asks for.
struct Request {
  std::string binary;
  double scale = 1;
  double settle_s = 10;
  double small_job_limit_s = 60;
  std::vector<std::string> names;  ///< of the loads to run; empty: all
};

int run_all(const Request& request) {
  fmt::print("{:<22} {:>6} {:>7} {:>7} {:>8} {:>6} {:>6} {:>6}\n", "load", "jobs", "leader", "next",
             "follower", "bound", "small", "next");
  int runs = 0;
  int failed = 0;
  for (const auto& load : all_loads(request.scale)) {
    const auto& names = request.names;
    if (!names.empty() && std::find(names.begin(), names.end(), load.name) == names.end()) continue;
    RunOptions options;
    options.binary = request.binary;
    options.settle_s = request.settle_s;
    options.small_job_limit_s = request.small_job_limit_s;
    options.folder =
        fs::temp_directory_path() / fmt::format("elmstall-memory-{}-{}", ::getpid(), ++runs);
    failed += run_load(options, load) ? 0 : 1;
  }
  fmt::print("Memory in MB, the largest resident set; small jobs in seconds until done.\n");
  fmt::print("{} passed, {} failed\n", runs - failed, failed);
  if (runs == 0) return not_run;
  return failed == 0 ? passed : above_bound;
}

}  // namespace
}  // namespace elmstall::memory

int main(int argc, char** argv) {
  CLI::App cli("Measures the memory that real controllers take for accepted work.",
               "elmstall_memory");
  elmstall::memory::Request request;
  cli.add_option("--binary", request.binary, "the controller's program")->required();
  cli.add_option("--scale", request.scale, "factor for the numbers of jobs")
      ->check(CLI::Range(0.001, 100.0));
  cli.add_option("--settle", request.settle_s, "seconds for which each leader has the load alone")
      ->check(CLI::Range(1.0, 3600.0));
  cli.add_option("--small-job", request.small_job_limit_s, "seconds that a small job may take")
      ->check(CLI::Range(1.0, 3600.0));
  cli.add_option("--load", request.names, "names of the loads to run (default: all)")
      ->delimiter(',');
  try {
    cli.parse(argc, argv);
    return elmstall::memory::run_all(request);
  } catch (const CLI::ParseError& error) {
    return cli.exit(error) == 0 ? elmstall::memory::passed : elmstall::memory::not_run;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "elmstall_memory: %s\n", error.what());
    return elmstall::memory::not_run;
  }
}
