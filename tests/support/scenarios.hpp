// What tests of faults ask of the world, and how they set it up.
#pragma once

#include <gtest/gtest.h>

#include "support/jobs.hpp"
#include "support/world.hpp"

namespace elmstall::test {

/// Tasks of the job that are or may be on machines, as the leader sees it.
inline std::size_t placed(World& world, const std::string& id) {
  auto* node = world.leader();
  auto* job = node == nullptr ? nullptr : node->leader()->model().job(id);
  return job == nullptr ? 0 : job->on_machines;
}

inline FakeWorker* worker_of(World& world, const std::string& job) {
  auto* node = world.leader();
  if (node == nullptr) return nullptr;
  for (auto& [id, machine] : node->leader()->model().machines()) {
    for (const auto* task : machine->tasks) {
      if (task->job->id == job) return world.workers.at(id).get();
    }
  }
  return nullptr;
}

inline std::size_t leader_index(World& world) {
  for (std::size_t i = 0; i < world.node_count(); ++i) {
    if (world.node(i) != nullptr && world.node(i) == world.leader()) return i;
  }
  ADD_FAILURE() << "nobody leads";
  return 0;
}

/// Until a controller of the north leads: every second node is of the south.
inline void lead_from_north(World& world) {
  for (int i = 0; i < 8 && leader_index(world) % 2 == 1; ++i) {
    world.crash(leader_index(world), 6);
    world.run_for(8);
  }
  ASSERT_EQ(leader_index(world) % 2, 0U);
}

inline wire::JobSpec array_in(const char* zone, int number, std::uint32_t tasks, double expect_s) {
  auto job = array(number, tasks, expect_s);
  job.zone = zone;
  return job;
}

/// Replicas on ordinary machines, spread over the zones.
inline wire::JobSpec service(int number, std::uint32_t tasks) {
  auto job = array(number, tasks);
  job.kind = wire::JobKind::service;
  job.priority = wire::Priority::critical;
  job.job_class = "live";
  job.spot = false;
  job.spread = true;
  job.expect_s = 0;
  return job;
}

inline void expect_rules(const World& world) { EXPECT_EQ(world.rules.first_broken(), ""); }

/// What a user who asks now is told.
inline std::optional<wire::JobState> told(World& world, const std::string& id) {
  world.poll(id);
  world.run_for(2);
  return world.last_told(id);
}

/// What this worker would report, for tests that speak for it.
inline wire::WorkerHeartbeat heartbeat_of(const FakeWorker& worker, std::uint64_t epoch,
                                          std::uint64_t sequence, std::uint64_t token) {
  return {worker.id(), worker.id(), worker.type(), worker.zone(), worker.spot(),
          epoch,       sequence,    token,         std::nullopt,  {}};
}

/// All tasks that the leader knows there, in this state.
inline void show_tasks(wire::WorkerHeartbeat& heartbeat, const state::Machine& machine,
                       wire::TaskState state, wire::EndCause cause) {
  for (const auto* task : machine.tasks)
    heartbeat.tasks.push_back({task->job->id, task->index, task->attempt, state, cause, false});
}

inline void refuse_state(World& world, std::size_t node, bool refused) {
  world.store(node).faults.refused = refused;
}

inline void all_late_writes(World& world, double share) {
  for (std::size_t i = 0; i < world.node_count(); ++i) world.store(i).faults.late_writes = share;
}

/// Every worker's clock, and that of each node's next process, as far off as
/// the protocol allows.
inline void extreme_clocks(World& world) {
  for (auto& [id, worker] : world.workers) worker->clock = 0.9995;
}

}  // namespace elmstall::test
