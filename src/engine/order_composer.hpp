// Which commands a machine is to be given now.
#pragma once

#include <vector>

#include "engine/gang_coordinator.hpp"
#include "engine/model.hpp"

namespace elmstall::engine {

class OrderComposer {
 public:
  OrderComposer(const config::Settings& settings, Model& model, const GroupCommit& group_commit,
                GangCoordinator& gangs)
      : settings_(settings), model_(model), group_commit_(group_commit), gangs_(gangs) {}

  /// All that is due there; `starting`: also what starts a task.
  [[nodiscard]] std::vector<wire::Order> compose(Host& host, double now, bool starting);
  /// What no answer that renews the machine's lease may lack.
  [[nodiscard]] static std::vector<wire::Order> cancellations(const Host& host);

 private:
  using Orders = std::vector<wire::Order>;

  void add_clears(const Host& host, Orders& orders);
  static void add_stop(Task& task, double now, Orders& orders);
  /// The machine may be told to run the task.
  [[nodiscard]] bool run_due(const Task& task, const Host& host);
  [[nodiscard]] bool may_clear(const Exited& exited);

  const config::Settings& settings_;
  Model& model_;
  const GroupCommit& group_commit_;
  GangCoordinator& gangs_;
};

}  // namespace elmstall::engine
