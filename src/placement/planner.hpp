// Decides, once per batch of commands, which task goes where.
#pragma once

#include "placement/gang_coordinator.hpp"
#include "placement/run_time_estimates.hpp"
#include "sched/group.hpp"
#include "state/model.hpp"

namespace elmstall::placement {

class Planner {
 public:
  Planner(const config::Settings& settings, state::Model& model, RunTimeEstimates& estimates,
          GangCoordinator& gangs)
      : settings_(settings), model_(model), estimates_(estimates), gangs_(gangs) {}

  void decide(double now);
  /// The task acts as an unrecorded delegate no list any more.
  void dequeue(state::Task& task);
  /// The machine takes no tasks, or is about to be forgotten.
  void remove_worker(state::Machine& machine);
  [[nodiscard]] static bool usable(const state::Machine& machine, double now,
                                   const config::Settings& settings);
  [[nodiscard]] const std::map<std::string, sched::Group>& groups() const { return groups_; }
  /// Moves made by equation (1) so far.
  [[nodiscard]] std::size_t moves() const { return moves_; }
  /// Machines looked at so far: what a decision costs, for tests and metrics.
  [[nodiscard]] std::size_t steps() const { return steps_; }

 private:
  struct Candidate {
    state::Machine* machine = nullptr;
    double score = 0;
    std::vector<state::Task*> victims;
  };

  /// What is listed of a job acts as an unrecorded delegate the lists like this.
  struct QueuePosition {
    int precedence = 0;
    int tier = 0;
    double due = 0;
    double work_s = 0;
  };
  /// The largest room for which no startable task was found in this round.
  using Misses = std::map<std::pair<std::string, bool>, std::vector<sched::Amount>>;

  void update_worker(state::Machine& machine, double now);
  void update_workers(double now);
  /// What of a block or job stands in the lists.
  struct Listed {
    std::size_t waiting = 0;  ///< tasks that wait, in the lists or not
    bool whole = true;        ///< none of them waits outside
  };
  Listed list_block(state::Job& job, state::Block& block, double now);
  /// Puts the job's waiting tasks into the lists; true when all are there.
  bool list_job(state::Job& job, double now);
  void queue_blocks(double now);
  void enlist(const state::Job& job, const std::vector<state::Task*>& tasks, double now);
  [[nodiscard]] QueuePosition queue_position(const state::Job& job, double now) const;
  void reorder(double now);
  void settle_planned(double now);
  void place_direct(double now);
  bool place_service(state::Job& job, double now);
  /// Machines with room, in the order in which tasks should go there.
  [[nodiscard]] std::vector<state::Machine*> by_fullness() const;
  void start_cached(double now);
  void start_heads(double now);
  void take(state::Task& task, state::Machine& machine, double now);
  bool start_on(state::Machine& machine, double now);
  void relieve_guarantees(double now);

  [[nodiscard]] static bool direct(const state::Job& job) {
    return job.is_service() || job.is_gang() || job.spec.together;
  }
  [[nodiscard]] bool startable(const state::Task& task, const state::Machine& machine,
                               double now) const;
  [[nodiscard]] static bool may_run(const state::Job& job, const state::Machine& machine);
  /// The best machine with room for the job's next task.
  [[nodiscard]] state::Machine* best_room(const state::Job& job) const;
  /// The best one where room can be made by stopping lesser work.
  [[nodiscard]] std::optional<Candidate> best_displacing(const state::Job& job, double now) const;
  /// As above, unless that was tried a moment ago or can't succeed.
  [[nodiscard]] std::optional<Candidate> displace(state::Job& job, double now);
  [[nodiscard]] double score(const state::Job& job, const state::Machine& machine) const;
  [[nodiscard]] static std::string group_name(const state::Machine& machine) {
    return machine.type + "/" + machine.zone;
  }
  void choose_zone(state::Job& job, double now);
  [[nodiscard]] sched::Eligible eligible();

  const config::Settings& settings_;
  state::Model& model_;
  RunTimeEstimates& estimates_;
  GangCoordinator& gangs_;
  std::map<std::string, sched::Group> groups_;
  state::MachineSet machines_with_room_;            ///< usable, with room for the smallest task
  state::MachineSet machines_with_room_for_gangs_;  ///< and for the smallest task of a gang
  std::size_t moves_ = 0;
  std::size_t steps_ = 0;
  int searches_ = 0;  ///< for displacements, in this round
  double next_reorder_ = state::kNever;
  double next_review_ = state::kNever;
};

/// Seconds from submission within which the job should be complete, if anybody
/// says so: its owner, or the users' aims for its class.
[[nodiscard]] std::optional<double> completion_objective_s(const config::Settings& settings,
                                                           const state::Job& job);

}  // namespace elmstall::placement
