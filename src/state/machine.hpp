/// @file
/// Machines in the leader's model, from their workers' heartbeats, the records and the cloud.
/// Used on the controller's event loop only; times are seconds of its steady clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/constants.hpp"
#include "sched/resources.hpp"
#include "state/group_commit.hpp"
#include "state/task.hpp"
#include "wire/fencing_token.hpp"

namespace elmstall::state {

/// One attempt of a task, as a worker names it.
struct TaskAttempt {
  std::string job;            ///< identifier of the job
  std::uint32_t index = 0;    ///< index of the task within the job
  std::uint64_t attempt = 0;  ///< attempt number of the task

  /// Whether both are the same attempt.
  bool operator==(const TaskAttempt& other) const = default;
};

/// What unrecorded tasks on a machine take of one team's limit.
struct TeamUse {
  sched::Amount* total;  ///< the team's use, to which `amount` was added
  sched::Amount amount;  ///< to be taken off it when the tasks are gone
};

/// A machine. Created by Model::machine(), destroyed by Model::remove_machine().
struct Machine {
  // --- identity; set by Model ---

  std::string id;          ///< identifier that the cloud gave the machine
  std::string addr;        ///< address of its worker; empty if not known yet
  std::string type;        ///< name of its machine type; empty if not known yet
  std::string zone;        ///< zone in which it is
  bool spot = false;       ///< the cloud may reclaim it at any time
  sched::Amount capacity;  ///< resources of its type; zero until the type is known

  // --- worker's status; set by reconcile::HeartbeatReader unless said otherwise ---

  std::uint64_t epoch = 0;     ///< epoch of the newest heartbeat
  std::uint64_t sequence = 0;  ///< sequence of the newest heartbeat within that epoch
  /// The newest heartbeat carried at least the token of `synchronizing_fence`. So a task that it
  /// does not list is not on the machine (rule 3). reconcile::Fencing and reconcile::LeaseExpiry
  /// reset this.
  bool synchronized = false;
  /// The machine was synchronized at some time in this term, so that `epoch` can be relied on: a
  /// heartbeat of a later epoch shows that everything commanded in an earlier one is over (rule 3).
  bool epoch_known = false;

  // --- commands; set by dispatch::CommandDispatcher unless said otherwise ---

  /// Counter that is part of the machine's fencing token. reconcile::Fencing raises it to void
  /// earlier commands, as soon as the machine has received the higher token (rules 3 and 4).
  std::uint32_t fence = 0;
  /// The fence that a heartbeat must show for the machine to be synchronized: the last one that was
  /// raised because it was not known whether commands had reached the machine. Set by
  /// reconcile::Fencing.
  std::uint32_t synchronizing_fence = 0;
  /// The fence of the last command RPC that ran a task; none in this term if absent. Set by
  /// reconcile::Fencing.
  std::optional<std::uint32_t> run_fence;
  /// The fence of the last message that cleared a task; none in this term if absent. Set by
  /// reconcile::Fencing.
  std::optional<std::uint32_t> clear_fence;
  bool rpc_in_flight = false;        ///< a command RPC to the machine has no outcome yet
  double rpc_completed_at = kNever;  ///< when the outcome of the last command RPC was known
  /// The reply to the last heartbeat carried commands to run or stop tasks. Nothing more is sent
  /// until the next heartbeat, which shows their effect (rule 2).
  bool reply_carried_commands = false;
  double rpc_backoff_until = kNever;  ///< no command RPC is sent before this time
  /// Since when the machine has shown no effect of its commands. kNever if no effect is
  /// outstanding. reconcile::Responsiveness changes it too.
  double unacknowledged_since = kNever;
  /// The worker sends heartbeats, but they show no effect of commands. Set by
  /// reconcile::Responsiveness.
  bool unresponsive = false;

  // --- leases: times of contact, and what rule 6 requires for a machine without heartbeats ---
  // reconcile::HeartbeatReader sets what heartbeats contain, dispatch::CommandDispatcher
  // sets `last_reply`, and reconcile::LeaseExpiry sets the rest unless said otherwise.

