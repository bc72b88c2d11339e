// What the leader knows of jobs, tasks and machines.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sched/group.hpp"
#include "sched/resources.hpp"
#include "state/gang.hpp"
#include "state/group_commit.hpp"

namespace elmstall::state {

inline constexpr double kNever = -std::numeric_limits<double>::infinity();

struct Machine;
struct Job;
struct Block;

/// Where a task stands. From `assigned` on it may be on its machine.
enum class Phase : std::uint8_t {
  pending,   ///< on no machine
  planned,   ///< a machine is kept for it, nothing is recorded yet
  assigned,  ///< machine and attempt are recorded or about to be
  done,
};

struct Task {
  Job* job = nullptr;
  Block* block = nullptr;
  std::uint32_t index = 0;
  sched::TaskId id = 0;
  Phase phase = Phase::pending;
  std::uint64_t attempt = 0;
  Machine* machine = nullptr;
  /// Version of the block record that has to be written before `run` is sent.
  std::uint64_t required_version = 0;
  /// `run` may have reached the machine, from this leader or a former one.
  bool run_sent = false;
  /// Present in a heartbeat of this leader's term.
  bool in_last_heartbeat = false;
  wire::TaskState state = wire::TaskState::fetching;
  double since = kNever;  ///< when it was assigned
  double running_since = kNever;
  bool stopping = false;
  double grace_period_s = 0;
  double stop_sent = kNever;  ///< when it was last told so with time to save
  double not_before = kNever;
  int failures = 0;
  bool listed = false;  ///< waits in a group's lists
};

/// Never by address: two runs of one history must decide alike.
struct TaskOrder {
  bool operator()(const Task* a, const Task* b) const { return a->id < b->id; }
};
using TaskSet = std::set<Task*, TaskOrder>;

struct Block {
  Job* job = nullptr;
  std::uint32_t number = 0;
  std::uint32_t first = 0;
  std::vector<bool> done;
  std::vector<Task> tasks;  ///< empty once all are done
  GroupCommit::Record* record = nullptr;
  [[nodiscard]] bool all_done() const { return tasks.empty(); }
};

struct Job {
  std::string id;
  std::uint64_t serial = 0;
  const config::Team* team = nullptr;
  const sched::Amount* team_usage = nullptr;
  std::uint32_t image = 0;  ///< number that stands for its image's name
  wire::JobSpec spec;
  sched::Amount need;
  bool cancelled = false;
  double submitted = 0;  ///< on this node's steady clock
  std::map<std::uint32_t, std::unique_ptr<Block>> blocks;
  std::uint32_t next_block = 0;  ///< first that is not in memory yet
  std::uint32_t block_count = 0;
  std::uint32_t finished_tasks = 0;
  std::uint32_t on_machines = 0;  ///< tasks that are or may be on machines
  bool begun = false;             ///< one of its tasks was assigned once
  double searched_at = kNever;    ///< when room was last looked for by stopping others
  std::map<std::string, std::uint32_t> per_zone;
  std::set<std::string> failed_on;
  std::string zone_choice;  ///< for `together`
  Gang gang;                ///< of a gang
  double failed_until = kNever;
  int failures = 0;
  [[nodiscard]] bool is_service() const { return spec.kind == wire::JobKind::service; }
  [[nodiscard]] bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  [[nodiscard]] bool all_done() const { return finished_tasks == spec.tasks; }
};

/// Never by address, as for tasks.
struct JobOrder {
  bool operator()(const Job* a, const Job* b) const { return a->serial < b->serial; }
};
using JobSet = std::set<Job*, JobOrder>;

/// One attempt of a task, as a worker names it.
struct TaskAttempt {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
};

struct Machine {
  std::string id;
  std::string addr;
  std::string type;
  std::string zone;
  bool spot = false;
  sched::Amount capacity;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  /// A heartbeat that carried the token of its latest fence was received: what it
  /// lists is exact, what it does not list is not there.
  bool synchronized = false;
  /// Was so once in this term: its epoch is known, and a later one ends all
  /// that was ordered in this.
  bool epoch_known = false;
  /// Raised whenever commands may be under way that nobody can tell of; makes
  /// them void as soon as the machine has seen it.
  std::uint32_t fence = 0;
  bool rpc_in_flight = false;        ///< direct commands are in flight
  double rpc_completed_at = kNever;  ///< when the last answer to some came
  bool reply_carried_commands =
      false;  ///< the last answer carried commands that the next heartbeat will show
  double rpc_backoff_until = kNever;  ///< no direct commands before
  /// Since when it has shown no effect of what it was told.
  double unacknowledged_since = kNever;
  bool unresponsive = false;
  bool heard = false;  ///< any heartbeat in this term
  double last_heartbeat =
      kNever;  ///< of its own accord: a machine that can't reach us shows nothing else
  double last_contact = kNever;  ///< that, or a reply to direct commands
  double last_reply = kNever;    ///< when a heartbeat was last answered with 200
  /// Until then a former leader may have kept its lease alive.
  double inherited_until = kNever;
  /// A zone delegate may be answering it.
  bool delegated = false;
  double delegated_at = kNever;
  /// Recorded as such; its tasks are gone once that is written.
  bool retired = false;
  /// When that was first seen to be written.
  double retired_at = kNever;
  std::optional<double> interruption_at;
  TaskSet tasks;
  sched::Amount used;            ///< by `tasks`, planned ones included
  sched::Amount unrecorded_use;  ///< by reported tasks that are not there by our will
  /// The same for each team's use of them.
  std::vector<std::pair<sched::Amount*, sched::Amount>> unrecorded_team_use;
  bool has_unknown_jobs = false;  ///< it shows tasks unknown to us
  std::vector<TaskAttempt> exited;
  std::vector<TaskAttempt> unrecorded_tasks;  ///< running tasks that are not there by our will
  std::deque<std::uint32_t> images;           ///< believed to be cached, latest last
  bool dirty = false;                         ///< the planner has to look at it again
  std::set<std::string> failed_jobs;
  bool quarantined = false;
  bool terminating = false;
  bool listed = false;  ///< in the last whole machine list
  bool reported_failed = false;
  double idle_since = kNever;
  double provisioned_at = kNever;
  GroupCommit::Record* record = nullptr;
  [[nodiscard]] bool recorded() const { return record != nullptr && record->revision != 0; }
  [[nodiscard]] sched::Amount room() const { return capacity - used - unrecorded_use; }
  [[nodiscard]] bool caches(std::uint32_t image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  /// Seconds since anybody heard of it. The end of a zone delegate's time counts:
  /// the machine needs a moment to find its leader again.
  [[nodiscard]] double quiet(double now) const {
    return delegated ? 0 : now - std::max(last_heartbeat, delegated_at);
  }
};

struct MachineOrder {
  bool operator()(const Machine* a, const Machine* b) const { return a->id < b->id; }
};
using MachineSet = std::set<Machine*, MachineOrder>;

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
  void assign(Task& task, Machine& machine, double now);
  /// The same with an attempt that the gang's other tasks share.
  void assign(Task& task, Machine& machine, std::uint64_t attempt, double now);
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
  void restore(Task& task, Machine& machine, std::uint64_t attempt, double now);

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
