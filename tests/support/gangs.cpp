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

double FakeGangs::total_progress(const AttemptKey& key, const Attempt& attempt) {
  const double until = attempt.first_stop_at >= 0 ? attempt.first_stop_at : world_.loop.now();
  return progress(key.first) + until - attempt.started_at;
}

void FakeGangs::join(const std::string& job, std::uint32_t index, std::uint64_t number,
                     Member member) {
  const AttemptKey key{job, number};
  auto& attempt = attempts_[key];
  attempt.members[index] = member;
  if (!attempt.started && attempt.members.size() == world_.spec(job)->tasks)
    return start(key, attempt);
  world_.loop.after(world_.settings.gang_wait_s, [this, key, index, member] {
    auto& waiting = attempts_[key];
    const auto found = waiting.members.find(index);
    const bool still = found != waiting.members.end() && found->second.worker == member.worker &&
                       found->second.serial == member.serial;
    if (still && !waiting.started)
      member.worker->end_gang_task({key.first, index}, member.serial, EndCause::incomplete, false);
  });
}

void FakeGangs::start(const AttemptKey& key, Attempt& attempt) {
  ++attempts_started_;
  attempt.started = true;
  attempt.started_at = world_.loop.now();
  for (const auto& [index, member] : attempt.members)
    member.worker->set_gang_task_state({key.first, index}, member.serial, TaskState::running);
  check_attempt(key);
}

void FakeGangs::check_attempt(const AttemptKey& key) {
  world_.loop.after(0.1, [this, key] {
    auto& attempt = attempts_[key];
    if (attempt.ended) return;
    const double now = world_.loop.now();
    const bool hung = std::any_of(attempt.members.begin(), attempt.members.end(),
                                  [](const auto& one) { return one.second.worker->hung(); });
    if (!hung) attempt.hung_since = -1;
    if (hung && attempt.hung_since < 0) attempt.hung_since = now;
    const double peer_s = world_.settings.gang_peer_s;
    if (hung && now > attempt.hung_since + peer_s) return fail(key, attempt, 0);
    if (attempt.first_stop_at >= 0 && now > attempt.first_stop_at + peer_s) {
      const bool all = std::all_of(attempt.members.begin(), attempt.members.end(),
                                   [](const auto& one) { return one.second.stop_requested; });
      if (!all) return fail(key, attempt, 0);
    }
    if (!hung && attempt.first_stop_at < 0 && total_progress(key, attempt) >= run_time(key.first))
      return complete(key, attempt);
    check_attempt(key);
  });
}

void FakeGangs::complete(const AttemptKey& key, Attempt& attempt) {
  attempt.ended = true;
  completed_[key.first] = true;
  const auto tasks = world_.spec(key.first)->tasks;
  for (std::uint32_t index = 0; index < tasks; ++index)
    world_.rules.record_completed(key.first, index);
  if (world_.on_last_task_end) world_.on_last_task_end(key.first);
  for (const auto& [index, member] : std::map(attempt.members))
    member.worker->end_gang_task({key.first, index}, member.serial, EndCause::done, false);
}

void FakeGangs::fail(const AttemptKey& key, Attempt& attempt, double within_s) {
  if (attempt.ended) return;
  ++attempts_failed_;
  attempt.ended = true;
  const double every = world_.spec(key.first)->checkpoint_every_s;
  if (every > 0) {
    const double kept = std::floor(total_progress(key, attempt) / every) * every;
    saved_progress_[key.first] = std::max(progress(key.first), kept);
  }
  for (const auto& [index, member] : std::map(attempt.members)) {
    world_.loop.after(within_s * world_.random(), [key, index = index, member = member] {
      member.worker->end_gang_task({key.first, index}, member.serial, EndCause::mates_gone, false);
    });
  }
}

void FakeGangs::leave(const std::string& job, std::uint32_t index, std::uint64_t number) {
  const AttemptKey key{job, number};
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.members.erase(index) == 0) return;
  // If the attempt has not started, the other tasks keep waiting.
  if (attempt.started) fail(key, attempt, world_.settings.gang_peer_s);
}

bool FakeGangs::stop(const std::string& job, std::uint32_t index, std::uint64_t number) {
  const AttemptKey key{job, number};
  auto& attempt = attempts_[key];
  const auto found = attempt.members.find(index);
  if (!attempt.started || attempt.ended || found == attempt.members.end()) return false;
  if (found->second.stop_requested) return true;
  found->second.stop_requested = true;
  if (attempt.first_stop_at < 0) attempt.first_stop_at = world_.loop.now();
  world_.loop.after(world_.spec(job)->checkpoint_s,
                    [this, key, index, serial = found->second.serial] {
                      auto& checkpointing = attempts_[key];
                      const auto member = checkpointing.members.find(index);
                      if (checkpointing.ended || member == checkpointing.members.end() ||
                          member->second.serial != serial)
                        return;
                      member->second.saved = true;
                      check_saved(key, checkpointing);
                    });
  return true;
}

void FakeGangs::check_saved(const AttemptKey& key, Attempt& attempt) {
  const bool all = std::all_of(attempt.members.begin(), attempt.members.end(),
                               [](const auto& one) { return one.second.saved; });
  if (!all) return;
  ++attempts_saved_;
  attempt.ended = true;
  saved_progress_[key.first] = total_progress(key, attempt);
  for (const auto& [index, member] : std::map(attempt.members))
    member.worker->end_gang_task({key.first, index}, member.serial, EndCause::stopped, true);
}

}  // namespace elmstall::test
