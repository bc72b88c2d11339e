#include "reconcile/job_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <utility>

#include "placement/task_stop.hpp"

namespace elmstall::reconcile {

JobLifecycle::JobLifecycle(Context context)
    : context_(context), started_at_(context.event_loop.now()) {}

void JobLifecycle::restore(const std::string& id, const store::JobRecord& record) {
  const auto& loop = context_.event_loop;
  const double age = std::max(0.0, loop.wall_time() - record.submitted);
  auto& job = context_.model.add_job(id, record, loop.now() - age);
  if (const auto* blocks = context_.mirror.blocks(id)) {
    for (const auto& [number, stored] : *blocks) {
      if (number < job.block_count) restore_block(job, number, stored);
    }
  }
  if (job.is_gang()) context_.gangs.recover(job, started_at_);
  if (job.cancelled) cancel(job);
}

void JobLifecycle::restore_block(state::Job& job, std::uint32_t number,
                                 const store::Mirror::Block& stored) {
  auto& block = context_.model.load_block(job, number, &stored);
  for (const auto& task : stored.record.tasks) {
    const bool within_block =
        task.index >= block.first && task.index - block.first < block.tasks.size();
    if (task.machine.empty() || !within_block) continue;
    auto* machine = context_.model.find_machine(task.machine);
    if (machine == nullptr) {
      // A machine is recorded before any task is assigned to it, and removed from
      // the records only once it was deleted with all its tasks. The block may have
      // been written before that. The task runs nowhere (rule 7): if it stayed
      // assigned, it would count towards its team's usage for ever.
      context_.group_commit.mark_dirty(*block.record);
      continue;
    }
    context_.model.restore(block.tasks[task.index - block.first], *machine, task.attempt);
  }
  const bool all_done = std::all_of(block.done.begin(), block.done.end(), std::identity{});
  if (all_done) context_.model.release_tasks(block);
}

void JobLifecycle::on_record_changed(const std::string& id) {
  const auto* stored = context_.mirror.job(id);
  if (stored == nullptr) return;
  auto* job = context_.model.job(id);
  if (job == nullptr) {
    const auto& spec = stored->record.spec;
    spdlog::info("job {} accepted: {} tasks of class {} for {}", id, spec.tasks, spec.job_class,
                 spec.team);
    restore(id, stored->record);
  } else if (stored->record.cancelled && !job->cancelled) {
    job->cancelled = true;
    cancel(*job);
  }
}

bool JobLifecycle::on_cancellation(const std::string& id) {
  auto* job = context_.model.job(id);
  if (job == nullptr || job->cancelled) return false;
  job->cancelled = true;
  cancel(*job);
  return true;
}

void JobLifecycle::cancel(state::Job& job) {
  spdlog::info("job {} cancelled", job.id);
  context_.model.finalizable().insert(&job);
  for (auto& [number, block] : job.blocks) {
    for (auto& task : block->tasks) {
      context_.planner.dequeue(task);
      if (!task.is_planned() && !task.may_be_on_machine()) continue;
      placement::stop_task(context_.model, task, placement::StopMode::immediate,
                           context_.event_loop.now());
      // The checkpoint of a cancelled job is not needed, so its task need not finish writing it.
      task.withdraw_grace_period();
    }
  }
}

void JobLifecycle::finalize_completed() {
  for (auto* job : std::exchange(context_.model.finalizable(), {})) {
    if (context_.group_commit.finishing(job->id)) continue;
    const bool over = job->cancelled ? job->on_machines == 0 : job->all_done();
    if (over) finalize(*job);
  }
}

void JobLifecycle::finalize(state::Job& job) {
  const auto state = job.cancelled ? wire::JobState::cancelled : wire::JobState::done;
  state::GroupCommit::Finalization finalization{job.id, {state, job.spec.tasks}, {}};
  for (auto& [number, block] : job.blocks) finalization.blocks.push_back(block->record);
  spdlog::info("job {} is over: {}", job.id, wire::to_text(state));
  context_.group_commit.finish(std::move(finalization));
}

}  // namespace elmstall::reconcile
