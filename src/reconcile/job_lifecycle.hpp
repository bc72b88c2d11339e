/// @file
/// Lifecycle of jobs in the leader, from acceptance to final state: applies the
/// records that controllers write for users, stops cancelled jobs and has final
/// states written. Runs on the controller's event loop.
#pragma once

#include <string>

#include "placement/gang_coordinator.hpp"
#include "placement/planner.hpp"
#include "runtime/event_loop.hpp"
#include "state/group_commit.hpp"
#include "state/model.hpp"
#include "store/mirror.hpp"

namespace elmstall::reconcile {

/// Loads jobs from the records into the leader's model, and finalizes jobs that have ended.
class JobLifecycle {
 public:
  /// Dependencies of the lifecycle. The references have to outlive it.
  struct Context {
    const runtime::EventLoop& event_loop;  ///< clock
    const store::Mirror& mirror;           ///< local replica of the records
    state::Model& model;                   ///< the leader's model of jobs and machines
    state::GroupCommit& group_commit;      ///< writes the leader's changes of records
    placement::GangCoordinator& gangs;     ///< starts and ends gangs as a whole
    placement::Planner& planner;           ///< owner of the queues of tasks
  };

  /// To be constructed when the leadership begins: the time of construction is taken as its start.
  explicit JobLifecycle(Context context);

  /// Restores an unfinished job, with the assignments of its tasks, from the records.
  void restore(const std::string& id, const store::JobRecord& record);
  /// To be called when the record of the job has changed: adds an accepted job to the model, and
  /// stops a cancelled one.
  void on_record_changed(const std::string& id);
  /// To be called when another controller reports that it has recorded the job as cancelled.
  /// Returns whether this was not known before. The message only arrives earlier than the change
  /// of the record: it does not prove that the copy of the records is current (docs/design.md, rule
  /// 8).
  bool on_cancellation(const std::string& id);
  /// Hands the final states of jobs that are over to the group commit.
  void finalize_completed();

 private:
  void restore_block(state::Job& job, std::uint32_t number, const store::Mirror::Block& stored);
  void cancel(state::Job& job);
  void finalize(state::Job& job);

  Context context_;
  double started_at_;  ///< when this leadership began
};

}  // namespace elmstall::reconcile