  bool heartbeat_received = false;  ///< a heartbeat was received from the machine in this term
  /// When the worker last sent a heartbeat on its own. Replies to command RPCs do not count, except
  /// as the first contact in a term, because they also come from machines that reach no controller.
  double last_heartbeat = kNever;
  double last_contact = kNever;  ///< when a heartbeat or a reply to a command RPC last arrived
  double last_reply = kNever;    ///< when this leader last answered a heartbeat with 200
  /// A lease that a former leader renewed may last until this time. Set by
  /// reconcile::restore_from_records() after a takeover.
  double inherited_until = kNever;
  /// A zone delegate of the machine's zone is recorded, and may answer the machine's heartbeats.
  bool delegated = false;
  /// The latest time at which a recorded zone delegate is known to have been allowed to answer.
  double delegated_at = kNever;
  /// The record of the machine marks it as retired, or will do so with the next commit. No zone
  /// delegate may then answer it.
  bool retired = false;
  /// When the mirror was first seen to have passed the revision at which the retirement was
  /// written, which is R of rule 6.
  double retired_at = kNever;
  /// When the cloud reclaims the machine, if a heartbeat contained an interruption notice.
  std::optional<double> interruption_at;

  // --- tasks and room; set by Model unless said otherwise ---

  TaskSet tasks;       ///< tasks that are planned for the machine or may be on it
  sched::Amount used;  ///< resources that `tasks` take
  /// Resources that unrecorded tasks take, as far as their jobs are known (rule 7).
  sched::Amount unrecorded_use;
  /// For each task that `unrecorded_use` counts: its team's usage in the model, and the amount that
  /// the task adds to it. Model::clear_unrecorded() subtracts these amounts again.
  std::vector<TeamUse> unrecorded_team_use;
  /// The newest heartbeat lists a task that has not ended, of a job that is not in the model.
  /// Set by reconcile::HeartbeatReader.
  bool has_unknown_jobs = false;
  /// Attempts that have ended according to the newest heartbeat. They remain to be cleared at the
  /// worker (rule 4). Set by reconcile::HeartbeatReader.
  std::vector<TaskAttempt> exited;
  /// Attempts that the newest heartbeat lists as not ended although the records do not place them
  /// on this machine. Set by reconcile::HeartbeatReader.
  std::vector<TaskAttempt> unrecorded_tasks;
  /// Images that are assumed to be cached on the machine, by Job::image, the one that was last
  /// assigned at the end.
  std::deque<std::uint32_t> images;
  bool dirty = false;  ///< the machine is among those that Model::take_dirty() returns next

  // --- fleet and health; set by the autoscaler unless said otherwise ---

  /// Identifiers of jobs of which tasks failed on the machine, except for jobs to which the
  /// failures were attributed. Set by reconcile::TaskFailures.
  std::set<std::string> failed_jobs;
  /// The machine gets no new tasks, because tasks of several jobs failed on it. Set by
  /// reconcile::TaskFailures.
  bool quarantined = false;
  bool terminating = false;      ///< the machine is to be returned to the cloud
  bool listed = false;           ///< it is in the last complete machine list of the cloud
  bool reported_failed = false;  ///< the cloud listed it as failed; it never comes back (rule 6)
  double idle_since = kNever;    ///< since when it has had no tasks; kNever while it has some
  /// When the cloud provisioned the machine. kNever if that is not known.
  double provisioned_at = kNever;

  // --- record; set by Model ---

  /// Commit record by which group commit writes the machine; null until Model::record_machine() or
  /// Model::restore_record(). Owned by GroupCommit.
  GroupCommit::Record* record = nullptr;

  /// Whether so few fences of this term are left that the machine gets no new tasks.
  [[nodiscard]] bool fences_running_out() const {
    return fence >= wire::kMaxFence - constants::kFenceReserve;
  }
  /// Whether the state store holds a record of the machine.
  [[nodiscard]] bool recorded() const { return record != nullptr && record->revision != 0; }
  /// Resources that no task takes. Planned and unrecorded tasks count as taking theirs (rule 7).
  [[nodiscard]] sched::Amount room() const { return capacity - used - unrecorded_use; }
  /// Whether the image, given as Job::image, is assumed to be cached on the machine.
  [[nodiscard]] bool caches(std::uint32_t image) const {
    return std::find(images.begin(), images.end(), image) != images.end();
  }
  /// Seconds for which the machine has sent no heartbeat. It is 0 while a zone delegate may answer
  /// the machine, and counts from the end of the delegation at the earliest, because the machine
  /// then needs some time to find the leader again.
  [[nodiscard]] double silent_for(double now) const {
    return delegated ? 0 : now - std::max(last_heartbeat, delegated_at);
  }
};

/// Orders machines by their identifiers. They are never ordered by address, for the same reason as
/// in TaskOrder.
struct MachineOrder {
  /// Whether the first machine's identifier sorts before the second's.
  bool operator()(const Machine* a, const Machine* b) const { return a->id < b->id; }
};
/// A set of machines, ordered by their identifiers.
using MachineSet = std::set<Machine*, MachineOrder>;

}  // namespace elmstall::state
