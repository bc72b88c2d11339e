#include "support/gangs.hpp"

#include <algorithm>
#include <cmath>

#include "support/world.hpp"

namespace elmstall::test {

using wire::EndCause;
using wire::TaskState;

double FakeGangs::progress(const std::string& job) const {
  const auto found = saved_progress_.find(job);
  return found == saved_progress_.end() ? 0 : found->second;
}

double FakeGangs::run_time(const std::string& job) {
  const auto found = run_times_.find(job);
  if (found != run_times_.end()) return found->second;
  return run_times_[job] = world_.spec(job)->expect_s * (0.6 + 0.8 * world_.random());
}

double FakeGangs::total_progress(const AttemptKey& name, const Attempt& attempt) {
  const double until = attempt.first_stop_at >= 0 ? attempt.first_stop_at : world_.loop.now();
  return progress(name.first) + until - attempt.started_at;
}

void FakeGangs::join(const std::string& job, std::uint32_t index, std::uint64_t number,
                     Member member) {
  const AttemptKey name{job, number};
  auto& attempt = attempts_[name];
  attempt.members[index] = member;
  if (!attempt.started && attempt.members.size() == world_.spec(job)->tasks)
    return start(name, attempt);
  world_.loop.after(world_.settings.gang_wait_s, [this, name, index, member] {
    auto& waiting = attempts_[name];
    const auto found = waiting.members.find(index);
    const bool still = found != waiting.members.end() && found->second.worker == member.worker &&
                       found->second.serial == member.serial;
    if (still && !waiting.started)
      member.worker->end_gang_task({name.first, index}, member.serial, EndCause::incomplete, false);
  });
}

void FakeGangs::start(const AttemptKey& name, Attempt& attempt) {
  ++attempts_started_;
  attempt.started = true;
  attempt.started_at = world_.loop.now();
  for (const auto& [index, member] : attempt.members)
    member.worker->set_gang_task_state({name.first, index}, member.serial, TaskState::running);
  check_attempt(name);
}

void FakeGangs::check_attempt(const AttemptKey& name) {
  world_.loop.after(0.1, [this, name] {
    auto& attempt = attempts_[name];
    if (attempt.ended) return;
    const double now = world_.loop.now();
    const bool hung = std::any_of(attempt.members.begin(), attempt.members.end(),
                                  [](const auto& one) { return one.second.worker->hung(); });
    if (!hung) attempt.hung_since = -1;
    if (hung && attempt.hung_since < 0) attempt.hung_since = now;
    const double peer_s = world_.settings.gang_peer_s;
    if (hung && now > attempt.hung_since + peer_s) return fail(name, attempt, 0);
    if (attempt.first_stop_at >= 0 && now > attempt.first_stop_at + peer_s) {
      const bool all = std::all_of(attempt.members.begin(), attempt.members.end(),
                                   [](const auto& one) { return one.second.stop_requested; });
      if (!all) return fail(name, attempt, 0);
    }
    if (!hung && attempt.first_stop_at < 0 && total_progress(name, attempt) >= run_time(name.first))
      return complete(name, attempt);
    check_attempt(name);
  });
}

void FakeGangs::complete(const AttemptKey& name, Attempt& attempt) {
  attempt.ended = true;
  completed_[name.first] = true;
  const auto tasks = world_.spec(name.first)->tasks;
  for (std::uint32_t index = 0; index < tasks; ++index)
    world_.rules.record_completed(name.first, index);
  if (world_.on_last_task_end) world_.on_last_task_end(name.first);
  for (const auto& [index, member] : std::map(attempt.members))
    member.worker->end_gang_task({name.first, index}, member.serial, EndCause::done, false);
}

void FakeGangs::fail(const AttemptKey& name, Attempt& attempt, double within_s) {
  if (attempt.ended) return;
  ++attempts_failed_;
  attempt.ended = true;
  const double every = world_.spec(name.first)->checkpoint_every_s;
  if (every > 0) {
    const double kept = std::floor(total_progress(name, attempt) / every) * every;
    saved_progress_[name.first] = std::max(progress(name.first), kept);
  }
  for (const auto& [index, member] : std::map(attempt.members)) {
    world_.loop.after(within_s * world_.random(), [name, index = index, member = member] {
      member.worker->end_gang_task({name.first, index}, member.serial, EndCause::mates_gone, false);
    });
  }
}

void FakeGangs::leave(const std::string& job, std::uint32_t index, std::uint64_t number) {
  const AttemptKey name{job, number};
  const auto found = attempts_.find(name);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.members.erase(index) == 0) return;
  // If the attempt has not started, the other tasks keep waiting.
  if (attempt.started) fail(name, attempt, world_.settings.gang_peer_s);
}

bool FakeGangs::stop(const std::string& job, std::uint32_t index, std::uint64_t number) {
  const AttemptKey name{job, number};
  auto& attempt = attempts_[name];
  const auto found = attempt.members.find(index);
  if (!attempt.started || attempt.ended || found == attempt.members.end()) return false;
  if (found->second.stop_requested) return true;
  found->second.stop_requested = true;
  if (attempt.first_stop_at < 0) attempt.first_stop_at = world_.loop.now();
  world_.loop.after(world_.spec(job)->checkpoint_s,
                    [this, name, index, serial = found->second.serial] {
                      auto& checkpointing = attempts_[name];
                      const auto member = checkpointing.members.find(index);
                      if (checkpointing.ended || member == checkpointing.members.end() ||
                          member->second.serial != serial)
                        return;
                      member->second.saved = true;
                      check_saved(name, checkpointing);
                    });
  return true;
}

void FakeGangs::check_saved(const AttemptKey& name, Attempt& attempt) {
  const bool all = std::all_of(attempt.members.begin(), attempt.members.end(),
                               [](const auto& one) { return one.second.saved; });
  if (!all) return;
  ++attempts_saved_;
  attempt.ended = true;
  saved_progress_[name.first] = total_progress(name, attempt);
  for (const auto& [index, member] : std::map(attempt.members))
    member.worker->end_gang_task({name.first, index}, member.serial, EndCause::stopped, true);
}

}  // namespace elmstall::test
