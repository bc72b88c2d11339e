/// @file
/// The leader's model of jobs, tasks and machines, and the only place that changes where a task
/// is placed. Runs on the controller's event loop; times are seconds of its steady clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/group_commit.hpp"
#include "state/job.hpp"
#include "state/machine.hpp"
#include "state/task.hpp"
#include "state/task_budget.hpp"

namespace elmstall::state {

/// The jobs and machines of one leader in one term, and the resources that tasks take. Every change
/// of the machine of a task is made by a function of this class, so that the usage of machines,
/// teams and zones and the commit records always agree with it (rule 7). Only group commit writes
/// anything: the functions here at most mark records as dirty.
class Model {
 public:
  /// Creates an empty model. Both arguments must outlive it.
  Model(const config::Settings& settings, GroupCommit& group_commit)
      : settings_(settings),
        group_commit_(group_commit),
        task_budget_(settings.memory_mb),
        max_started_tasks_(store::max_started_tasks(settings.state_limits().value_kb)) {}

  // --- jobs ---

  /// Adds a job whose record exists. `submitted` is the time of the submission by this controller's
  /// steady clock. None of its blocks is loaded.
  Job& add_job(const std::string& id, const store::JobRecord& record, double submitted);
  /// Removes a job whose final state is stored. Has no effect if the job is not known.
  void remove_job(const std::string& id);
  /// The job with this identifier, or null.
  [[nodiscard]] Job* job(const std::string& id);
  /// The job of a task, or null if the job has been removed.
  [[nodiscard]] Job* job_of(sched::TaskId id);
  /// The job with this Job::serial, or null if the job has been removed.
  [[nodiscard]] Job* job_by_serial(std::uint64_t serial);
  /// The settings of the platform.
  [[nodiscard]] const config::Settings& settings() const { return settings_; }
  /// The task with this Task::id. Null if its job has been removed, if all tasks of its block are
  /// completed, or if its block is not in memory. A queued task always is.
  [[nodiscard]] Task* task(sched::TaskId id);
  /// The task with this index in the job. Null if the job has no such task, if all tasks of its
  /// block are completed, or if the block is not in memory. A task that is recorded on a machine
  /// always is.
  [[nodiscard]] Task* task(Job& job, std::uint32_t index) const;
  /// Returns the block with this number of the job, and loads it if it is not in memory
  /// yet. `stored` is the block as the mirror has it, or null if the block was never recorded. Done
  /// bits and attempt numbers are taken from it; assignments are taken over by restore(). Does not
  /// check may_load_block().
  Block& load_block(Job& job, std::uint32_t number, const store::Mirror::Block* stored);
  /// Whether the task budget permits to load this block of the job. True if it is in memory.
  [[nodiscard]] bool may_load_block(const Job& job, std::uint32_t number) const;
  /// Whether the task budget permits to load all blocks of the job.
  [[nodiscard]] bool may_load_job(const Job& job) const;
  /// Takes an untouched block out of memory, none of whose tasks may be in a queue.
  void unload_block(Job& job, std::uint32_t number);
  /// Destroys the tasks of a block all of which are completed. Only its done bits are recorded from
  /// then on.
  void release_tasks(Block& block);
  /// The bound on the tasks in memory.
  [[nodiscard]] const TaskBudget& task_budget() const { return task_budget_; }

  // --- machines ---

  /// The machine with this identifier, which is created if it is not known yet.
  Machine& machine(const std::string& id);
  /// The machine with this identifier, or null.
  [[nodiscard]] Machine* find_machine(const std::string& id);
  /// Removes a machine whose deletion the cloud has confirmed, and has its removal recorded. Its
  /// tasks must have been taken off before. Has no effect if the machine is not known.
  void remove_machine(const std::string& id);
  /// Whether the machine was removed by this leader. Heartbeats and entries of the cloud's machine
  /// list that still name it are out of date.
  [[nodiscard]] bool terminated(const std::string& id) const { return terminated_.contains(id); }
  /// Takes the machine types that the cloud offers, and sets the capacity of the machines of these
  /// types.
  void set_machine_types(std::vector<wire::MachineType> machine_types);
  /// The machine type with this name, or null.
  [[nodiscard]] const wire::MachineType* machine_type(const std::string& type) const;
  /// Sets a machine's attributes from a heartbeat, the cloud or the records. Its zone is kept
  /// while it has tasks, and its address is kept if `addr` is empty.
  void update_attributes(Machine& machine, const std::string& type, const std::string& zone,
                         bool spot, const std::string& addr) const;

