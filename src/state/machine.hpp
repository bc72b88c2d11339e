/// @file
/// Machines, as the leader knows them from their workers' heartbeats, the records and the cloud.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sched/resources.hpp"
#include "state/group_commit.hpp"
#include "state/task.hpp"

namespace elmstall::state {

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

}  // namespace elmstall::state
