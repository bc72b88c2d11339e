/// \file
/// One run of the soak test: one seed, from the start of the controllers to its result.
#pragma once

#include <asio.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "soak/site.hpp"

namespace elmstall::soak {

/// Result of a run.
struct RunResult {
  /// Violations in order of occurrence: a rule of the protocol, or `exited`, `withheld`
  /// (a controller withheld a contradicting response) or `unanswered` (75 s after the faults).
  std::vector<std::string> violations;
  std::string not_run;  ///< why the run could not be made; empty if it was
  bool interrupted = false;
  std::size_t jobs = 0;      ///< accepted jobs
  std::size_t finished = 0;  ///< of those, reported as done
  std::size_t starts = 0;    ///< starts of tasks
  std::size_t faults = 0;    ///< faults that were begun
};

/// Runs one seed. The plan and the events of users and workers are written to `history` in the
/// folder.
class Run {
 public:
  Run(const Options& options, unsigned seed, const std::filesystem::path& folder);
  /// Runs until the result is known, or until SIGINT or SIGTERM.
  [[nodiscard]] RunResult execute();

 private:
  void write_plan(const Options& options, unsigned seed);
  /// Continues the run until `end`, in seconds since the start; false if it must stop.
  bool run_until(double end);
  /// Waits until a controller is ready; false if it must stop.
  bool wait_until_ready();
  void submit_base_load();
  void submit_next_job();
  /// Users submit, cancel and poll jobs until `end`.
  void run_user_load(double end);
  /// After the faults: every accepted job must be polled with success in time.
  void verify_recovery();
  [[nodiscard]] std::vector<std::string> jobs_without_answer_since(double begin);
  void check_controllers();
  void search_logs();
  [[nodiscard]] double now() { return site_.world().loop.now(); }

  Options options_;
  std::filesystem::path folder_;
  asio::io_context io_;
  asio::signal_set signals_{io_, SIGINT, SIGTERM};
  Site site_;
  std::vector<PlannedFault> plan_;
  std::ofstream history_;
  RunResult result_;
  int jobs_submitted_ = 0;
  bool controllers_were_ready_ = false;  ///< the controllers were ready once
};

}  // namespace elmstall::soak
