// The program: command line, logging and wiring.
#pragma once

namespace elmstall::app {

/// Exit codes, for scripts.
enum ExitCode { ok = 0, usage = 64, bad_settings = 78, cannot_listen = 69, failed = 70 };

int run(int argc, char** argv);

}  // namespace elmstall::app
