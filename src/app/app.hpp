// The program: command line, logging and wiring.
#pragma once

namespace elmstall::app {

/// Exit codes, for scripts.
enum ExitCode { kOk = 0, kUsage = 64, kBadSettings = 78, kCannotListen = 69, kFailed = 70 };

int run(int argc, char** argv);

}  // namespace elmstall::app
