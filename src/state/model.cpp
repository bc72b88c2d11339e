#include "state/model.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::state {
namespace {

constexpr int kIndexBits = 20;               // more than the 100,000 tasks a job may have
constexpr std::size_t kMaxCachedImages = 8;  // images assumed to be cached on one machine

/// Packs the machine's record as it is at the moment of a commit.
std::function<store::PackedEntry()> packed_form(const Machine& machine) {
  return [&machine] {
    return store::pack(store::MachineEntry{
        machine.id,
        false,
        {machine.addr, machine.type, machine.zone, machine.spot, machine.retired}});
  };
}

TaskBudget::Use use_of(const Job& job) {
  return job.block_count == 1 ? TaskBudget::Use::small_job : TaskBudget::Use::large_job;
}

}  // namespace

Job& Model::add_job(const std::string& id, const store::JobRecord& record, double submitted) {
  auto job = std::make_unique<Job>();
  job->id = id;
  job->serial = next_serial_++;
  job->spec = record.spec;
  job->need = sched::need_of_task(record.spec.cpus, record.spec.gpus, record.spec.memory_gb);
  job->cancelled = record.cancelled;
  job->submitted = submitted;
  const auto size = store::block_size(settings_.state.value_kb);
  job->block_count = (record.spec.tasks + size - 1) / size;
  job->team = settings_.team(record.spec.team);
  job->team_usage = &usage_[record.spec.team];
  job->image =
      image_numbers_
          .try_emplace(record.spec.image, static_cast<std::uint32_t>(image_numbers_.size()))
          .first->second;
  jobs_by_serial_[job->serial] = job.get();
  jobs_with_unqueued_tasks_.insert(job.get());
  finalizable_.insert(job.get());
  include_need(*job);
  return *(jobs_[id] = std::move(job));
}

void Model::remove_job(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  for (const auto& [number, block] : found->second->blocks) {
    if (!block->all_done()) task_budget_.remove(TaskBudget::cost_of_block(block->tasks.size()));
  }
  jobs_by_serial_.erase(found->second->serial);
  jobs_with_unqueued_tasks_.erase(found->second.get());
  finalizable_.erase(found->second.get());
  jobs_.erase(found);
}

