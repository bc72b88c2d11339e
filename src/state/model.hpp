/// @file
/// What the leader knows of jobs, tasks and machines, and the only place that changes where a task
/// is. Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/group_commit.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"
#include "state/task.hpp"

namespace elmstall::state {

/// Jobs, machines and what they take, with every change of a task's place in
/// one spot, so that usage, zones and records always agree with it.
class Model {
 public:
  Model(const config::Settings& settings, GroupCommit& group_commit)
      : settings_(settings),
        group_commit_(group_commit),
        max_started_tasks_(store::max_started_tasks(settings.state_limits().value_kb)) {}

  Job& add_job(const std::string& id, const store::JobRecord& record, double submitted);
  void remove_job(const std::string& id);
  [[nodiscard]] Job* job(const std::string& id);
  [[nodiscard]] Job* job_of(sched::TaskId id);
  [[nodiscard]] Job* job_by_serial(std::uint64_t serial);
  [[nodiscard]] const config::Settings& settings() const { return settings_; }
  [[nodiscard]] Task* task(sched::TaskId id);
  /// The task, its block brought into memory if need be.
  [[nodiscard]] Task* task(Job& job, std::uint32_t index);
  Block& load_block(Job& job, std::uint32_t number, const store::Mirror::Block* stored);

  Machine& machine(const std::string& id);
  [[nodiscard]] Machine* find_machine(const std::string& id);
  void remove_machine(const std::string& id);
  /// Deleted in this term: what still arrives from it is late.
  [[nodiscard]] bool terminated(const std::string& id) const { return terminated_.contains(id); }
  /// Capacity and name of the type, once both are known.
  void set_machine_types(std::vector<wire::MachineType> machine_types);
  [[nodiscard]] const wire::MachineType* machine_type(const std::string& type) const;
  void describe(Machine& machine, const std::string& type, const std::string& zone, bool spot,
                const std::string& addr) const;

  void plan(Task& task, Machine& machine);
  void unplan(Task& task);
  /// Records machine and a new attempt; `run` may be sent once that is written.
  void assign(Task& task, Machine& machine);
  /// The same with an attempt that the gang's other tasks share.
  void assign(Task& task, Machine& machine, std::uint64_t attempt);
  /// The task is certainly on no machine any more.
  void unassign(Task& task);
  void complete(Task& task);
  /// A reported task of the job that is not there by our will: it takes room
  /// and counts for its team all the same.
  void add_unrecorded(Machine& machine, const Job& job);
  static void clear_unrecorded(Machine& machine);
  /// Forgets what the last heartbeat listed beside the tasks that are recorded there.
  static void clear_heartbeat_content(Machine& machine);
  /// Has the machine recorded, of which the records know nothing yet.
  void record_machine(Machine& machine);
  /// Links the machine with its entry in the records.
  void restore_record(Machine& machine, const store::Mirror::Machine& stored);
  /// Takes over an assignment found in the records.
  void restore(Task& task, Machine& machine, std::uint64_t attempt);

  [[nodiscard]] const sched::Amount& usage(const std::string& team) const;
  [[nodiscard]] std::map<std::string, std::unique_ptr<Job>>& jobs() { return jobs_; }
  [[nodiscard]] std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
  [[nodiscard]] const std::vector<wire::MachineType>& machine_types() const {
    return machine_types_;
  }

  // What has changed, so that nobody has to walk through everything.
  /// Jobs that may have tasks which wait and act as an unrecorded delegate no list.
  [[nodiscard]] JobSet& open() { return open_; }
  /// Jobs of which a task has ended or gone.
  [[nodiscard]] JobSet& finalizable() { return finalizable_; }
  /// Machines that may have commands to be given.
  [[nodiscard]] MachineSet& attention() { return attention_; }
  [[nodiscard]] const TaskSet& planned() const { return planned_; }
  /// Machines whose room, tasks or state have changed, in order.
  [[nodiscard]] std::vector<Machine*> take_dirty();
  void mark_dirty(Machine& machine);
  /// Least that any task takes, in each dimension: a machine with less room
  /// than this has none.
  [[nodiscard]] const sched::Amount& least_need() const { return least_need_; }
  /// The same for gangs, whose tasks may be far smaller; nothing while there
  /// has been none.
  [[nodiscard]] const std::optional<sched::Amount>& least_gang_need() const {
    return least_gang_need_;
  }
  void refresh_least_need();
  /// Tasks of this priority that are or may be on machines.
  [[nodiscard]] std::size_t on_machines(wire::Priority priority) const {
    return on_machines_[static_cast<std::size_t>(priority)];
  }

  /// Whether the job may run on this machine's type, kind and zone at all.
  [[nodiscard]] static bool allowed_kind(const Job& job, const Machine& machine);
  /// Whether the record of the task's block has room for one more that is started.
  [[nodiscard]] bool recordable(const Task& task) const;
  /// Rules of placement, given everything that may be on machines now.
  [[nodiscard]] static bool allowed(const Job& job, const Machine& machine);
  [[nodiscard]] static bool within_quota(const Job& job);

 private:
  void attach(Task& task, Machine& machine);
  void detach(Task& task);
  void mark_dirty(Task& task);
  void include_need(const Job& job);
  void include_gang_need(const Job& job);
  [[nodiscard]] static store::BlockRecord record_of(const Block& block);

  const config::Settings& settings_;
  GroupCommit& group_commit_;
  std::uint32_t max_started_tasks_;  ///< of one block
  std::vector<wire::MachineType> machine_types_;
  std::uint64_t next_serial_ = 1;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::unordered_map<std::uint64_t, Job*> by_serial_;
  std::unordered_map<std::string, std::uint32_t> image_numbers_;
  JobSet open_;
  JobSet finalizable_;
  TaskSet planned_;
  MachineSet dirty_;
  MachineSet attention_;
  sched::Amount least_need_;
  std::optional<sched::Amount> least_gang_need_;
  std::array<std::size_t, 4> on_machines_{};  ///< by priority
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, sched::Amount> usage_;
  std::set<std::string> terminated_;
};

}  // namespace elmstall::state