  // --- placement of tasks; see TaskPhase ---

  /// Keeps room on the machine for a pending task. Nothing is recorded.
  void plan(Task& task, Machine& machine);
  /// Gives up the room that is kept for a planned task, which is pending afterwards.
  void unplan(Task& task);
  /// Assigns a pending or planned task to the machine under a new attempt number and has this
  /// recorded. `run` may be sent once Task::required_version() is written (rule 1).
  void assign(Task& task, Machine& machine);
  /// Does the same under the given attempt number, which the other tasks of a gang share. It must
  /// not be lower than any number that the task has had; a replaced task keeps its number.
  void assign(Task& task, Machine& machine, std::uint64_t attempt);
  /// Makes a task pending that certainly is on no machine any more: it was never sent there (rule
  /// 1), a synchronized machine does not list it (rule 3), it has exited in the machine's present
  /// epoch, or its machine is gone (rule 6). The task keeps its attempt number. A task with
  /// Task::completion_reported() is completed instead.
  void unassign(Task& task);
  /// Notes that the task is completed and has this recorded. If it was the last one of its block,
  /// all Task objects of the block are destroyed.
  void complete(Task& task);
  /// Counts an unrecorded task of the job on the machine, which takes room there and counts for its
  /// team like any other (rule 7).
  void add_unrecorded(Machine& machine, const Job& job);
  /// Ends the effect of all calls of add_unrecorded() for the machine.
  static void clear_unrecorded(Machine& machine);
  /// Clears what the last heartbeat listed apart from recorded tasks that run: exited attempts,
  /// unrecorded tasks and tasks of unknown jobs.
  static void clear_heartbeat_content(Machine& machine);
  /// Has a machine recorded that has no record yet.
  void record_machine(Machine& machine);
  /// Gives the machine a commit record for the entry that the ledger log has of it.
  void restore_record(Machine& machine, const store::Mirror::Machine& stored);
  /// Takes over an assignment that the records contain. The task must be pending. Because the
  /// former leader may have sent `run`, the task is in phase `dispatched` afterwards.
  void restore(Task& task, Machine& machine, std::uint64_t attempt);

  // --- totals ---

  /// Resources that the tasks of the team take: planned ones, those that may be on machines, and
  /// unrecorded ones (rule 7).
  [[nodiscard]] const sched::Amount& usage(const std::string& team) const;
  /// All jobs that are not finalized, by their identifiers.
  [[nodiscard]] std::map<std::string, std::unique_ptr<Job>>& jobs() { return jobs_; }
  /// All known machines, by their identifiers.
  [[nodiscard]] std::map<std::string, std::unique_ptr<Machine>>& machines() { return machines_; }
  /// The machine types that the cloud offers; empty until they are known.
  [[nodiscard]] const std::vector<wire::MachineType>& machine_types() const {
    return machine_types_;
  }

  // --- change tracking, so that no decision has to iterate over all jobs and machines ---

