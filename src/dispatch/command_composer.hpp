// Which commands a machine is to be given now.
#pragma once

#include <vector>

#include "placement/gang_coordinator.hpp"
#include "state/model.hpp"

namespace elmstall::dispatch {

class CommandComposer {
 public:
  CommandComposer(const config::Settings& settings, state::Model& model,
                  const state::GroupCommit& group_commit, placement::GangCoordinator& gangs)
      : settings_(settings), model_(model), group_commit_(group_commit), gangs_(gangs) {}

  /// All that is due there; `starting`: also what starts a task.
  [[nodiscard]] std::vector<wire::WorkerCommand> compose(state::Machine& machine, double now,
                                                         bool starting);
  /// What no answer that renews the machine's lease may lack.
  [[nodiscard]] static std::vector<wire::WorkerCommand> cancellations(
      const state::Machine& machine);

 private:
  using Commands = std::vector<wire::WorkerCommand>;

  void add_clears(const state::Machine& machine, Commands& commands);
  static void add_stop(state::Task& task, double now, Commands& commands);
  /// The machine may be told to run the task.
  [[nodiscard]] bool run_due(const state::Task& task, const state::Machine& machine);
  [[nodiscard]] bool may_clear(const state::TaskAttempt& exited);

  const config::Settings& settings_;
  state::Model& model_;
  const state::GroupCommit& group_commit_;
  placement::GangCoordinator& gangs_;
};

}  // namespace elmstall::dispatch
