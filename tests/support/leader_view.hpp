/// \file
/// Read access of tests to the state of the leading controller, as far as several tests share it.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "support/world.hpp"

namespace elmstall::test {

/// The leading controller's leader role; a controller must lead.
inline controller::Leader& leader_of(World& world) { return *world.leader()->leader(); }

/// The leader's model of jobs and machines; a controller must lead.
inline state::Model& leader_model(World& world) { return leader_of(world).model(); }

/// The job in the leader's model; null if there is no leader or the job is not in its model.
inline state::Job* job_at_leader(World& world, const std::string& id) {
  return world.leader() == nullptr ? nullptr : leader_model(world).job(id);
}

/// The machine of this worker in the leader's model, or null; a controller must lead.
inline state::Machine* machine_of(World& world, const FakeWorker& worker) {
  return leader_model(world).find_machine(worker.id());
}

/// Number of the job's tasks that are or may be on machines, according to the leader.
inline std::size_t placed_tasks(World& world, const std::string& id) {
  const auto* job = job_at_leader(world, id);
  return job == nullptr ? 0 : job->on_machines;
}

/// Number of the job's tasks that the last heartbeats showed as running.
inline std::size_t running_tasks(World& world, const std::string& id) {
  const auto* job = job_at_leader(world, id);
  if (job == nullptr) return 0;
  std::size_t count = 0;
  for (const auto& [number, block] : job->blocks) {
    for (const auto& task : block->tasks)
      count += task.in_last_heartbeat() && task.reported_state() == wire::TaskState::running;
  }
  return count;
}

/// A worker that has a task of this job, according to the leader, or null.
inline FakeWorker* worker_of(World& world, const std::string& job) {
  if (world.leader() == nullptr) return nullptr;
  for (const auto& [id, machine] : leader_model(world).machines()) {
    for (const auto* task : machine->tasks) {
      if (task->job->id == job) return world.workers.at(id).get();
    }
  }
  return nullptr;
}

/// Index of the node that leads; a failure of the test if none does.
inline std::size_t leader_index(World& world) {
  for (std::size_t i = 0; i < world.node_count(); ++i) {
    if (world.node(i) != nullptr && world.node(i) == world.leader()) return i;
  }
  ADD_FAILURE() << "no leader";
  return 0;
}

}  // namespace elmstall::test
