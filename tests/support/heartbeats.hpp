/// \file
/// Heartbeats for tests that send them in place of a worker.
#pragma once

#include <optional>

#include "state/model.hpp"
#include "support/worker.hpp"

namespace elmstall::test {

/// The heartbeat of this worker without any task.
inline wire::WorkerHeartbeat heartbeat_of(const FakeWorker& worker, std::uint64_t epoch,
                                          std::uint64_t sequence, std::uint64_t token) {
  return {worker.id(), worker.id(), worker.type(), worker.zone(), worker.spot(),
          epoch,       sequence,    token,         std::nullopt,  {}};
}

/// Adds all tasks that the leader has on the machine, in this state.
inline void show_tasks(wire::WorkerHeartbeat& heartbeat, const state::Machine& machine,
                       wire::TaskState state, wire::EndCause cause) {
  for (const auto* task : machine.tasks)
    heartbeat.tasks.push_back({task->job->id, task->index, task->attempt(), state, cause, false});
}

}  // namespace elmstall::test
