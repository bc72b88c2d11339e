/// @file
/// The program: command line, logging, and exit codes.
#pragma once

namespace elmstall::app {

/// Exit codes, for scripts. The values are those of sysexits.h.
enum ExitCode {
  ok = 0,              ///< success; only with --check, --help and --version
  usage = 64,          ///< the command line is invalid
  cannot_listen = 69,  ///< an address to listen on is not available
  failed = 70,         ///< an unexpected error, described on the standard error output
  bad_settings = 78,   ///< a settings file is missing or invalid
};

/// Reads the command line and the settings, and runs a controller until the process is killed.
/// Errors are described on the standard error output. Returns an `ExitCode`.
int run(int argc, char** argv);

}  // namespace elmstall::app
