#include "dispatch/order_composer.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::dispatch {

namespace k = constants;
using wire::TaskState;
using wire::Verb;

std::vector<wire::Order> OrderComposer::cancellations(const state::Host& host) {
  Orders orders;
  for (const auto* task : host.tasks) {
    if (orders.size() >= k::kMaxOrders) break;
    const bool may_be_there =
        task->phase == state::Phase::assigned && task->stopping && task->job->cancelled;
    if (may_be_there) orders.push_back({Verb::stop, task->job->id, task->index, task->attempt, 0});
  }
  return orders;
}

bool OrderComposer::may_clear(const state::Exited& exited) {
  // Only after what it reported is recorded: once cleared, the worker would
  // start the attempt anew.
  auto* job = model_.job(exited.job);
  if (job == nullptr) return true;
  if (group_commit_.finishing(exited.job)) return false;
  const auto block = job->blocks.find(exited.index / store::block_size(settings_.state.value_kb));
  return block == job->blocks.end() || block->second->record->clean();
}

void OrderComposer::add_clears(const state::Host& host, Orders& orders) {
  for (const auto& exited : host.exited) {
    if (orders.size() >= k::kMaxOrders) return;
    if (may_clear(exited))
      orders.push_back({Verb::clear, exited.job, exited.index, exited.attempt, 0});
  }
}

void OrderComposer::add_stop(state::Task& task, double now, Orders& orders) {
  // A task that saves is left alone unless its work is of no use. One that
  // waits for its gang to have saved may be reported as running.
  if (task.wind_down_s > 0) {
    if (task.state == TaskState::saving || now < task.stop_sent + k::kStopRepeat) return;
    task.stop_sent = now;
  }
  orders.push_back({Verb::stop, task.job->id, task.index, task.attempt, task.wind_down_s});
}

bool OrderComposer::run_due(const state::Task& task, const state::Host& host) {
  if (task.seen || task.block->record->written < task.needs) return false;
  if (task.job->gang() && !gangs_.may_run(task)) return false;
  // While the machine knows an earlier attempt it would refuse this one.
  return std::none_of(host.exited.begin(), host.exited.end(), [&](const state::Exited& exited) {
    return exited.index == task.index && exited.job == task.job->id && !may_clear(exited);
  });
}

std::vector<wire::Order> OrderComposer::compose(state::Host& host, double now, bool starting) {
  Orders orders = cancellations(host);
  for (const auto& name : host.unrecorded_tasks) {
    if (orders.size() >= k::kMaxOrders) break;
    orders.push_back({Verb::stop, name.job, name.index, name.attempt, 0});
  }
  add_clears(host, orders);
  for (auto* task : host.tasks) {
    if (orders.size() >= k::kMaxOrders) break;
    if (task->phase != state::Phase::assigned || task->job->cancelled) continue;
    if (task->stopping) {
      add_stop(*task, now, orders);
    } else if (starting && run_due(*task, host)) {
      orders.push_back({Verb::run, task->job->id, task->index, task->attempt, 0});
      task->offered = true;
    }
  }
  return orders;
}

}  // namespace elmstall::dispatch
