#include "wire/types.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

#include "config/constants.hpp"

namespace elmstall::wire {
namespace {

template <typename Enum, std::size_t N>
Enum pick(const std::array<std::pair<std::string_view, Enum>, N>& names, std::string_view text,
          std::string_view field) {
  for (const auto& [name, value] : names) {
    if (name == text) return value;
  }
  throw Malformed("field '" + std::string(field) +
                  "' has no such value: " + std::string(text.substr(0, 40)));
}

/// As above, for what workers say: a word that is new to us must not cost the
/// whole report, which would let the worker's lease run out.
template <typename Enum, std::size_t N>
Enum pick_or(const std::array<std::pair<std::string_view, Enum>, N>& names, std::string_view text,
             Enum fallback) {
  for (const auto& [name, value] : names) {
    if (name == text) return value;
  }
  return fallback;
}

template <typename Enum, std::size_t N>
std::string_view name_of(const std::array<std::pair<std::string_view, Enum>, N>& names,
                         Enum wanted) {
  for (const auto& [name, value] : names) {
    if (value == wanted) return name;
  }
  return {};
}

constexpr std::array<std::pair<std::string_view, JobKind>, 3> kKinds{
    {{"batch", JobKind::array}, {"daemon", JobKind::service}, {"group", JobKind::gang}}};
constexpr std::array<std::pair<std::string_view, Priority>, 4> kPriorities{
    {{"critical", Priority::critical},
     {"high", Priority::high},
     {"normal", Priority::normal},
     {"idle", Priority::idle}}};
constexpr std::array<std::pair<std::string_view, JobState>, 4> kJobStates{
    {{"queued", JobState::queued},
     {"running", JobState::running},
     {"done", JobState::done},
     {"withdrawn", JobState::cancelled}}};
constexpr std::array<std::pair<std::string_view, TaskState>, 4> kTaskStates{
    {{"fetching", TaskState::fetching},
     {"running", TaskState::running},
     {"flushing", TaskState::saving},
     {"ended", TaskState::ended}}};
constexpr std::array<std::pair<std::string_view, EndCause>, 6> kCauses{
    {{"done", EndCause::done},
     {"halted", EndCause::stopped},
     {"error", EndCause::error},
     {"no_room", EndCause::no_room},
     {"in_use", EndCause::in_use},
     {"unknown", EndCause::unknown}}};
constexpr std::array<std::pair<std::string_view, Verb>, 3> kVerbs{
    {{"run", Verb::run}, {"kill", Verb::stop}, {"clear", Verb::clear}}};
constexpr std::array<std::pair<std::string_view, CloudHost::State>, 3> kHostStates{
    {{"booting", CloudHost::State::booting},
     {"running", CloudHost::State::running},
     {"failed", CloudHost::State::failed}}};

double amount(const Fields& fields, std::string_view key) {
  const double value = fields.number(key);
  if (value < 0) throw Malformed("field '" + std::string(key) + "' is negative");
  return value;
}

double amount_or_zero(const Fields& fields, std::string_view key) {
  return fields.find(key) == nullptr ? 0 : amount(fields, key);
}

void check_text(const std::string& text, std::string_view field) {
  if (text.empty() || text.size() > 200)
    throw Malformed("field '" + std::string(field) + "' is empty or too long");
}

void pack_orders(Packer& packer, const std::vector<Order>& orders) {
  packer.key("orders").list(orders.size());
  for (const auto& order : orders) {
    const bool stop = order.verb == Verb::stop;
    packer.map(stop ? 4 : 3);
    packer.key("verb").text(name_of(kVerbs, order.verb));
    packer.key("shard").text(task_name(order.job, order.index));
    packer.key("try").integer(order.attempt);
    if (stop) packer.key("wind_down_s").number(order.wind_down_s);
  }
}

std::pair<std::string, std::uint32_t> split_task_name(const std::string& name) {
  const auto slash = name.rfind('/');
  if (slash == std::string::npos) throw Malformed("a task name has no number");
  std::uint32_t index = 0;
  const char* end = name.data() + name.size();
  const auto [stop, error] = std::from_chars(name.data() + slash + 1, end, index);
  if (error != std::errc() || stop != end) throw Malformed("a task name has no number");
  return {name.substr(0, slash), index};
}

TaskReport decode_task(const Object& object) {
  const Fields fields(object);
  TaskReport task;
  std::tie(task.job, task.index) = split_task_name(fields.text("shard"));
  task.attempt = fields.integer("try");
  task.state = pick_or(kTaskStates, fields.text("status"), TaskState::other);
  if (task.state == TaskState::ended) {
    task.cause = pick_or(kCauses, fields.maybe_text("cause").value_or(""), EndCause::other);
    task.saved = fields.flag_or("kept", false);
  }
  return task;
}

CloudHost decode_cloud_host(const Object& object) {
  const Fields fields(object);
  CloudHost host;
  host.id = fields.text("uid");
  host.addr = fields.maybe_text("addr").value_or("");
  host.type = fields.text("build");
  host.zone = fields.text("yard");
  host.spot = fields.flag_or("loaners", false);
  host.state = pick(kHostStates, fields.text("status"), "status");
  host.age_s = fields.maybe_number("held_s").value_or(0);
  return host;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  // "always in this form": job- and digits.
  constexpr std::string_view prefix = "job-";
  if (id.size() <= prefix.size() || id.size() > 40 || !id.starts_with(prefix)) return false;
  return std::all_of(id.begin() + prefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

std::string decode_job_id(const Object& object) {
  auto id = Fields(object).text("uid");
  if (!valid_job_id(id)) throw Malformed("field 'uid' is not a job id");
  return id;
}

JobSpec decode_job(const Object& object) {
  const Fields fields(object);
  JobSpec job;
  job.id = decode_job_id(object);
  job.job_class = fields.text("lane");
  check_text(job.job_class, "lane");
  job.team = fields.text("owner");
  check_text(job.team, "owner");
  job.kind = pick(kKinds, fields.text("shape"), "shape");
  job.priority = pick(kPriorities, fields.text("rank"), "rank");
  const auto tasks = fields.integer("shards");
  if (tasks == 0 || tasks > constants::kMaxTasks) throw Malformed("field 'shards' is out of range");
  job.tasks = static_cast<std::uint32_t>(tasks);
  job.cpus = amount(fields, "cores");
  job.gpus = amount(fields, "cards");
  job.memory_gb = amount(fields, "ram_gb");
  const auto [first, last] = elements(fields.find("builds"), "builds");
  for (const auto* item = first; item != last; ++item)
    job.types.push_back(as_text(*item, "builds"));
  job.zone = fields.maybe_text("yard");
  job.together = fields.flag("together");
  job.spread = fields.flag("scatter");
  job.spot = fields.flag("loaners");
  job.image = fields.text("bundle");
  if (job.image.size() > 200) throw Malformed("field 'bundle' is too long");
  job.image_gb = amount(fields, "pull_gb");
  job.expect_s = amount(fields, "expect_s");
  job.checkpoint_every_s = amount(fields, "mark_every_s");
  job.save_s = amount(fields, "mark_s");
  if (fields.find("due_s") != nullptr) job.due_s = amount(fields, "due_s");
  return job;
}

void pack_job(Packer& packer, const JobSpec& job) {
  packer.map(20);
  packer.key("uid").text(job.id);
  packer.key("lane").text(job.job_class);
  packer.key("owner").text(job.team);
  packer.key("shape").text(name_of(kKinds, job.kind));
  packer.key("rank").text(name_of(kPriorities, job.priority));
  packer.key("shards").integer(job.tasks);
  packer.key("cores").number(job.cpus);
  packer.key("cards").number(job.gpus);
  packer.key("ram_gb").number(job.memory_gb);
  packer.key("builds");
  if (job.types.empty()) {
    packer.null();
  } else {
    packer.list(job.types.size());
    for (const auto& type : job.types) packer.text(type);
  }
  packer.key("yard");
  if (job.zone) {
    packer.text(*job.zone);
  } else {
    packer.null();
  }
  packer.key("together").flag(job.together);
  packer.key("scatter").flag(job.spread);
  packer.key("loaners").flag(job.spot);
  packer.key("bundle").text(job.image);
  packer.key("pull_gb").number(job.image_gb);
  packer.key("expect_s").number(job.expect_s);
  packer.key("mark_every_s").number(job.checkpoint_every_s);
  packer.key("mark_s").number(job.save_s);
  packer.key("due_s");
  if (job.due_s) {
    packer.number(*job.due_s);
  } else {
    packer.null();
  }
}

std::string_view to_text(JobState state) { return name_of(kJobStates, state); }

std::string encode_status(const JobStatus& status, bool with_counts) {
  Packer packer;
  packer.map(with_counts ? 4 : 2);
  packer.key("uid").text(status.id);
  packer.key("status").text(to_text(status.state));
  if (with_counts) {
    packer.key("done").integer(status.done);
    packer.key("running").integer(status.running);
  }
  return packer.take();
}

JobStatus decode_status(const Object& object) {
  const Fields fields(object);
  return {fields.text("uid"), pick(kJobStates, fields.text("status"), "status"),
          fields.integer_or("done", 0), fields.integer_or("running", 0)};
}

std::string encode_report(const Report& report) {
  Packer packer;
  packer.map(9)
      .key("host")
      .text(report.host)
      .key("addr")
      .text(report.addr)
      .key("build")
      .text(report.type);
  packer.key("yard")
      .text(report.zone)
      .key("loaners")
      .flag(report.spot)
      .key("shift")
      .integer(report.session);
  packer.key("tick")
      .integer(report.tick)
      .key("baton")
      .integer(report.token)
      .key("shards")
      .list(report.tasks.size());
  for (const auto& task : report.tasks) {
    const bool ended = task.state == TaskState::ended;
    packer.map(ended ? 5 : 3)
        .key("shard")
        .text(task_name(task.job, task.index))
        .key("try")
        .integer(task.attempt);
    packer.key("status").text(name_of(kTaskStates, task.state));
    if (ended) packer.key("cause").text(name_of(kCauses, task.cause)).key("kept").flag(task.saved);
  }
  return packer.take();
}

Report decode_report(const Object& object) {
  const Fields fields(object);
  Report report;
  report.host = fields.text("host");
  check_text(report.host, "host");
  report.addr = fields.maybe_text("addr").value_or("");
  report.type = fields.text("build");
  report.zone = fields.text("yard");
  report.spot = fields.flag_or("loaners", false);
  report.session = fields.integer("shift");
  report.tick = fields.integer("tick");
  report.token = fields.integer_or("baton", 0);
  report.recall_s = fields.maybe_number("recall_s");
  const auto [first, last] = elements(fields.find("shards"), "shards");
  for (const auto* item = first; item != last; ++item) report.tasks.push_back(decode_task(*item));
  return report;
}

std::string encode_orders(std::uint64_t token, const std::vector<Order>& orders) {
  Packer packer;
  packer.map(2).key("baton").integer(token);
  pack_orders(packer, orders);
  return packer.take();
}

std::string encode_direct_orders(std::uint64_t token, std::uint64_t session,
                                 const std::vector<Order>& orders) {
  Packer packer;
  packer.map(3).key("baton").integer(token).key("shift").integer(session);
  pack_orders(packer, orders);
  return packer.take();
}

Orders decode_orders(const Object& object) {
  const Fields fields(object);
  Orders result;
  result.token = fields.integer_or("baton", 0);
  result.session = fields.integer_or("shift", 0);
  const auto [first, last] = elements(fields.find("orders"), "orders");
  for (const auto* item = first; item != last; ++item) {
    const Fields one(*item);
    Order order;
    order.verb = pick(kVerbs, one.text("verb"), "verb");
    std::tie(order.job, order.index) = split_task_name(one.text("shard"));
    order.attempt = one.integer("try");
    order.wind_down_s = one.maybe_number("wind_down_s").value_or(0);
    result.orders.push_back(std::move(order));
  }
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

std::vector<MachineType> decode_machine_types(const Object& object) {
  const Fields fields(object);
  std::vector<MachineType> machine_types;
  const auto [first, last] = elements(&fields.require("builds"), "builds");
  for (const auto* item = first; item != last; ++item) {
    const Fields one(*item);
    MachineType machine_type;
    machine_type.name = one.text("name");
    machine_type.cpus = amount(one, "cores");
    machine_type.gpus = amount_or_zero(one, "cards");
    machine_type.memory_gb = amount(one, "ram_gb");
    machine_type.cache_gb = amount_or_zero(one, "local_gb");
    machine_type.fetch_gb_per_s = amount_or_zero(one, "fetch_gb_per_s");
    machine_type.price = amount_or_zero(one, "price");
    machine_type.spot_price = amount_or_zero(one, "low_price");
    machine_type.ready_s = amount_or_zero(one, "ready_s");
    const auto [zone, zones_end] = elements(one.find("yards"), "yards");
    for (const auto* name = zone; name != zones_end; ++name)
      machine_type.zones.push_back(as_text(*name, "yards"));
    machine_types.push_back(std::move(machine_type));
  }
  return machine_types;
}

std::string encode_machine_types(const std::vector<MachineType>& machine_types) {
  Packer packer;
  packer.map(1).key("builds").list(machine_types.size());
  for (const auto& machine_type : machine_types) {
    packer.map(10);
    packer.key("name").text(machine_type.name);
    packer.key("cores").number(machine_type.cpus);
    packer.key("cards").number(machine_type.gpus);
    packer.key("ram_gb").number(machine_type.memory_gb);
    packer.key("local_gb").number(machine_type.cache_gb);
    packer.key("fetch_gb_per_s").number(machine_type.fetch_gb_per_s);
    packer.key("price").number(machine_type.price);
    packer.key("low_price").number(machine_type.spot_price);
    packer.key("ready_s").number(machine_type.ready_s);
    packer.key("yards").list(machine_type.zones.size());
    for (const auto& zone : machine_type.zones) packer.text(zone);
  }
  return packer.take();
}

CloudPage decode_cloud_page(const Object& object) {
  const Fields fields(object);
  CloudPage page;
  page.truncated = fields.flag_or("truncated", false);
  const auto [first, last] = elements(&fields.require("hosts"), "hosts");
  for (const auto* item = first; item != last; ++item)
    page.hosts.push_back(decode_cloud_host(*item));
  return page;
}

std::string encode_rent(std::string_view name, std::string_view type, std::string_view zone,
                        bool spot, int count) {
  Packer packer;
  packer.map(5).key("hire").text(name).key("build").text(type).key("yard").text(zone);
  packer.key("loaners").flag(spot).key("count").integer(static_cast<std::uint64_t>(count));
  return packer.take();
}

std::string encode_host_names(const std::vector<std::string>& hosts) {
  Packer packer;
  packer.map(1).key("hosts").list(hosts.size());
  for (const auto& host : hosts) packer.text(host);
  return packer.take();
}

std::vector<std::string> decode_host_names(const Object& object) {
  std::vector<std::string> names;
  const Fields fields(object);
  const auto [first, last] = elements(&fields.require("hosts"), "hosts");
  for (const auto* item = first; item != last; ++item) names.push_back(as_text(*item, "hosts"));
  return names;
}

Entry decode_entry(const Object& object) {
  const Fields fields(object);
  return {fields.text("key"), pack_object(fields.require("value")), fields.integer("stamp")};
}

Listing decode_listing(const Object& object) {
  const Fields fields(object);
  Listing listing;
  listing.truncated = fields.flag_or("truncated", false);
  listing.revision = fields.integer("ledger_rev");
  const auto [first, last] = elements(&fields.require("entries"), "entries");
  for (const auto* item = first; item != last; ++item)
    listing.entries.push_back(decode_entry(*item));
  return listing;
}

Changes decode_changes(const Object& object) {
  const Fields fields(object);
  Changes changes;
  changes.revision = fields.integer("ledger_rev");
  const auto [first, last] = elements(fields.find("log"), "log");
  for (const auto* item = first; item != last; ++item) {
    const Fields one(*item);
    Change change;
    change.stamp = one.integer("stamp");
    if (auto key = one.maybe_text("set")) {
      change.key = std::move(*key);
      change.value = pack_object(one.require("value"));
    } else {
      change.key = one.text("delete");
    }
    changes.log.push_back(std::move(change));
  }
  return changes;
}

std::string encode_txn(const Txn& txn) {
  Packer packer;
  packer.map(2).key("guards").list(txn.guards.size());
  for (const auto& guard : txn.guards)
    packer.map(2).key("key").text(guard.key).key("stamp").integer(guard.stamp);
  packer.key("writes").list(txn.writes.size());
  for (const auto& write : txn.writes) {
    if (!write.value) {
      packer.map(1).key("delete").text(write.key);
      continue;
    }
    packer.map(write.lease != 0 ? 3 : 2).key("set").text(write.key).key("value").raw(*write.value);
    if (write.lease != 0) packer.key("hold").integer(write.lease);
  }
  return packer.take();
}

}  // namespace elmstall::wire
