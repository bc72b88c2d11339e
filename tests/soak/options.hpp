/// \file
/// The command line of the soak test.
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>

#include "soak/plan.hpp"

namespace elmstall::soak {

/// Exit codes of the program.
enum ExitCode : int {
  passed = 0,         ///< no rule was broken
  rule_violated = 1,  ///< a rule was broken, or a controller ended by itself
  not_run = 2,        ///< wrong options, or something that the test needs is missing
  interrupted = 130,
};

/// Options of the soak test.
struct Options {
  std::string binary;               ///< path of the controller's program
  unsigned first_seed = 1;          ///< seeds are first_seed, first_seed + 1, ...
  unsigned seeds = 5;               ///< number of seeds
  std::size_t controllers = 3;      ///< number of controllers
  int workers = 30;                 ///< most machines that the cloud rents
  double duration_s = 30;           ///< seconds in which faults begin
  std::set<FaultKind> kinds;        ///< faults that are drawn
  std::optional<std::string> logs;  ///< folder in which the logs of all seeds are kept
  int port_base = 0;                ///< first of the controllers' ports; 0: free ones
  /// Entries on a page of the state store's lists; few, so that loading takes several requests.
  std::size_t state_page = 20;
};

/// Result of parsing: options, or an exit code if the program must end.
struct CommandLine {
  std::optional<Options> options;
  int exit_code = passed;
};

/// Reads the command line. Errors are printed in one line on standard error.
[[nodiscard]] CommandLine parse_command_line(int argc, char** argv);

}  // namespace elmstall::soak