Job* Model::job(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

Job* Model::job_of(sched::TaskId id) { return job_by_serial(id >> kIndexBits); }

Job* Model::job_by_serial(std::uint64_t serial) {
  const auto found = jobs_by_serial_.find(serial);
  return found == jobs_by_serial_.end() ? nullptr : found->second;
}

Task* Model::task(sched::TaskId id) {
  auto* owner = job_of(id);
  return owner == nullptr ? nullptr
                          : task(*owner, static_cast<std::uint32_t>(id & ((1U << kIndexBits) - 1)));
}

Task* Model::task(Job& job, std::uint32_t index) const {
  const auto size = store::block_size(settings_.state.value_kb);
  const auto found = job.blocks.find(index / size);
  if (index >= job.spec.tasks || found == job.blocks.end()) return nullptr;
  auto& block = *found->second;
  return block.all_done() ? nullptr : &block.tasks[index - block.first];
}

std::uint32_t Model::block_length(const Job& job, std::uint32_t number) const {
  const auto size = store::block_size(settings_.state.value_kb);
  return std::min(size, job.spec.tasks - number * size);
}

bool Model::may_load_block(const Job& job, std::uint32_t number) const {
  if (job.blocks.contains(number)) return true;
  return task_budget_.allows(TaskBudget::cost_of_block(block_length(job, number)), use_of(job));
}

bool Model::may_load_job(const Job& job) const {
  if (job.blocks.size() == job.block_count) return true;
  // All blocks but the last one have the same length.
  const auto blocks_missing = job.block_count - job.blocks.size();
  const auto cost = TaskBudget::cost_of_block(block_length(job, 0));
  return task_budget_.allows(blocks_missing * cost, use_of(job));
}

void Model::unload_block(Job& job, std::uint32_t number) {
  const auto found = job.blocks.find(number);
  if (found == job.blocks.end()) return;
  const auto& block = *found->second;
  task_budget_.remove(TaskBudget::cost_of_block(block.tasks.size()));
  group_commit_.forget(*block.record);
  job.blocks.erase(found);
  job.next_block = std::min(job.next_block, number);
}

void Model::release_tasks(Block& block) {
  if (block.all_done()) return;
  task_budget_.remove(TaskBudget::cost_of_block(block.tasks.size()));
  block.tasks.clear();
  block.tasks.shrink_to_fit();
}

Block& Model::load_block(Job& job, std::uint32_t number, const store::Mirror::Block* stored) {
  auto& entry = job.blocks[number];
  if (entry) return *entry;
  entry = std::make_unique<Block>();
  auto& block = *entry;
  const auto size = store::block_size(settings_.state.value_kb);
  block.job = &job;
  block.number = number;
  block.first = number * size;
  const auto count = block_length(job, number);
  task_budget_.add(TaskBudget::cost_of_block(count));
  block.done.assign(count, false);
  block.tasks.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    const auto index = block.first + i;
    block.tasks.emplace_back(job, block, index, job.serial << kIndexBits | index);
  }
  if (stored != nullptr) {
    const auto& record = stored->record;
    for (std::uint32_t i = 0; i < count && i < record.done.size(); ++i) {
      if (!record.done[i]) continue;
      block.done[i] = true;
      block.tasks[i].enter(TaskPhase::done);
      ++job.finished_tasks;
    }
    for (const auto& known : record.tasks) {
      if (known.index < block.first || known.index - block.first >= count) continue;
      block.tasks[known.index - block.first].attempt_ = known.attempt;
    }
  }
  const auto pack = [&block] {
    return store::pack(store::BlockEntry{block.job->id, block.number, record_of(block)});
  };
  block.record =
      stored == nullptr
          ? group_commit_.add(GroupCommit::Record::Kind::block, job.id, pack)
          : group_commit_.restore(GroupCommit::Record::Kind::block, job.id, pack, stored->slot);
  return block;
}

store::BlockRecord Model::record_of(const Block& block) {
  store::BlockRecord record;
  record.done = block.done;
  for (const auto& task : block.tasks) {
    // Rule 1: an attempt number must never be used twice, so it is recorded also while the task is
    // on no machine.
    if (task.is_done() || task.attempt() == 0) continue;
    record.tasks.push_back({task.index, task.attempt(),
                            task.may_be_on_machine() ? task.machine()->id : std::string()});
  }
  return record;
}

Machine& Model::machine(const std::string& id) {
  auto& entry = machines_[id];
  if (!entry) {
    entry = std::make_unique<Machine>();
    entry->id = id;
  }
  return *entry;
}

Machine* Model::find_machine(const std::string& id) {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : found->second.get();
}

void Model::remove_machine(const std::string& id) {
  const auto found = machines_.find(id);
  if (found == machines_.end()) return;
  terminated_.insert(id);
  clear_unrecorded(*found->second);
  dirty_.erase(found->second.get());
  machines_to_command_.erase(found->second.get());
  if (found->second->record != nullptr)
    group_commit_.discard(*found->second->record, store::pack(store::MachineEntry{id, true, {}}));
  machines_.erase(found);
}

void Model::mark_dirty(Machine& machine) {
  if (std::exchange(machine.dirty, true)) return;
  dirty_.insert(&machine);
}

std::vector<Machine*> Model::take_dirty() {
  std::vector<Machine*> machines(dirty_.begin(), dirty_.end());
  dirty_.clear();
  for (auto* machine : machines) machine->dirty = false;
  return machines;
}

