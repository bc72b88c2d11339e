// Decides, once per batch of commands, which task goes where.
#pragma once

#include "engine/estimates.hpp"
#include "engine/gang_coordinator.hpp"
#include "engine/model.hpp"
#include "sched/group.hpp"

namespace elmstall::engine {

class Planner {
 public:
  Planner(const config::Settings& settings, Model& model, Estimates& estimates,
          GangCoordinator& gangs)
      : settings_(settings), model_(model), estimates_(estimates), gangs_(gangs) {}

  void decide(double now);
  /// The task acts as an unrecorded delegate no list any more.
  void forget(Task& task);
  /// The machine takes no tasks, or is about to be forgotten.
  void remove_worker(Host& host);
  [[nodiscard]] static bool usable(const Host& host, double now, const config::Settings& settings);
  [[nodiscard]] const std::map<std::string, sched::Group>& groups() const { return groups_; }
  /// Moves made by equation (1) so far.
  [[nodiscard]] std::size_t moves() const { return moves_; }
  /// Machines looked at so far: what a decision costs, for tests and metrics.
  [[nodiscard]] std::size_t steps() const { return steps_; }

 private:
  struct Candidate {
    Host* host = nullptr;
    double score = 0;
    std::vector<Task*> victims;
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

  void update_worker(Host& host, double now);
  void update_workers(double now);
  /// What of a block or job stands in the lists.
  struct Listed {
    std::size_t waiting = 0;  ///< tasks that wait, in the lists or not
    bool whole = true;        ///< none of them waits outside
  };
  Listed list_block(Job& job, Block& block, double now);
  /// Puts the job's waiting tasks into the lists; true when all are there.
  bool list_job(Job& job, double now);
  void queue_blocks(double now);
  void enlist(const Job& job, const std::vector<Task*>& tasks, double now);
  [[nodiscard]] QueuePosition queue_position(const Job& job, double now) const;
  void reorder(double now);
  void settle_planned(double now);
  void place_direct(double now);
  bool place_service(Job& job, double now);
  /// Machines with room, in the order in which tasks should go there.
  [[nodiscard]] std::vector<Host*> by_fullness() const;
  void start_cached(double now);
  void start_heads(double now);
  void take(Task& task, Host& host, double now);
  bool start_on(Host& host, double now);
  void relieve_guarantees(double now);

  [[nodiscard]] static bool direct(const Job& job) {
    return job.service() || job.gang() || job.spec.together;
  }
  [[nodiscard]] bool startable(const Task& task, const Host& host, double now) const;
  [[nodiscard]] static bool may_run(const Job& job, const Host& host);
  /// The best machine with room for the job's next task.
  [[nodiscard]] Host* best_room(const Job& job) const;
  /// The best one where room can be made by stopping lesser work.
  [[nodiscard]] std::optional<Candidate> best_displacing(const Job& job, double now) const;
  /// As above, unless that was tried a moment ago or can't succeed.
  [[nodiscard]] std::optional<Candidate> displace(Job& job, double now);
  [[nodiscard]] double score(const Job& job, const Host& host) const;
  [[nodiscard]] static std::string group_name(const Host& host) {
    return host.type + "/" + host.zone;
  }
  void choose_zone(Job& job, double now);
  [[nodiscard]] sched::Eligible eligible();

  const config::Settings& settings_;
  Model& model_;
  Estimates& estimates_;
  GangCoordinator& gangs_;
  std::map<std::string, sched::Group> groups_;
  HostSet roomy_;            ///< usable, with room for the smallest task
  HostSet roomy_for_gangs_;  ///< and for the smallest task of a gang
  std::size_t moves_ = 0;
  std::size_t steps_ = 0;
  int searches_ = 0;  ///< for displacements, in this round
  double next_reorder_ = kNever;
  double next_review_ = kNever;
};

/// Seconds from submission within which the job should be complete, if anybody
/// says so: its owner, or the users' aims for its class.
[[nodiscard]] std::optional<double> aim_s(const config::Settings& settings, const Job& job);

}  // namespace elmstall::engine
