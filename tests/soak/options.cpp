#include "soak/options.hpp"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <vector>

namespace elmstall::soak {

namespace {

constexpr std::size_t kMaxControllers = 9;  // workers identify them by their last digit
constexpr int kMaxWorkers = 1000;

std::string kind_names() {
  std::string names;
  for (const auto& kind : all_fault_kinds()) names += (names.empty() ? "" : ", ") + to_text(kind);
  return names;
}

std::string check_kind(const std::string& name) {
  return parse_fault_kind(name) ? "" : "no such fault: " + name + "; there are " + kind_names();
}

}  // namespace

CommandLine parse_command_line(int argc, char** argv) {
  Options options;
  std::vector<std::string> kinds;
  std::string logs;
  CLI::App cli(
      "Starts real controllers on loopback addresses, with simulated users, workers, cloud and "
      "state service around them, and checks the rules while faults overlap. A seed draws the same "
      "faults each time; their timing against the processes is not repeatable.",
      "elmstall_soak");
  cli.add_option("--binary", options.binary, "the controller's program")->required();
  cli.add_option("--first-seed", options.first_seed, "first seed")->capture_default_str();
  cli.add_option("--seeds", options.seeds, "number of seeds")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  cli.add_option("--controllers", options.controllers, "number of controllers")
      ->check(CLI::Range(std::size_t{3}, kMaxControllers))
      ->capture_default_str();
  cli.add_option("--workers", options.workers, "most machines that the cloud rents")
      ->check(CLI::Range(2, kMaxWorkers))
      ->capture_default_str();
  cli.add_option("--duration", options.duration_s, "seconds in which faults begin")
      ->check(CLI::Range(5.0, 3600.0))
      ->capture_default_str();
  cli.add_option("--faults", kinds, "faults that are drawn (default: all): " + kind_names())
      ->delimiter(',')
      ->check(CLI::Validator(check_kind, ""));
  cli.add_option("--keep-logs", logs,
                 "folder for the logs of all seeds; those of a seed that fails are kept anyway");
  cli.add_option("--port-base", options.port_base,
                 "first of the controllers' ports on 127.0.0.1 (default: free ones)")
      ->check(CLI::Range(1024, 65'000));
  try {
    cli.parse(argc, argv);
  } catch (const CLI::CallForHelp& help) {
    return {std::nullopt, cli.exit(help)};
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "elmstall_soak: %s\n", error.what());
    return {std::nullopt, not_run};
  }
  if (::access(options.binary.c_str(), X_OK) != 0) {
    std::fprintf(stderr, "elmstall_soak: %s can't be executed\n", options.binary.c_str());
    return {std::nullopt, not_run};
  }
  for (const auto& name : kinds) options.kinds.insert(*parse_fault_kind(name));
  if (kinds.empty()) options.kinds.insert(all_fault_kinds().begin(), all_fault_kinds().end());
  if (!logs.empty()) options.logs = logs;
  return {options, passed};
}

}  // namespace elmstall::soak
