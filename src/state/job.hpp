/// @file
/// Jobs and the blocks of their tasks, as the leader knows them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "sched/resources.hpp"
#include "state/gang.hpp"
#include "state/group_commit.hpp"
#include "state/task.hpp"
#include "wire/jobs.hpp"

namespace elmstall::state {

struct Block {
  Job* job = nullptr;
  std::uint32_t number = 0;
  std::uint32_t first = 0;
  std::vector<bool> done;
  std::vector<Task> tasks;  ///< empty once all are done
  GroupCommit::Record* record = nullptr;
  [[nodiscard]] bool all_done() const { return tasks.empty(); }
};

struct Job {
  std::string id;
  std::uint64_t serial = 0;
  const config::Team* team = nullptr;
  const sched::Amount* team_usage = nullptr;
  std::uint32_t image = 0;  ///< number that stands for its image's name
  wire::JobSpec spec;
  sched::Amount need;
  bool cancelled = false;
  double submitted = 0;  ///< on this node's steady clock
  std::map<std::uint32_t, std::unique_ptr<Block>> blocks;
  std::uint32_t next_block = 0;  ///< first that is not in memory yet
  std::uint32_t block_count = 0;
  std::uint32_t finished_tasks = 0;
  std::uint32_t on_machines = 0;  ///< tasks that are or may be on machines
  bool begun = false;             ///< one of its tasks was assigned once
  double searched_at = kNever;    ///< when room was last looked for by stopping others
  std::map<std::string, std::uint32_t> per_zone;
  std::set<std::string> failed_on;
  std::string zone_choice;  ///< for `together`
  Gang gang;                ///< of a gang
  double failed_until = kNever;
  int failures = 0;
  [[nodiscard]] bool is_service() const { return spec.kind == wire::JobKind::service; }
  [[nodiscard]] bool is_gang() const { return spec.kind == wire::JobKind::gang; }
  [[nodiscard]] bool all_done() const { return finished_tasks == spec.tasks; }
};

/// Never by address, as for tasks.
struct JobOrder {
  bool operator()(const Job* a, const Job* b) const { return a->serial < b->serial; }
};
using JobSet = std::set<Job*, JobOrder>;

}  // namespace elmstall::state
