/// \file
/// The soak test: real controllers under random faults. See docs/operations.md, "Soak test".
#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>

#include "soak/run.hpp"

namespace elmstall::soak {
namespace {

namespace fs = std::filesystem;

/// Creates a folder for the files of one seed.
fs::path make_folder(const Options& options, unsigned seed) {
  const auto name = fmt::format("elmstall-soak-{}-seed-{}", ::getpid(), seed);
  const auto folder = (options.logs ? fs::path(*options.logs) : fs::temp_directory_path()) / name;
  fs::create_directories(folder);
  return folder;
}

void report(unsigned seed, const RunResult& result, const fs::path& folder) {
  fmt::print("seed {}: {}; {} jobs, {} done, {} starts, {} faults\n", seed,
             result.violations.empty() ? "passed" : "FAILED", result.jobs, result.finished,
             result.starts, result.faults);
  for (const auto& rule : result.violations) fmt::print("  {}\n", rule);
  if (!result.violations.empty()) fmt::print("  history and logs: {}\n", folder.string());
  std::fflush(stdout);
}

/// Runs all seeds; returns the exit code.
int run_seeds(const Options& options) {
  unsigned failed = 0;
  for (unsigned seed = options.first_seed; seed < options.first_seed + options.seeds; ++seed) {
    const auto folder = make_folder(options, seed);
    const auto result = Run(options, seed, folder).execute();
    if (!result.not_run.empty()) {
      std::fprintf(stderr, "elmstall_soak: %s\n", result.not_run.c_str());
      return not_run;
    }
    if (result.interrupted) {
      std::fprintf(stderr, "elmstall_soak: interrupted in seed %u\n", seed);
      return interrupted;
    }
    report(seed, result, folder);
    failed += result.violations.empty() ? 0 : 1;
    if (result.violations.empty() && !options.logs) fs::remove_all(folder);
  }
  fmt::print("{} passed, {} failed\n", options.seeds - failed, failed);
  fmt::print("A seed draws the same faults again; their timing is not repeatable.\n");
  return failed == 0 ? passed : rule_violated;
}

}  // namespace
}  // namespace elmstall::soak

int main(int argc, char** argv) {
  try {
    const auto command_line = elmstall::soak::parse_command_line(argc, argv);
    if (!command_line.options) return command_line.exit_code;
    return elmstall::soak::run_seeds(*command_line.options);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "elmstall_soak: %s\n", error.what());
    return elmstall::soak::not_run;
  }
}
