/// \file
/// Command RPCs of one node to the simulated workers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "clients/worker_rpc.hpp"

namespace elmstall::test {

class FakeWorker;
class World;

/// Carries command RPCs from one node to the workers, with the faults of `World::network`.
class FakeWorkerRpc : public clients::WorkerRpc {
 public:
  /// `node`: index of the node that sends the commands.
  FakeWorkerRpc(World& world, std::size_t node) : world_(world), node_(node) {}
  void send_commands(const std::string& addr, std::uint64_t token, std::uint64_t epoch,
                     const std::vector<wire::WorkerCommand>& commands,
                     std::function<void(clients::CommandResult)> done) override;

 private:
  using Done = std::function<void(clients::CommandResult)>;
  /// Executes the commands on the worker; no result if the machine is lost.
  using Execute = std::function<std::optional<clients::CommandResult>()>;

  /// Called when the worker has executed the commands and its answer is on its way.
  using Answered = std::function<void()>;

  /// The RPC fails after its time limit with this outcome.
  void time_out(const Done& done, clients::CommandResult::Outcome outcome);
  /// The machine hangs: the request is accepted and executed when the machine resumes.
  void execute_after_hang(const FakeWorker& worker, const Execute& execute);
  /// The request is lost, or delayed in the network and executed up to a minute later.
  void lose(const Execute& execute, const Done& done);
  void execute_now(const Execute& execute, const Answered& answered, const Done& done);
  [[nodiscard]] bool request_lost(const FakeWorker& worker);

  World& world_;
  std::size_t node_;
};

}  // namespace elmstall::test
