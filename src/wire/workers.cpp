#include "wire/workers.hpp"

#include <array>
#include <charconv>
#include <tuple>

#include "wire/names.hpp"

namespace elmstall::wire {
namespace {

constexpr Names<TaskState, 5> kTaskStates{{{"fetching", TaskState::fetching},
                                           {"gathering", TaskState::gathering},
                                           {"running", TaskState::running},
                                           {"flushing", TaskState::saving},
                                           {"ended", TaskState::ended}}};
constexpr Names<EndCause, 8> kCauses{{{"done", EndCause::done},
                                      {"halted", EndCause::stopped},
                                      {"error", EndCause::error},
                                      {"no_room", EndCause::no_room},
                                      {"in_use", EndCause::in_use},
                                      {"unknown", EndCause::unknown},
                                      {"mates_gone", EndCause::mates_gone},
                                      {"incomplete", EndCause::incomplete}}};
constexpr Names<Verb, 3> kVerbs{{{"run", Verb::run}, {"kill", Verb::stop}, {"clear", Verb::clear}}};

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

}  // namespace

std::string encode_report(const Report& report) {
  Packer packer;
  packer.map(10)
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
  packer.key("recall_s");
  if (report.recall_s) {
    packer.number(*report.recall_s);
  } else {
    packer.null();
  }
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

}  // namespace elmstall::wire
