// What the rest of the program needs to command workers directly.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.hpp"

namespace elmstall::clients {

struct CommandResult {
  enum class Outcome : std::uint8_t {
    done,     ///< executed
    refused,  ///< nothing was executed: token or epoch did not match
    never,    ///< certainly not executed: the worker was not reached
    unknown,  ///< may have been executed, or may yet be
  };
  Outcome outcome = Outcome::unknown;
  /// The worker's heartbeat after `done` or `refused`.
  std::optional<wire::WorkerHeartbeat> heartbeat;
};

class WorkerRpc {
 public:
  virtual ~WorkerRpc() = default;
  virtual void send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                             const std::vector<wire::WorkerCommand>& commands,
                             std::function<void(CommandResult)> done) = 0;
};

}  // namespace elmstall::clients