void Model::include_need(const Job& job) {
  auto& least = job.is_gang() ? least_gang_need_ : least_need_;
  if (least) {
    least = sched::min_of_each(*least, job.need);
    return;
  }
  least = job.need;
  // No machine has been checked yet for room for a need as small as this one.
  for (auto& [id, machine] : machines_) mark_dirty(*machine);
}

void Model::refresh_least_need() {
  std::optional<sched::Amount> least;
  std::optional<sched::Amount> least_of_gangs;
  for (const auto& [id, job] : jobs_) {
    if (job->cancelled) continue;
    auto& smallest = job->is_gang() ? least_of_gangs : least;
    smallest = smallest ? sched::min_of_each(*smallest, job->need) : job->need;
  }
  least_need_ = least;
  // When there is no gang any more, the last value is kept, because the next gang is most likely
  // similar.
  if (least_of_gangs) least_gang_need_ = least_of_gangs;
}

void Model::set_machine_types(std::vector<wire::MachineType> machine_types) {
  machine_types_ = std::move(machine_types);
  for (auto& [id, machine] : machines_) {
    if (const auto* known = machine_type(machine->type))
      machine->capacity = sched::capacity_of_machine(known->cpus, known->gpus, known->memory_gb);
  }
}

const wire::MachineType* Model::machine_type(const std::string& type) const {
  const auto found = std::find_if(machine_types_.begin(), machine_types_.end(),
                                  [&](const auto& one) { return one.name == type; });
  return found == machine_types_.end() ? nullptr : &*found;
}

void Model::update_attributes(Machine& machine, const std::string& type, const std::string& zone,
                              bool spot, const std::string& addr) const {
  // Tasks on the machine were counted for its present zone, and a machine never changes its zone.
  if (machine.tasks.empty() || machine.zone.empty()) machine.zone = zone;
  machine.type = type;
  machine.spot = spot;
  if (!addr.empty()) machine.addr = addr;
  if (const auto* known = machine_type(type))
    machine.capacity = sched::capacity_of_machine(known->cpus, known->gpus, known->memory_gb);
}

void Model::attach(Task& task, Machine& machine) {
  task.machine_ = &machine;
  machine.tasks.insert(&task);
  machine.used += task.job->need;
  machine.idle_since = kNever;
  usage_[task.job->spec.team] += task.job->need;
  ++task.job->per_zone[machine.zone];
  ++task.job->on_machines;
  ++on_machines_[static_cast<std::size_t>(task.job->spec.priority)];
  mark_dirty(machine);
}

void Model::detach(Task& task) {
  auto& machine = *task.machine();
  machine.tasks.erase(&task);
  machine.used -= task.job->need;
  if (machine.tasks.empty()) machine.used = {};
  usage_[task.job->spec.team] -= task.job->need;
  auto& in_zone = task.job->per_zone[machine.zone];
  if (--in_zone == 0) task.job->per_zone.erase(machine.zone);
  --task.job->on_machines;
  --on_machines_[static_cast<std::size_t>(task.job->spec.priority)];
  jobs_with_unqueued_tasks_.insert(task.job);
  finalizable_.insert(task.job);
  mark_dirty(machine);
  task.leave_machine();
}

void Model::mark_dirty(Task& task) { group_commit_.mark_dirty(*task.block->record); }

void Model::plan(Task& task, Machine& machine) {
  attach(task, machine);
  task.enter(TaskPhase::planned);
  planned_.insert(&task);
}

void Model::unplan(Task& task) {
  planned_.erase(&task);
  detach(task);
  task.enter(TaskPhase::pending);
}

void Model::assign(Task& task, Machine& machine) { assign(task, machine, task.attempt() + 1); }

void Model::assign(Task& task, Machine& machine, std::uint64_t attempt) {
  if (task.is_planned()) unplan(task);
  attach(task, machine);
  task.enter(TaskPhase::assigned);
  task.reported_state_ = wire::TaskState::fetching;
  machines_to_command_.insert(&machine);
  task.attempt_reused_ = attempt == task.attempt_;
  task.attempt_ = attempt;
  mark_dirty(task);
  task.required_version_ = task.block->record->version;
  task.job->begun = true;
  const auto image = task.job->image;
  std::erase(machine.images, image);
  machine.images.push_back(image);
  if (machine.images.size() > kMaxCachedImages) machine.images.pop_front();
}

