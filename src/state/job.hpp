/// @file
/// Jobs and the blocks of their tasks in the leader's model. Model creates and destroys both.
/// Used on the controller's event loop only; times are seconds of its steady clock.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/constants.hpp"
#include "config/settings.hpp"
#include "sched/resources.hpp"
#include "state/gang.hpp"
#include "state/group_commit.hpp"
#include "state/task.hpp"
#include "wire/jobs.hpp"

namespace elmstall::state {

/// A range of tasks of one job that are recorded together, as one entry of the ledger log. A block
/// is loaded when one of its tasks is first needed (Model::load_block), and may be unloaded again
/// while it is untouched.
struct Block {
  Job* job = nullptr;        ///< the job that the block belongs to
  std::uint32_t number = 0;  ///< position among the blocks of the job, from 0
  std::uint32_t first = 0;   ///< index within the job of the first task of the block
  /// Whether each task of the block is completed, by its position in the block.
  std::vector<bool> done;
  /// The tasks of the block. Emptied as soon as all of them are completed, because only `done` is
  /// needed from then on.
  std::vector<Task> tasks;
  /// Commit record by which group commit writes the block. Owned by GroupCommit.
  GroupCommit::Record* record = nullptr;
  /// Whether all tasks of the block are completed.
  [[nodiscard]] bool all_done() const { return tasks.empty(); }
  /// Whether the block is as it was when it was first loaded: nothing of it was ever recorded, no
  /// task is planned, and none has to wait. A block that is loaded anew is the same.
  [[nodiscard]] bool untouched() const;
};

/// A job that has no recorded final state yet.
struct Job {
  std::string id;  ///< identifier that the user chose
  /// Number that the model gives the job, in the order of add_job(). Never used twice by a leader.
  std::uint64_t serial = 0;
  const config::Team* team = nullptr;  ///< null if the settings do not name the job's team
  /// Resources that the team uses now, the same as Model::usage(). Kept up to date by Model.
  const sched::Amount* team_usage = nullptr;
  /// Number by which Model refers to the name of the job's image; see Machine::images.
  std::uint32_t image = 0;
  wire::JobSpec spec;  ///< the job as it was submitted
  sched::Amount need;  ///< resources that one task takes
  /// The record of the job has a cancel mark. Set by reconcile::JobLifecycle (rule 8).
  bool cancelled = false;
  double submitted = 0;  ///< time of the submission, by this controller's steady clock
  /// The blocks that are in memory, by their number.
  std::map<std::uint32_t, std::unique_ptr<Block>> blocks;
  /// Number of the next block that placement::JobQueues loads. All blocks with lower
  /// numbers are in memory.
  std::uint32_t next_block = 0;
  /// Number of waiting tasks that placement::JobQueues keeps in memory. Set by
  /// placement::TaskWindows.
  std::size_t window = constants::kWindowTasks;
  std::uint32_t block_count = 0;     ///< number of blocks, in memory or not
  std::uint32_t finished_tasks = 0;  ///< number of completed tasks in the blocks in memory
  /// Number of tasks that are planned for a machine or may be on one.
  std::uint32_t on_machines = 0;
  /// A task of the job was assigned to a machine at least once, by this leader or, as far as the
  /// records still show it, by a former one.
  bool begun = false;
  /// When the last search for tasks to preempt for this job failed; for a gang, when the last
  /// search was made at all. The next one is made constants::kPreemptionSearchInterval later
  /// at the earliest.
  double searched_at = kNever;
  /// Number of the tasks that `on_machines` counts, by zone. Zones without such tasks are left out.
  std::map<std::string, std::uint32_t> per_zone;
  /// Identifiers of machines on which tasks of the job failed in this term.
  std::set<std::string> failed_on;
  /// Zone that was chosen for a job whose tasks must all be in one zone (`together`). Empty if none
  /// was chosen.
  std::string zone_choice;
  Gang gang;  ///< state of the gang; of no meaning for jobs of other kinds
  /// No task of the job is started before this time, because the job failed on several machines.
  double failed_until = kNever;
  int failures = 0;  ///< failures that reconcile::TaskFailures attributed to the job, not a machine
  /// Whether the job is a service.
  [[nodiscard]] bool is_service() const { return spec.kind == wire::JobKind::service; }
  /// Whether the job is a gang.
  [[nodiscard]] bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  /// Whether all tasks of the job are completed.
  [[nodiscard]] bool all_done() const { return finished_tasks == spec.tasks; }
  /// Numbers of the blocks in memory that are untouched, in their order.
  [[nodiscard]] std::vector<std::uint32_t> untouched_blocks() const;
  /// The most tasks of the job that may be in one zone.
  [[nodiscard]] std::size_t zone_limit() const {
    return spec.spread ? sched::spread_limit(spec.tasks) : spec.tasks;
  }
  /// Number of tasks that are neither completed nor planned or assigned, in memory or not.
  [[nodiscard]] std::uint32_t waiting_tasks() const {
    return spec.tasks - finished_tasks - on_machines;
  }
};

/// Orders jobs by their serial numbers. They are never ordered by address, for the same reason as
/// in TaskOrder.
struct JobOrder {
  /// Whether the first job was added to the model before the second.
  bool operator()(const Job* a, const Job* b) const { return a->serial < b->serial; }
};
/// A set of jobs in the order in which they were added to the model.
using JobSet = std::set<Job*, JobOrder>;

}  // namespace elmstall::state
