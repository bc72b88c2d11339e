/// @file
/// Index of the usable machines that have room for more tasks, and the link between machines and
/// the queues of their groups. Only machines whose state has changed are examined, and all of
/// them once per `constants::kReviewInterval`. Runs on the controller's event loop.
#pragma once

#include <cstddef>
#include <vector>

#include "placement/job_queues.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

/// The machines that can receive tasks now.
class MachineIndex {
 public:
  /// All arguments have to outlive this object.
  MachineIndex(const config::Settings& settings, state::Model& model, JobQueues& queues)
      : settings_(settings), model_(model), queues_(queues) {}

  /// Examines all machines that have changed since the last call. `now` is in seconds of
  /// the steady clock.
  void update(double now);
  /// Takes the machine out of the index; its queue returns to its group. To be called before the
  /// machine is removed from the model, too.
  void remove(state::Machine& machine);

  /// Usable machines with room for the smallest task of any job other than a gang.
  [[nodiscard]] const state::MachineSet& with_room() const { return with_room_; }
  /// Usable machines with room for the smallest task of any gang.
  [[nodiscard]] const state::MachineSet& with_room_for_gangs() const {
    return with_room_for_gangs_;
  }
  /// The machines with room, in the order in which queued tasks should fill them.
  [[nodiscard]] std::vector<state::Machine*> in_filling_order() const;
  /// Machines examined by `update` so far: the cost of decisions, for tests and metrics.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  void update_machine(state::Machine& machine, double now);
  void update_worker(const state::Machine& machine);

  const config::Settings& settings_;
  state::Model& model_;
  JobQueues& queues_;
  state::MachineSet with_room_;
  state::MachineSet with_room_for_gangs_;
  std::size_t machines_examined_ = 0;
  double next_review_ = state::kNever;
};

}  // namespace elmstall::placement