void Model::restore(Task& task, Machine& machine, std::uint64_t attempt) {
  attach(task, machine);
  task.enter(TaskPhase::dispatched);  // the former leader may have sent `run`
  task.attempt_ = attempt;
  task.job->begun = true;
}

void Model::unassign(Task& task) {
  if (task.completion_reported() && !task.job->cancelled) return complete(task);
  detach(task);
  task.enter(TaskPhase::pending);
  mark_dirty(task);
}

void Model::complete(Task& task) {
  if (task.machine() != nullptr) detach(task);
  task.enter(TaskPhase::done);
  auto& block = *task.block;
  block.done[task.index - block.first] = true;
  ++task.job->finished_tasks;
  finalizable_.insert(task.job);
  mark_dirty(task);
  if (std::all_of(block.done.begin(), block.done.end(), std::identity{})) release_tasks(block);
}

void Model::add_unrecorded(Machine& machine, const Job& job) {
  machine.unrecorded_use += job.need;
  auto& usage = usage_[job.spec.team];
  usage += job.need;
  machine.unrecorded_team_use.push_back({&usage, job.need});
}

void Model::clear_unrecorded(Machine& machine) {
  for (const auto& use : machine.unrecorded_team_use) *use.total -= use.amount;
  machine.unrecorded_team_use.clear();
  machine.unrecorded_use = {};
}

void Model::clear_heartbeat_content(Machine& machine) {
  machine.exited.clear();
  machine.unrecorded_tasks.clear();
  clear_unrecorded(machine);
  machine.has_unknown_jobs = false;
}

void Model::record_machine(Machine& machine) {
  machine.record = group_commit_.add(GroupCommit::Record::Kind::machine, "", packed_form(machine));
  group_commit_.mark_dirty(*machine.record);
}

void Model::restore_record(Machine& machine, const store::Mirror::Machine& stored) {
  machine.record = group_commit_.restore(GroupCommit::Record::Kind::machine, "",
                                         packed_form(machine), stored.slot);
}

const sched::Amount& Model::usage(const std::string& team) const {
  static const sched::Amount none;
  const auto found = usage_.find(team);
  return found == usage_.end() ? none : found->second;
}

bool Model::allowed_kind(const Job& job, const Machine& machine) {
  const auto& spec = job.spec;
  if (machine.spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != machine.zone) return false;
  return spec.types.allows(machine.type);
}

bool Model::recordable(const Task& task) const {
  const auto& block = *task.block;
  if (task.attempt() > 0 || block.tasks.size() <= max_started_tasks_) return true;
  const auto started = std::count_if(block.tasks.begin(), block.tasks.end(), [](const Task& other) {
    return other.attempt() > 0 && !other.is_done();
  });
  return static_cast<std::uint32_t>(started) < max_started_tasks_;
}

bool Model::allowed(const Job& job, const Machine& machine) {
  if (!allowed_kind(job, machine)) return false;
  const auto& spec = job.spec;
  if (spec.together) {
    for (const auto& [zone, count] : job.per_zone) {
      if (zone != machine.zone) return false;
    }
    if (job.per_zone.empty() && !job.zone_choice.empty() && job.zone_choice != machine.zone)
      return false;
  }
  if (spec.spread) {
    const auto found = job.per_zone.find(machine.zone);
    const std::size_t there = found == job.per_zone.end() ? 0 : found->second;
    if (there + 1 > sched::spread_limit(spec.tasks)) return false;
  }
  return true;
}

bool Model::within_quota(const Job& job) {
  return job.team != nullptr && sched::within_limit(*job.team, *job.team_usage + job.need);
}

}  // namespace elmstall::state
