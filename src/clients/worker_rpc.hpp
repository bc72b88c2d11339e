/// @file
/// Command RPCs: commands that a controller sends to a worker directly, instead of in the response
/// to the worker's next heartbeat.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::clients {

/// Outcome of one command RPC.
struct CommandResult {
  /// What is known about the execution of the commands.
  enum class Outcome : std::uint8_t {
    done,      ///< the worker has executed the commands
    refused,   ///< the worker has executed none of them: token or epoch did not match
    not_sent,  ///< nothing was sent, so the worker can't execute any of them
    unknown,   ///< the worker may have executed them, or may still execute them
  };
  Outcome outcome = Outcome::unknown;  ///< determines whether the commands must be repeated
  /// The worker's heartbeat, which the response contains after `done` or `refused`.
  std::optional<wire::WorkerHeartbeat> heartbeat;
};

/// The name of the outcome, for log lines.
[[nodiscard]] constexpr const char* to_text(CommandResult::Outcome outcome) {
  switch (outcome) {
    case CommandResult::Outcome::done:
      return "done";
    case CommandResult::Outcome::refused:
      return "refused";
    case CommandResult::Outcome::not_sent:
      return "not_sent";
    case CommandResult::Outcome::unknown:
      return "unknown";
  }
  return "invalid";
}

/// Sends commands to workers. All calls and callbacks are made on the event loop's thread.
class WorkerRpc {
 public:
  virtual ~WorkerRpc() = default;

  /// Sends commands to the worker at `addr` (`ADDRESS:PORT`). The worker compares the fencing
  /// token and the epoch before it executes any of them (docs/design.md, rules 2 and 3).
  ///
  /// `done` is called once, after this call has returned. It may be called after its receiver has
  /// been destroyed, unless it was wrapped by a `runtime::CommandScope`.
  virtual void send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                             const std::vector<wire::WorkerCommand>& commands,
                             std::function<void(CommandResult)> done) = 0;
};

}  // namespace elmstall::clients