  /// Jobs that may have pending tasks that are in no queue. placement::JobQueues and
  /// placement::DirectPlacement remove a job once it needs nothing more from them.
  [[nodiscard]] JobSet& jobs_with_unqueued_tasks() { return jobs_with_unqueued_tasks_; }
  /// Jobs that may be over, because one of their tasks was completed or has left its machine, or
  /// because they are new or cancelled. reconcile::JobLifecycle takes them out.
  [[nodiscard]] JobSet& finalizable() { return finalizable_; }
  /// Machines for which there may be commands to send. dispatch::CommandDispatcher takes them out.
  [[nodiscard]] MachineSet& machines_to_command() { return machines_to_command_; }
  /// All planned tasks.
  [[nodiscard]] const TaskSet& planned() const { return planned_; }
  /// Returns the machines whose room, tasks or status have changed since the last call, ordered by
  /// their identifiers.
  [[nodiscard]] std::vector<Machine*> take_dirty();
  /// Makes the machine one of those that take_dirty() returns next.
  void mark_dirty(Machine& machine);
  /// The least that a task of any job except gangs takes, for each resource separately. A machine
  /// with less room than this has no room for any of them.
  /// Nothing if there is no such job.
  [[nodiscard]] sched::Amount least_need() const { return least_need_.value_or(sched::Amount{}); }
  /// The same for gangs, which are kept apart because their tasks may be much smaller. Empty until
  /// there is the first gang.
  [[nodiscard]] const std::optional<sched::Amount>& least_gang_need() const {
    return least_gang_need_;
  }
  /// Computes both least needs anew from the jobs that are not cancelled. Between these calls they
  /// only fall, as jobs are added.
  void refresh_least_need();
  /// Number of tasks that are planned for a machine or may be on one.
  [[nodiscard]] std::size_t on_machines() const {
    return std::accumulate(on_machines_.begin(), on_machines_.end(), std::size_t{0});
  }
  /// The same, only of tasks of this priority.
  [[nodiscard]] std::size_t on_machines(wire::Priority priority) const {
    return on_machines_[static_cast<std::size_t>(priority)];
  }

  // --- rules of placement ---

  /// Whether the job may run on machines of this type, kind (spot or ordinary) and zone at all.
  [[nodiscard]] static bool allowed_kind(const Job& job, const Machine& machine);
  /// Whether the record of the task's block stays within the largest value of the state store when
  /// the task is started. Only a certain number of tasks of a block can have an attempt at a time.
  [[nodiscard]] bool recordable(const Task& task) const;
  /// Whether one more task of the job may be on this machine, by allowed_kind() and, given where
  /// its other tasks may be (rule 7), by the rules for `together` and `spread`. Room is not
  /// considered.
  [[nodiscard]] static bool allowed(const Job& job, const Machine& machine);
  /// Whether the quota of the job's team permits one more task of the job (rule 7). False if the
  /// team is not known.
  [[nodiscard]] static bool within_quota(const Job& job);

 private:
  /// Counts the task as being on the machine in all totals.
  void attach(Task& task, Machine& machine);
  /// Undoes attach().
  void detach(Task& task);
  /// Has the block of the task recorded anew.
  void mark_dirty(Task& task);
  /// Lowers the least need to that of the job where that is smaller.
  void include_need(const Job& job);
  [[nodiscard]] static store::BlockRecord record_of(const Block& block);
  /// Number of tasks of the block with this number.
  [[nodiscard]] std::uint32_t block_length(const Job& job, std::uint32_t number) const;

  const config::Settings& settings_;
  GroupCommit& group_commit_;
  TaskBudget task_budget_;
  std::uint32_t max_started_tasks_;  ///< tasks of one block that can have an attempt at a time
  std::vector<wire::MachineType> machine_types_;
  std::uint64_t next_serial_ = 1;
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::unordered_map<std::uint64_t, Job*> jobs_by_serial_;
  std::unordered_map<std::string, std::uint32_t> image_numbers_;  ///< by the image's name
  JobSet jobs_with_unqueued_tasks_;
  JobSet finalizable_;
  TaskSet planned_;
  MachineSet dirty_;
  MachineSet machines_to_command_;
  std::optional<sched::Amount> least_need_;
  std::optional<sched::Amount> least_gang_need_;
  std::array<std::size_t, 4> on_machines_{};  ///< by priority
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, sched::Amount> usage_;  ///< by team
  std::set<std::string> terminated_;            ///< identifiers of removed machines
};

}  // namespace elmstall::state
