#include "wire/workers.hpp"

#include <array>
#include <charconv>

#include "wire/names.hpp"

namespace elmstall::wire {
namespace {

constexpr EnumNames<TaskState, 5> kTaskStates{{{"fetching", TaskState::fetching},
                                               {"gathering", TaskState::gathering},
                                               {"running", TaskState::running},
                                               {"flushing", TaskState::checkpointing},
                                               {"ended", TaskState::ended}}};
constexpr EnumNames<EndCause, 8> kEndCauses{{{"done", EndCause::done},
                                             {"halted", EndCause::stopped},
                                             {"error", EndCause::error},
                                             {"no_room", EndCause::no_room},
                                             {"in_use", EndCause::in_use},
                                             {"unknown", EndCause::unknown},
                                             {"mates_gone", EndCause::mates_gone},
                                             {"incomplete", EndCause::incomplete}}};
constexpr EnumNames<Verb, 3> kVerbs{
    {{"run", Verb::run}, {"kill", Verb::stop}, {"clear", Verb::clear}}};

/// Adds the field that lists the commands to the map that is being packed.
void pack_commands(Packer& packer, const std::vector<WorkerCommand>& commands) {
  packer.key("orders").list(commands.size());
  for (const auto& command : commands) {
    const bool stop = command.verb == Verb::stop;
    packer.map(stop ? 4 : 3);
    packer.key("verb").text(name_of(kVerbs, command.verb));
    packer.key("shard").text(task_name(command.job, command.index));
    packer.key("try").integer(command.attempt);
    if (stop) packer.key("wind_down_s").number(command.grace_period_s);
  }
}

/// The parts of a task name.
struct TaskName {
  std::string job;
  std::uint32_t index = 0;
};

/// Parses a name that task_name() composed. Throws DecodeError if the text is not a task name.
TaskName parse_task_name(const std::string& name) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) throw DecodeError("a task name has no number");
  TaskName parsed;
  const char* end = name.data() + name.size();
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, parsed.index);
  if (error != std::errc() || stop != end) throw DecodeError("a task name has no number");
  parsed.job = name.substr(0, slash);
  return parsed;
}

void pack_task(Packer& packer, const TaskStatus& task) {
  const bool ended = task.state == TaskState::ended;
  packer.map(ended ? 5 : 3);
  packer.key("shard").text(task_name(task.job, task.index));
  packer.key("try").integer(task.attempt);
  packer.key("status").text(name_of(kTaskStates, task.state));
  if (!ended) return;
  packer.key("cause").text(name_of(kEndCauses, task.cause));
  packer.key("kept").flag(task.saved);
}

TaskStatus decode_task(const Object& object) {
  const Fields fields(object);
  TaskStatus task;
  auto name = parse_task_name(fields.text("shard"));
  task.job = std::move(name.job);
  task.index = name.index;
  task.attempt = fields.integer("try");
  task.state = parse_enum_or(kTaskStates, fields.text("status"), TaskState::other);
  if (task.state == TaskState::ended) {
    task.cause =
        parse_enum_or(kEndCauses, fields.maybe_text("cause").value_or(""), EndCause::other);
    task.saved = fields.flag_or("kept", false);
  }
  return task;
}

WorkerCommand decode_command(const Object& object) {
  const Fields fields(object);
  WorkerCommand command;
  command.verb = parse_enum(kVerbs, fields.text("verb"), "verb");
  auto name = parse_task_name(fields.text("shard"));
  command.job = std::move(name.job);
  command.index = name.index;
  command.attempt = fields.integer("try");
  command.grace_period_s = fields.maybe_number("wind_down_s").value_or(0);
  return command;
}

}  // namespace

std::string_view to_text(Verb verb) { return name_of(kVerbs, verb); }

std::string encode_heartbeat(const WorkerHeartbeat& heartbeat) {
  Packer packer;
  packer.map(10);
  packer.key("host").text(heartbeat.machine);
  packer.key("addr").text(heartbeat.addr);
  packer.key("build").text(heartbeat.type);
  packer.key("yard").text(heartbeat.zone);
  packer.key("loaners").flag(heartbeat.spot);
  packer.key("shift").integer(heartbeat.epoch);
  packer.key("recall_s").number_or_null(heartbeat.interruption_in_s);
  packer.key("tick").integer(heartbeat.sequence);
  packer.key("baton").integer(heartbeat.token);
  packer.key("shards").list(heartbeat.tasks.size());
  for (const auto& task : heartbeat.tasks) pack_task(packer, task);
  return packer.take();
}

WorkerHeartbeat decode_heartbeat(const Object& object) {
  const Fields fields(object);
  WorkerHeartbeat heartbeat;
  heartbeat.machine = decode_name(fields, "host");
  heartbeat.addr = fields.maybe_text("addr").value_or("");
  heartbeat.type = decode_name(fields, "build");
  heartbeat.zone = decode_name(fields, "yard");
  heartbeat.spot = fields.flag("loaners");
  heartbeat.epoch = fields.integer("shift");
  heartbeat.sequence = fields.integer("tick");
  heartbeat.token = fields.integer_or("baton", 0);
  heartbeat.interruption_in_s = fields.maybe_number("recall_s");
  // A heartbeat without the list says nothing about the tasks. It must not pass for one whose list
  // is empty, which proves that no task is on the machine (rule 3).
  for (const auto& item : elements(&fields.require("shards"), "shards"))
    heartbeat.tasks.push_back(decode_task(item));
  return heartbeat;
}

std::string encode_heartbeat_reply(std::uint64_t token,
                                   const std::vector<WorkerCommand>& commands) {
  Packer packer;
  packer.map(2).key("baton").integer(token);
  pack_commands(packer, commands);
  return packer.take();
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t epoch,
                                   const std::vector<WorkerCommand>& commands) {
  Packer packer;
  packer.map(3).key("baton").integer(token).key("shift").integer(epoch);
  pack_commands(packer, commands);
  return packer.take();
}

CommandEnvelope decode_commands(const Object& object) {
  const Fields fields(object);
  CommandEnvelope result;
  result.token = fields.integer_or("baton", 0);
  result.epoch = fields.integer_or("shift", 0);
  for (const auto& item : elements(fields.find("orders"), "orders"))
    result.commands.push_back(decode_command(item));
  return result;
}

std::string encode_redirect(std::string_view node) {
  Packer packer;
  if (node.empty()) {
    packer.map(0);
  } else {
    packer.map(1).key("steward").text(node);
  }
  return packer.take();
}

std::string task_name(std::string_view job, std::uint32_t index) {
  return std::string(job) + "/" + std::to_string(index);
}

}  // namespace elmstall::wire
