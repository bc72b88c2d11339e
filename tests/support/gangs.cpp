#include "support/gangs.hpp"

#include <algorithm>
#include <cmath>

#include "support/world.hpp"

namespace elmstall::test {

using wire::EndCause;
using wire::TaskState;

double FakeGangs::progress(const std::string& job) const {
  const auto found = progress_.find(job);
  return found == progress_.end() ? 0 : found->second;
}

double FakeGangs::run_time(const std::string& job) {
  const auto found = run_times_.find(job);
  if (found != run_times_.end()) return found->second;
  return run_times_[job] = world_.spec(job)->expect_s * (0.6 + 0.8 * world_.random());
}

double FakeGangs::reached(const Name& name, const Attempt& attempt) {
  const double until = attempt.first_stop >= 0 ? attempt.first_stop : world_.loop.now();
  return progress(name.first) + until - attempt.begun_at;
}

void FakeGangs::join(const std::string& job, std::uint32_t index, std::uint64_t number,
                     Member member) {
  const Name name{job, number};
  auto& attempt = attempts_[name];
  attempt.members[index] = member;
  if (!attempt.begun && attempt.members.size() == world_.spec(job)->tasks)
    return begin(name, attempt);
  world_.loop.after(world_.settings.gang_wait_s, [this, name, index, member] {
    auto& waiting = attempts_[name];
    const auto found = waiting.members.find(index);
    const bool still = found != waiting.members.end() && found->second.worker == member.worker &&
                       found->second.serial == member.serial;
    if (still && !waiting.begun)
      member.worker->end_gang_task({name.first, index}, member.serial, EndCause::incomplete, false);
  });
}

void FakeGangs::begin(const Name& name, Attempt& attempt) {
  ++begun_;
  attempt.begun = true;
  attempt.begun_at = world_.loop.now();
  for (const auto& [index, member] : attempt.members)
    member.worker->show_gang_task({name.first, index}, member.serial, TaskState::running);
  watch(name);
}

void FakeGangs::watch(const Name& name) {
  world_.loop.after(0.1, [this, name] {
    auto& attempt = attempts_[name];
    if (attempt.over) return;
    const double now = world_.loop.now();
    const bool hung = std::any_of(attempt.members.begin(), attempt.members.end(),
                                  [](const auto& one) { return one.second.worker->hung(); });
    if (!hung) attempt.hung_since = -1;
    if (hung && attempt.hung_since < 0) attempt.hung_since = now;
    const double peer_s = world_.settings.gang_peer_s;
    if (hung && now > attempt.hung_since + peer_s) return fail(name, attempt, 0);
    if (attempt.first_stop >= 0 && now > attempt.first_stop + peer_s) {
      const bool all = std::all_of(attempt.members.begin(), attempt.members.end(),
                                   [](const auto& one) { return one.second.told; });
      if (!all) return fail(name, attempt, 0);
    }
    if (!hung && attempt.first_stop < 0 && reached(name, attempt) >= run_time(name.first))
      return complete(name, attempt);
    watch(name);
  });
}

void FakeGangs::complete(const Name& name, Attempt& attempt) {
  attempt.over = true;
  done_[name.first] = true;
  const auto tasks = world_.spec(name.first)->tasks;
  for (std::uint32_t index = 0; index < tasks; ++index) world_.rules.completed(name.first, index);
  if (world_.on_last_task) world_.on_last_task(name.first);
  for (const auto& [index, member] : std::map(attempt.members))
    member.worker->end_gang_task({name.first, index}, member.serial, EndCause::done, false);
}

void FakeGangs::fail(const Name& name, Attempt& attempt, double within_s) {
  if (attempt.over) return;
  ++failed_;
  attempt.over = true;
  const double every = world_.spec(name.first)->checkpoint_every_s;
  if (every > 0) {
    const double kept = std::floor(reached(name, attempt) / every) * every;
    progress_[name.first] = std::max(progress(name.first), kept);
  }
  for (const auto& [index, member] : std::map(attempt.members)) {
    world_.loop.after(within_s * world_.random(), [name, index = index, member = member] {
      member.worker->end_gang_task({name.first, index}, member.serial, EndCause::mates_gone, false);
    });
  }
}

void FakeGangs::leave(const std::string& job, std::uint32_t index, std::uint64_t number) {
  const Name name{job, number};
  const auto found = attempts_.find(name);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.members.erase(index) == 0) return;
  // Before it has begun the others go on waiting.
  if (attempt.begun) fail(name, attempt, world_.settings.gang_peer_s);
}

bool FakeGangs::stop(const std::string& job, std::uint32_t index, std::uint64_t number) {
  const Name name{job, number};
  auto& attempt = attempts_[name];
  const auto found = attempt.members.find(index);
  if (!attempt.begun || attempt.over || found == attempt.members.end()) return false;
  if (found->second.told) return true;
  found->second.told = true;
  if (attempt.first_stop < 0) attempt.first_stop = world_.loop.now();
  world_.loop.after(world_.spec(job)->checkpoint_s,
                    [this, name, index, serial = found->second.serial] {
                      auto& checkpointing = attempts_[name];
                      const auto member = checkpointing.members.find(index);
                      if (checkpointing.over || member == checkpointing.members.end() ||
                          member->second.serial != serial)
                        return;
                      member->second.saved = true;
                      check_saved(name, checkpointing);
                    });
  return true;
}

void FakeGangs::check_saved(const Name& name, Attempt& attempt) {
  const bool all = std::all_of(attempt.members.begin(), attempt.members.end(),
                               [](const auto& one) { return one.second.saved; });
  if (!all) return;
  ++saves_;
  attempt.over = true;
  progress_[name.first] = reached(name, attempt);
  for (const auto& [index, member] : std::map(attempt.members))
    member.worker->end_gang_task({name.first, index}, member.serial, EndCause::stopped, true);
}

}  // namespace elmstall::test
