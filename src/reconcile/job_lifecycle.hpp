// Jobs from their acceptance to their final state, as the leader sees them: it
// follows the records that controllers write for users, stops cancelled jobs and
// has final states written.
#pragma once

#include <string>

#include "placement/gang_coordinator.hpp"
#include "placement/planner.hpp"
#include "runtime/event_loop.hpp"
#include "state/group_commit.hpp"
#include "state/model.hpp"
#include "store/mirror.hpp"

namespace elmstall::reconcile {

class JobLifecycle {
 public:
  struct Context {
    const runtime::EventLoop& event_loop;
    const store::Mirror& mirror;
    state::Model& model;
    state::GroupCommit& group_commit;
    placement::GangCoordinator& gangs;
    placement::Planner& planner;
  };

  explicit JobLifecycle(Context context);

  /// Restores an unfinished job, with the assignments of its tasks, from the records.
  void restore(const std::string& id, const store::JobRecord& record);
  /// The record of this job has changed: it was accepted or cancelled.
  void on_record_changed(const std::string& id);
  /// Another controller has recorded that the job is cancelled. Returns whether
  /// that was news. This message comes on top of the records: it does not show
  /// that they are current (docs/design.md, rule 8).
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
