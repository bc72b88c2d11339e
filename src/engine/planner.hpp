// Decides, once per batch of commands, which task goes where.
#pragma once

#include "engine/estimates.hpp"
#include "engine/model.hpp"
#include "sched/group.hpp"

namespace elmstall::engine {

class Planner {
 public:
  Planner(const config::Settings& settings, Model& model, Estimates& estimates)
      : settings_(settings), model_(model), estimates_(estimates) {}

  void decide(double now);
  void forget(const Task& task);
  [[nodiscard]] static bool usable(const Host& host, double now, const config::Settings& settings);
  [[nodiscard]] const std::map<std::string, sched::Group>& groups() const { return groups_; }
  /// Moves made by equation (1) so far.
  [[nodiscard]] std::size_t moves() const { return moves_; }

 private:
  struct Candidate {
    Host* host = nullptr;
    double score = 0;
    std::vector<Task*> victims;
  };

  void update_workers(double now);
  void queue_blocks(double now);
  void enlist(Job& job, std::vector<Task*> tasks, double now);
  void refresh(sched::Queued& entry, const Job& job, double now) const;
  void reorder(double now);
  void settle_planned(double now);
  void place_direct(double now);
  void place_gang(Job& job, double now);
  void start_heads(double now);
  bool start_on(Host& host, double now);
  void relieve_guarantees(double now);

  [[nodiscard]] bool direct(const Job& job) const { return job.service() || job.gang() || job.spec.together; }
  [[nodiscard]] bool startable(const Task& task, const Host& host, double now) const;
  [[nodiscard]] bool may_run(const Job& job, const Host& host) const;
  [[nodiscard]] std::optional<Candidate> best_host(const Job& job, double now, bool may_preempt);
  [[nodiscard]] std::optional<std::vector<Task*>> victims(const Job& job, const Host& host, double now) const;
  [[nodiscard]] bool may_stop(const Job& job, const Task& victim) const;
  [[nodiscard]] double lost_work(const Task& victim, double now) const;
  [[nodiscard]] double score(const Job& job, const Host& host) const;
  [[nodiscard]] int rank(const Job& job) const;
  [[nodiscard]] bool guaranteed(const Job& job) const;
  [[nodiscard]] std::string group_name(const Host& host) const { return host.type + "/" + host.zone; }
  void choose_zone(Job& job, double now);
  [[nodiscard]] sched::Eligible eligible();

  const config::Settings& settings_;
  Model& model_;
  Estimates& estimates_;
  std::map<std::string, sched::Group> groups_;
  std::size_t moves_ = 0;
  double next_reorder_ = kNever;
};

/// Seconds from submission within which the job should be complete, if anybody
/// says so: its owner, or the users' aims for its class.
[[nodiscard]] std::optional<double> aim_s(const config::Settings& settings, const Job& job);

/// Stops a task, with time to save where that keeps work; it is not started
/// again before `not_before`.
void stop_task(Model& model, Task& task, bool save, double not_before = kNever);

}  // namespace elmstall::engine
